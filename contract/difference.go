package contract

// Action is the kind of change of an object between two sets.
type Action string

// The actions of a difference.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// ObjectChange is the human-readable change of one object between two sets.
type ObjectChange struct {
	Action Action        `json:"action"`
	Object string        `json:"object"`
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields"` // all fields of added objects, the changed ones of changed objects
}

// FieldChange is the value of a field before and after, in the form of object files; an added object has none before.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// ObjectChanges lists the objects that differ between two sets, ordered by object type and name, removed ones last.
func ObjectChanges(from, to *Set) []ObjectChange {
	before, after := from.items(), to.items()
	old := byReference(before)
	var list []ObjectChange
	for _, i := range after {
		previous, existed := old[i.reference()]
		fields := fieldChanges(previous, i)
		if !existed {
			list = append(list, ObjectChange{Action: Added, Object: i.schema.object, Name: i.name(), Fields: fields})
		} else if len(fields) > 0 {
			list = append(list, ObjectChange{Action: Changed, Object: i.schema.object, Name: i.name(), Fields: fields})
		}
	}
	kept := byReference(after)
	for _, i := range before {
		if _, ok := kept[i.reference()]; !ok {
			list = append(list, ObjectChange{Action: Removed, Object: i.schema.object, Name: i.name(), Fields: []FieldChange{}})
		}
	}
	return list
}

// fieldChanges returns the fields that differ; before may be the zero parsedObject.
func fieldChanges(before, after parsedObject) []FieldChange {
	var changes []FieldChange
	for _, f := range after.schema.fields {
		from, to := "", f.text(after.object)
		if before.object != nil {
			from = f.text(before.object)
		}
		if from != to {
			changes = append(changes, FieldChange{Field: f.name, From: from, To: to})
		}
	}
	return changes
}
