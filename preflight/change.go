package preflight

import "fmt"

// Action is what a change does to an object.
type Action string

// The actions of changes.
const (
	Added   Action = "added"
	Dropped Action = "dropped"
	Moved   Action = "moved" // a route goes to another service
	Changed Action = "changed"
)

// Change is a difference from the configuration in force.
type Change struct {
	Action Action `json:"action"`
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Effect string `json:"effect,omitempty"` // what the change does, for operators
}

// compareField adds a change if a field differs. A field that could not be read, itself or its object, is left out: what it would
// do is not known.
func compareField[T comparable](list *[]Change, from, to Field[T], effect string) {
	if from.Name == "" || to.Name == "" {
		return
	}
	if from.Given != from.Valid || to.Given != to.Valid || from.Given == to.Given && from.Value == to.Value {
		return
	}
	if from.Value == to.Value {
		effect = "none, since a missing field means the same"
	}
	*list = append(*list, Change{Action: Changed, Object: to.Object, Field: to.Name, From: from.Text, To: to.Text, Effect: effect})
}

// compare returns the differences between two configurations.
func compare(from, to *Configuration) []Change {
	list := []Change{}
	compareField(&list, from.Version, to.Version, "each VM goes over to the new version as soon as the store tells it")
	// A list that could not be read would look as if all its elements were dropped.
	if from.Routes.Valid && to.Routes.Valid {
		compareRoutes(&list, from, to)
	}
	if from.Services.Valid && to.Services.Valid {
		compareServices(&list, from, to)
	}
	compareLimits(&list, from.Limits, to.Limits)
	return list
}

// byName returns the objects by name, the first one of each name.
func byName[T any](list []T, name func(T) string) map[string]T {
	m := map[string]T{}
	for _, object := range list {
		if _, ok := m[name(object)]; !ok && name(object) != "" {
			m[name(object)] = object
		}
	}
	return m
}

func compareRoutes(list *[]Change, from, to *Configuration) {
	nameOf := func(r Route) string { return r.Name.Value }
	before, after := byName(from.Routes.Value, nameOf), byName(to.Routes.Value, nameOf)
	seen := map[string]bool{}
	for _, r := range to.Routes.Value {
		name := r.Name.Value
		if name == "" || seen[name] {
			continue
		}
		seen[name] = true
		if old, ok := before[name]; ok {
			compareRoute(list, from, to, old, after[name])
		} else {
			*list = append(*list, Change{Action: Added, Object: r.Label, Effect: takes(from, r)})
		}
	}
	seen = map[string]bool{}
	for _, r := range from.Routes.Value {
		name := r.Name.Value
		if _, ok := after[name]; name == "" || seen[name] || ok {
			continue
		}
		seen[name] = true
		*list = append(*list, Change{Action: Dropped, Object: r.Label, Effect: leaves(to, r)})
	}
}

// address names the requests of a route.
func address(r Route) string { return "requests to " + r.Host.Value + r.Prefix.Value }

// takes says what happens to the requests of a route that the earlier configuration hasn't got there.
func takes(from *Configuration, r Route) string {
	text := fmt.Sprintf("%s go to workers of service %s; ", address(r), r.Service.Value)
	if old, ok := from.routeOf(r.Host.Value, r.Prefix.Value); ok {
		return text + "until now they belong to " + old.Label
	}
	return text + "until now they are answered 404"
}

// leaves says what happens to the requests of a route that the later configuration hasn't got there.
func leaves(to *Configuration, r Route) string {
	text := ""
	if next, ok := to.routeOf(r.Host.Value, r.Prefix.Value); ok {
		text = fmt.Sprintf("%s belong to %s", address(r), next.Label)
	} else {
		text = address(r) + " are answered 404"
	}
	return text + "; jobs accepted before go on under the settings they were accepted with"
}

