package contract

import (
	"fmt"
	"slices"
	"strings"
)

// item is an object with the place it was read from.
type item struct {
	schema *schema
	object any // pointer to one of the object types
	file   string
	line   int
	lines  map[string]int  // line of each field that was given
	faulty map[string]bool // fields that were already reported
}

func (i item) name() string {
	return i.schema.fields[0].text(i.object)
}

func (i item) title() string {
	if name := i.name(); name != "" {
		return i.schema.object + " " + shorten(name)
	}
	return i.schema.object
}

// problem returns a problem of one field of the item, at the line of the field if it was given.
func (i item) problem(fieldName, value, reason, allowed string) Problem {
	line := i.line
	if at, ok := i.lines[fieldName]; ok {
		line = at
	}
	return Problem{File: i.file, Line: line, Object: i.title(), Field: fieldName, Value: value, Reason: reason, Allowed: allowed}
}

// Validate returns everything that is wrong with the set, or nothing when it may be published.
func (s *Set) Validate() []Problem {
	return checkItems(s.items(), false)
}

// checkItems leaves out the rules between objects when some objects could not be read, because each object that is
// missing would be reported again wherever it is needed.
func checkItems(items []item, partial bool) []Problem {
	c := &checker{items: items, partial: partial, byName: make(map[string]map[string]item, len(schemas))}
	for _, s := range schemas {
		c.byName[s.object] = make(map[string]item)
	}
	c.checkNames()
	for _, i := range items {
		c.checkFields(i)
		c.checkObject(i)
	}
	if !partial {
		c.checkParents()
		c.checkShares()
		c.checkSize()
	}
	return c.problems
}

// checker collects the problems of one set.
type checker struct {
	items    []item
	partial  bool
	byName   map[string]map[string]item // object type, then name
	problems []Problem
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

func (c *checker) checkFields(i item) {
	for _, f := range i.schema.fields {
		if i.faulty[f.name] {
			continue
		}
		if !f.valid(i.object) {
			c.add(i.problem(f.name, shorten(f.text(i.object)), f.violation(), f.allowed(i.object)))
			continue
		}
		c.checkReference(i, f)
	}
}

func (c *checker) checkReference(i item, f field) {
	if f.refers == "" || c.partial {
		return
	}
	name := f.text(i.object)
	if _, known := c.byName[f.refers][name]; name == "" || known {
		return
	}
	c.add(i.problem(f.name, shorten(name), "dangling reference, no such "+f.refers, c.names(f.refers)))
}

// names lists the names of an object type, shortened for long lists.
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

// checkObject checks the rules that concern more than one field of an object.
func (c *checker) checkObject(i item) {
	switch o := i.object.(type) {
	case *Service:
		if !i.faulty["connections"] && !i.faulty["slots"] && o.MaxConnections < o.Slots {
			allowed := fmt.Sprintf("at least %d", o.Slots)
			c.add(i.problem("connections", fmt.Sprint(o.MaxConnections), "fewer connections than slots", allowed))
		}
	case *Kind:
		c.checkKind(i, o)
	}
}

func (c *checker) checkKind(i item, o *Kind) {
	if !i.faulty["attempts"] && !i.faulty["idempotent"] && o.MaxAttempts > 1 && !o.Idempotent {
		c.add(i.problem("attempts", fmt.Sprint(o.MaxAttempts), "more than one attempt for a kind that is not idempotent", "1, or idempotent: true"))
	}
	if !i.faulty["run-time"] && !i.faulty["deadline"] && o.RunTime > o.Deadline {
		c.add(i.problem("run-time", durationText(o.RunTime), "run time exceeds the deadline", "at most "+durationText(o.Deadline)))
	}
}

// checkParents reports each circle of limits once, at its alphabetically first member.
func (c *checker) checkParents() {
	for _, i := range c.items {
		limit, ok := i.object.(*Limit)
		if !ok || limit.Parent == "" {
			continue
		}
		if circle := c.circle(limit.Name); circle != nil && slices.Min(circle) == limit.Name {
			reason := "circular parents: " + shorten(strings.Join(circle, " -> "))
			c.add(i.problem("parent", shorten(limit.Parent), reason, "a limit that is not under this one"))
		}
	}
}

// circle returns the limits from the given one back to itself, or nil if its parents end.
func (c *checker) circle(start string) []string {
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
	var first *item
	for _, i := range c.items {
		priority, ok := i.object.(*Priority)
		if !ok {
			continue
		}
		if i.faulty["share"] {
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

// shorten keeps values from files readable in a report of one line.
func shorten(text string) string {
	const most = 120
	if runes := []rune(text); len(runes) > most {
		return string(runes[:most]) + "…"
	}
	return text
}
