package contract

import (
	"fmt"
	"slices"
	"strings"
)

// parsedObject is an object with the place where it was read.
type parsedObject struct {
	schema   *schema
	object   any // pointer to one of the object types
	file     string
	line     int
	lines    map[string]int  // line of each field that was given
	reported map[string]bool // fields with a reported problem
}

func (i parsedObject) name() string {
	return i.schema.fields[0].text(i.object)
}

func (i parsedObject) title() string {
	if name := i.name(); name != "" {
		return i.schema.object + " " + shorten(name)
	}
	return i.schema.object
}

// problem returns a problem of one field of the item, at the line of the field if it was given.
func (i parsedObject) problem(fieldName, value, reason, allowed string) Problem {
	line := i.line
	if at, ok := i.lines[fieldName]; ok {
		line = at
	}
	return Problem{File: i.file, Line: line, Object: i.title(), Field: fieldName, Value: value, Reason: reason, Allowed: allowed}
}

// Validate returns all problems of the set, or none if it may be published.
func (s *Set) Validate() []Problem {
	return checkItems(s.items(), false)
}

// checkItems skips the rules between objects if some objects could not be parsed, because each missing object would be
// reported again at every reference.
func checkItems(items []parsedObject, incomplete bool) []Problem {
	c := &checker{items: items, incomplete: incomplete, byName: make(map[string]map[string]parsedObject, len(schemas))}
	for _, s := range schemas {
		c.byName[s.object] = make(map[string]parsedObject)
	}
	c.checkNames()
	for _, i := range items {
		c.checkFields(i)
		c.checkObject(i)
	}
	if !incomplete {
		c.checkParents()
		c.checkShares()
		c.checkSize()
	}
	return c.problems
}

// checker collects the problems of one set.
type checker struct {
	items      []parsedObject
	incomplete bool
	byName     map[string]map[string]parsedObject // object type, then name
	problems   []Problem
}

func (c *checker) add(p Problem) {
	c.problems = append(c.problems, p)
}

func (c *checker) checkNames() {
	for _, i := range c.items {
		name := i.name()
		if name == "" {
			continue
		}
		first, taken := c.byName[i.schema.object][name]
		if !taken {
			c.byName[i.schema.object][name] = i
			continue
		}
		reason := "duplicate name"
		if first.file != "" {
			reason = fmt.Sprintf("duplicate name, first used at %s:%d", first.file, first.line)
		}
		c.add(i.problem("name", shorten(name), reason, "each name once per object type"))
	}
}

func (c *checker) checkFields(i parsedObject) {
	for _, f := range i.schema.fields {
		if i.reported[f.name] {
			continue
		}
		if !f.valid(i.object) {
			c.add(i.problem(f.name, shorten(f.text(i.object)), f.violation(), f.allowed(i.object)))
			continue
		}
		c.checkReference(i, f)
	}
}

func (c *checker) checkReference(i parsedObject, f field) {
	if f.refType == "" || c.incomplete {
		return
	}
	name := f.text(i.object)
	if _, known := c.byName[f.refType][name]; name == "" || known {
		return
	}
	c.add(i.problem(f.name, shorten(name), "dangling reference, no such "+f.refType, c.names(f.refType)))
}

// names lists the names of an object type, truncated for long lists.
func (c *checker) names(object string) string {
	const most = 12
	names := make([]string, 0, len(c.byName[object]))
	for name := range c.byName[object] {
		names = append(names, name)
	}
	if len(names) == 0 {
		return "no " + object + " is defined"
	}
	slices.Sort(names)
	if len(names) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:most], ", "), len(names)-most)
	}
	return strings.Join(names, ", ")
}

// checkObject checks the rules that involve several fields of an object.
func (c *checker) checkObject(i parsedObject) {
	switch o := i.object.(type) {
	case *Service:
		if !i.reported["connections"] && !i.reported["slots"] && o.MaxConnections < o.Slots {
			allowed := fmt.Sprintf("at least %d", o.Slots)
			c.add(i.problem("connections", fmt.Sprint(o.MaxConnections), "fewer connections than slots", allowed))
		}
	case *Kind:
		c.checkKind(i, o)
	}
}

func (c *checker) checkKind(i parsedObject, o *Kind) {
	if !i.reported["attempts"] && !i.reported["idempotent"] && o.MaxAttempts > 1 && !o.Idempotent {
		c.add(i.problem("attempts", fmt.Sprint(o.MaxAttempts), "more than one attempt for a kind that is not idempotent", "1, or idempotent: true"))
	}
	if !i.reported["run-time"] && !i.reported["deadline"] && o.RunTime > o.Deadline {
		c.add(i.problem("run-time", durationText(o.RunTime), "run time exceeds the deadline", "at most "+durationText(o.Deadline)))
	}
}

// checkParents reports each cycle of limits once, at its alphabetically first member.
func (c *checker) checkParents() {
	for _, i := range c.items {
		limit, ok := i.object.(*Limit)
		if !ok || limit.Parent == "" {
			continue
		}
		if cycle := c.findCycle(limit.Name); cycle != nil && slices.Min(cycle) == limit.Name {
			reason := "circular parents: " + shorten(strings.Join(cycle, " -> "))
			c.add(i.problem("parent", shorten(limit.Parent), reason, "a limit that is not under this one"))
		}
	}
}

// findCycle returns the limits from the given one back to itself, or nil if it is not on a cycle.
func (c *checker) findCycle(start string) []string {
	path := []string{start}
	for range c.byName[objectLimit] {
		i, known := c.byName[objectLimit][path[len(path)-1]]
		if !known {
			return nil
		}
		parent := i.object.(*Limit).Parent
		path = append(path, parent)
		if parent == start {
			return path
		}
	}
	return nil
}

func (c *checker) checkShares() {
	sum := 0
	var shares []string
	var first *parsedObject
	for _, i := range c.items {
		priority, ok := i.object.(*Priority)
		if !ok {
			continue
		}
		if i.reported["share"] {
			return
		}
		if first == nil {
			first = &i
		}
		sum += priority.Share
		shares = append(shares, fmt.Sprintf("%s %d", priority.Name, priority.Share))
	}
	if first == nil {
		c.add(Problem{Object: objectPriority, Reason: "no priority is defined", Allowed: "at least one, with shares that add up to 100"})
		return
	}
	if sum != 100 {
		reason := "shares don't add up: " + shorten(strings.Join(shares, ", "))
		c.add(first.problem("share", fmt.Sprint(sum), reason, "a sum of 100 over all priorities"))
	}
}

func (c *checker) checkSize() {
	if size := len(appendItems(nil, c.items)); size > MaxEncodedSize {
		c.add(Problem{
			Object:  "set",
			Value:   fmt.Sprintf("%d bytes", size),
			Reason:  "canonical form too large",
			Allowed: fmt.Sprintf("at most %d bytes", MaxEncodedSize),
		})
	}
}

// shorten truncates values from files, so that a problem fits on one line.
func shorten(text string) string {
	const most = 120
	if runes := []rune(text); len(runes) > most {
		return string(runes[:most]) + "…"
	}
	return text
}