func compareRoute(list *[]Change, from, to *Configuration, old, next Route) {
	if old.Service.Valid && next.Service.Valid && old.Service.Value != next.Service.Value {
		*list = append(*list, Change{
			Action: Moved, Object: next.Label, Field: next.Service.Name, From: old.Service.Text, To: next.Service.Text,
			Effect: fmt.Sprintf("new jobs go to workers of service %s; those accepted before stay with service %s", next.Service.Value, old.Service.Value),
		})
	}
	if old.Host.Value != next.Host.Value || old.Prefix.Value != next.Prefix.Value {
		effect := takes(from, next) + "; "
		if other, ok := to.routeOf(old.Host.Value, old.Prefix.Value); ok {
			effect += address(old) + " belong to " + other.Label
		} else {
			effect += address(old) + " are answered 404"
		}
		compareField(list, old.Host, next.Host, effect)
		compareField(list, old.Prefix, next.Prefix, effect)
	}
	priority := "its new jobs come later than now where capacity is short"
	if next.Priority.Value < old.Priority.Value {
		priority = "its new jobs come before those of routes with a higher number where capacity is short"
	}
	compareField(list, old.Priority, next.Priority, priority)
	compareField(list, old.Target, next.Target, laterOrSooner(next.Target.Value > old.Target.Value))
	compareField(list, old.Stretch, next.Stretch, laterOrSooner(next.Stretch.Value > old.Stretch.Value))
	attempts := max(next.MaxAttempts.Value, 1)
	compareField(list, old.MaxAttempts, next.MaxAttempts, fmt.Sprintf("a new job fails when runs of one of its tasks have failed as often: %d", attempts))
	compareField(list, old.Timeout, next.Timeout, "none in samphireplank, which goes by the time that each request states")
	advice := "workers of the route need no tickets, so its jobs are taken"
	if next.Tickets {
		advice = "workers of the route require tickets, which samphireplank doesn't support: all its jobs are refused"
	}
	compareField(list, old.Advice, next.Advice, advice)
}

// laterOrSooner says what a change of the target duration does.
func laterOrSooner(later bool) string {
	if later {
		return "taken alone, new jobs may end later and still count as on time: fewer are refused, and they may wait longer"
	}
	return "taken alone, new jobs must end sooner to count as on time: more are refused where capacity is short"
}

func compareServices(list *[]Change, from, to *Configuration) {
	nameOf := func(s Service) string { return s.Name.Value }
	before, after := byName(from.Services.Value, nameOf), byName(to.Services.Value, nameOf)
	for _, s := range to.Services.Value {
		if old, ok := before[nameOf(s)]; nameOf(s) != "" && !ok {
			before[nameOf(s)] = s // a doubled name is listed once
			*list = append(*list, Change{Action: Added, Object: s.Label, Effect: "routes may name it"})
		} else if ok {
			compareField(list, old.Spare, s.Spare, "none in samphireplank")
		}
	}
	for _, s := range from.Services.Value {
		if _, ok := after[nameOf(s)]; nameOf(s) != "" && !ok {
			after[nameOf(s)] = s
			*list = append(*list, Change{Action: Dropped, Object: s.Label, Effect: "its workers get no new jobs, except from routes that still name it"})
		}
	}
}

func compareLimits(list *[]Change, from, to Limits) {
	compareField(list, from.MaxHeader, to.MaxHeader, orDefault(to.MaxHeader.Value == 0, "requests with a larger header are refused"))
	compareField(list, from.MaxBody, to.MaxBody, orDefault(to.MaxBody.Value == 0, "requests with a larger body are refused with 413"))
	compareField(list, from.HeaderTimeout, to.HeaderTimeout, orDefault(to.HeaderTimeout.Value == 0, "clients that take longer for the header of a request are refused"))
	compareField(list, from.IdleTimeout, to.IdleTimeout, orDefault(to.IdleTimeout.Value == 0, "connections that are idle for longer are closed"))
}

// orDefault returns the effect of a limit, which is the default if the configuration has none.
func orDefault(isDefault bool, effect string) string {
	if isDefault {
		return "the default limit applies"
	}
	return effect
}
