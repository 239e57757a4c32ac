package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Patch is the difference between two sets, which are identified by their digests.
type Patch struct {
	From    Digest
	To      Digest
	Added   Set // objects that are only in the new set
	Changed Set // the new versions of objects that differ
	Removed []ObjectRef
}

// ObjectRef identifies an object by type and name.
type ObjectRef struct {
	Object string `json:"object"` // object type as in object files
	Name   string `json:"name"`
}

func (i parsedObject) reference() ObjectRef {
	return ObjectRef{Object: i.schema.object, Name: i.name()}
}

// NewPatch returns the patch that transforms one set into another.
func NewPatch(from, to *Set) Patch {
	before, after := from.items(), to.items()
	change := Patch{From: digestOf(appendItems(nil, before)), To: digestOf(appendItems(nil, after))}
	old := byReference(before)
	var added, changed []parsedObject
	for _, i := range after {
		previous, existed := old[i.reference()]
		if !existed {
			added = append(added, i)
		} else if len(fieldChanges(previous, i)) > 0 {
			changed = append(changed, i)
		}
	}
	change.Added, change.Changed = *newSet(added), *newSet(changed)
	kept := byReference(after)
	for _, i := range before {
		if _, ok := kept[i.reference()]; !ok {
			change.Removed = append(change.Removed, i.reference())
		}
	}
	return change
}

func byReference(items []parsedObject) map[ObjectRef]parsedObject {
	found := make(map[ObjectRef]parsedObject, len(items))
	for _, i := range items {
		found[i.reference()] = i
	}
	return found
}

// Apply returns the set that results from the patch, or an error if the patch does not start at the
// given set, or if the result has another digest than the patch states or is invalid.
func (c Patch) Apply(from *Set) (*Set, error) {
	if digest := from.Digest(); digest != c.From {
		return nil, fmt.Errorf("patch starts at set %s, not at %s", c.From, digest)
	}
	gone := make(map[ObjectRef]bool, len(c.Removed))
	for _, r := range c.Removed {
		gone[r] = true
	}
	replaced := byReference(c.Changed.items())
	items := c.Added.items()
	for _, i := range from.items() {
		if gone[i.reference()] {
			continue
		}
		if newer, ok := replaced[i.reference()]; ok {
			i = newer
		}
		items = append(items, i)
	}
	to := newSet(items)
	if digest := to.Digest(); digest != c.To {
		return nil, fmt.Errorf("patch leads to set %s instead of %s", digest, c.To)
	}
	if problems := to.Validate(); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return to, nil
}

// Encode returns the canonical JSON form of the patch, whose size is not limited.
func (c Patch) Encode() []byte {
	data := append([]byte(nil), `{"from":`...)
	data = appendText(data, string(c.From))
	data = append(data, `,"to":`...)
	data = appendText(data, string(c.To))
	data = append(data, `,"added":`...)
	data = appendItems(data, c.Added.items())
	data = append(data, `,"changed":`...)
	data = appendItems(data, c.Changed.items())
	data = append(data, `,"removed":[`...)
	for n, r := range c.Removed {
		if n > 0 {
			data = append(data, ',')
		}
		data = append(data, `{"object":`...)
		data = appendText(data, r.Object)
		data = append(data, `,"name":`...)
		data = appendText(data, r.Name)
		data = append(data, '}')
	}
	return append(data, "]}"...)
}

// DecodePatch parses the canonical form of a patch; the resulting set is validated by Apply only.
func DecodePatch(data []byte) (Patch, error) {
	var raw struct {
		From    Digest          `json:"from"`
		To      Digest          `json:"to"`
		Added   json.RawMessage `json:"added"`
		Changed json.RawMessage `json:"changed"`
		Removed []ObjectRef     `json:"removed"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return Patch{}, fmt.Errorf("decode patch: %w", err)
	}
	if !raw.From.Valid() || !raw.To.Valid() {
		return Patch{}, fmt.Errorf("decode patch: digests %q and %q are not both valid", raw.From, raw.To)
	}
	added, err := decodeObjects(raw.Added)
	if err != nil {
		return Patch{}, fmt.Errorf("decode patch: added: %w", err)
	}
	changed, err := decodeObjects(raw.Changed)
	if err != nil {
		return Patch{}, fmt.Errorf("decode patch: changed: %w", err)
	}
	change := Patch{From: raw.From, To: raw.To, Added: *added, Changed: *changed, Removed: raw.Removed}
	if !bytes.Equal(change.Encode(), data) {
		return Patch{}, fmt.Errorf("decode patch: not in canonical form")
	}
	return change, nil
}
