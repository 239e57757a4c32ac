package contract

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxFileSize is the maximum size in bytes of an object file that ParseFiles parses.
const MaxFileSize = 4 << 20

// ObjectFile is a file of YAML documents with one object each.
type ObjectFile struct {
	Name string
	Data []byte
}

// ParseFiles parses object files and validates the set; it returns either the set or all problems of all files.
//
//	set, problems := contract.ParseFiles([]contract.ObjectFile{{Name: "objects.yaml", Data: data}})
//	for _, problem := range problems {
//		fmt.Println(problem)
//	}
func ParseFiles(files []ObjectFile) (*Set, []Problem) {
	r := &reader{}
	for _, file := range files {
		r.readFile(file)
	}
	problems := append(r.problems, checkItems(r.items, r.incomplete)...)
	if len(problems) > 0 {
		sortProblems(files, problems)
		return nil, problems
	}
	return newSet(r.items), nil
}

// sortProblems orders problems by file, in the order given, and line; those without a file or line come last.
func sortProblems(files []ObjectFile, problems []Problem) {
	order := map[string]int{"": len(files)}
	for n, file := range files {
		order[file.Name] = n
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(order[a.File], order[b.File]), cmp.Compare(a.Line, b.Line))
	})
}

// reader collects the objects and problems of all files.
type reader struct {
	file       string
	items      []parsedObject
	problems   []Problem
	incomplete bool // some objects are missing because a file or document could not be parsed
}

func (r *reader) add(line int, p Problem) {
	p.File, p.Line = r.file, line
	r.problems = append(r.problems, p)
}

func (r *reader) readFile(file ObjectFile) {
	r.file = file.Name
	if len(file.Data) > MaxFileSize {
		r.incomplete = true
		size, allowed := fmt.Sprintf("%d bytes", len(file.Data)), fmt.Sprintf("at most %d bytes", MaxFileSize)
		r.add(1, Problem{Value: size, Reason: "file too large", Allowed: allowed})
		return
	}
	tree, err := parser.ParseBytes(file.Data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.incomplete = true
		r.addSyntaxError(err)
		return
	}
	for _, document := range tree.Docs {
		r.readDocument(document.Body)
	}
}

func (r *reader) addSyntaxError(err error) {
	line, message := 1, err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		message = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil && t.Position != nil {
			line = t.Position.Line
		}
	}
	r.add(line, Problem{Reason: "not valid YAML: " + message, Allowed: "YAML documents separated by ---, each with one object"})
}

func (r *reader) readDocument(body ast.Node) {
	var values []*ast.MappingValueNode
	switch node := body.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
		return
	case *ast.MappingNode:
		values = node.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{node}
	default:
		r.incomplete = true
		r.add(lineOf(body), Problem{Value: valueOf(body), Reason: "document is not an object", Allowed: "fields such as object: service"})
		return
	}
	if len(values) > 0 {
		r.readObject(values)
	}
}

func (r *reader) readObject(values []*ast.MappingValueNode) {
	line := lineOf(values[0])
	object, ok := r.objectType(line, values)
	if !ok {
		r.incomplete = true
		return
	}
	s, known := schemaOf(object)
	if !known {
		r.incomplete = true
		r.add(line, Problem{Field: "object", Value: shorten(object), Reason: "unknown object", Allowed: objectNames()})
		return
	}
	i := parsedObject{schema: s, object: s.create(), file: r.file, line: line, lines: map[string]int{}, reported: map[string]bool{}}
	// The name is read first, so that problems of other fields can include it.
	r.readFields(i, values, func(name string) bool { return name == "name" })
	r.readFields(i, values, func(name string) bool { return name != "name" && name != "object" })
	r.findMissing(i)
	r.items = append(r.items, i)
}

// objectType returns the value of the field object, which must be given once.
func (r *reader) objectType(line int, values []*ast.MappingValueNode) (string, bool) {
	var object string
	found := false
	for _, v := range values {
		if keyOf(v) != "object" {
			continue
		}
		if found {
			r.add(lineOf(v), Problem{Field: "object", Value: valueOf(v.Value), Reason: "duplicate field", Allowed: "each field once"})
			return "", false
		}
		text, ok := v.Value.(*ast.StringNode)
		if !ok {
			r.add(lineOf(v), Problem{Field: "object", Value: valueOf(v.Value), Reason: "wrong type", Allowed: objectNames()})
			return "", false
		}
		object, found = text.Value, true
	}
	if !found {
		r.add(line, Problem{Field: "object", Reason: "missing field", Allowed: objectNames()})
	}
	return object, found
}

func (r *reader) readFields(i parsedObject, values []*ast.MappingValueNode, selected func(string) bool) {
	for _, v := range values {
		if name := keyOf(v); selected(name) {
			r.readField(i, name, v)
		}
	}
}

func (r *reader) readField(i parsedObject, name string, v *ast.MappingValueNode) {
	problem := Problem{Object: i.title(), Field: shorten(name), Value: valueOf(v.Value)}
	f, known := i.schema.field(name)
	_, given := i.lines[name]
	switch {
	case !known:
		problem.Reason, problem.Allowed = "unknown field", i.schema.fieldNames()
	case given:
		problem.Reason, problem.Allowed = "duplicate field", "each field once"
	default:
		i.lines[name] = lineOf(v)
		if readValue(v.Value, f.pointer(i.object)) {
			return
		}
		i.reported[name] = true
		problem.Reason, problem.Allowed = "wrong type", f.allowed(i.object)
	}
	r.add(lineOf(v), problem)
}

func (r *reader) findMissing(i parsedObject) {
	for _, f := range i.schema.fields {
		if _, given := i.lines[f.name]; given || f.optional {
			continue
		}
		i.reported[f.name] = true
		r.add(i.line, Problem{Object: i.title(), Field: f.name, Reason: "missing field", Allowed: f.allowed(i.object)})
	}
}

// readValue stores a scalar in a field and returns false if its type differs from that of the field.
func readValue(node ast.Node, pointer any) bool {
	switch target := pointer.(type) {
	case *string:
		text, ok := node.(*ast.StringNode)
		if ok {
			*target = text.Value
		}
		return ok
	case *int:
		return readInteger(node, target)
	case *bool:
		flag, ok := node.(*ast.BoolNode)
		if ok {
			*target = flag.Value
		}
		return ok
	case *time.Duration:
		return readDuration(node, target)
	}
	return false
}

func readInteger(node ast.Node, target *int) bool {
	integer, ok := node.(*ast.IntegerNode)
	if !ok {
		return false
	}
	switch value := integer.Value.(type) {
	case int64:
		*target = int(value)
	case uint64:
		*target = int(min(value, math.MaxInt64))
	default:
		return false
	}
	return true
}

func readDuration(node ast.Node, target *time.Duration) bool {
	text, ok := node.(*ast.StringNode)
	if !ok {
		return false
	}
	value, err := time.ParseDuration(text.Value)
	if err != nil {
		return false
	}
	*target = value
	return true
}

func keyOf(v *ast.MappingValueNode) string {
	if text, ok := v.Key.(*ast.StringNode); ok {
		return text.Value
	}
	return valueOf(v.Key)
}

func valueOf(node ast.Node) string {
	if node == nil {
		return ""
	}
	return shorten(node.String())
}

func lineOf(node ast.Node) int {
	if v, ok := node.(*ast.MappingValueNode); ok && v.Key != nil {
		node = v.Key
	}
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 1
}
