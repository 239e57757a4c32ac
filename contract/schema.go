package contract

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// MaxEncodedSize is the maximum size of the canonical form of a set in bytes, equal to the maximum value size of the
// platform's store.
const MaxEncodedSize = 1 << 20

// maxTasks equals job.MaxTasks, which this package does not import.
const maxTasks = 150

// maxDeadline is the maximum deadline that the caller interface accepts.
const maxDeadline = 30 * time.Second

const (
	objectService  = "service"
	objectPriority = "priority"
	objectKind     = "kind"
	objectLimit    = "limit"
	objectTeam     = "team"
)

// field describes one field of an object. The function pointer returns a pointer to the value, whose type determines
// how it is parsed.
type field struct {
	name     string
	pointer  func(object any) any
	optional bool
	refType  string      // object type that a string refers to
	syntax   *syntaxRule // of strings that are not references
	min, max int64       // of integers and, in nanoseconds, of durations
}

// syntaxRule is the syntax of a string field.
type syntaxRule struct {
	pattern *regexp.Regexp
	allowed string
}

var (
	nameSyntax = &syntaxRule{
		pattern: regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`),
		allowed: "1 to 63 lower-case letters, digits and inner hyphens",
	}
	pathSyntax = &syntaxRule{
		pattern: regexp.MustCompile(`^/[A-Za-z0-9/._~-]{0,255}$`),
		allowed: "a path that starts with /, of at most 256 letters, digits and /._~-",
	}
)

// schema describes one object type.
type schema struct {
	object string
	plural string
	create func() any
	fields []field
}

// schemas lists the object types in the order of the canonical form.
var schemas = []*schema{
	{objectService, "services", func() any { return new(Service) }, serviceFields},
	{objectPriority, "priorities", func() any { return new(Priority) }, priorityFields},
	{objectKind, "kinds", func() any { return new(Kind) }, kindFields},
	{objectLimit, "limits", func() any { return new(Limit) }, limitFields},
	{objectTeam, "teams", func() any { return new(Team) }, teamFields},
}

var serviceFields = []field{
	{name: "name", pointer: fieldOf(func(o *Service) any { return &o.Name }), syntax: nameSyntax},
	{name: "slots", pointer: fieldOf(func(o *Service) any { return &o.Slots }), min: 1, max: 1024},
	{name: "connections", pointer: fieldOf(func(o *Service) any { return &o.MaxConnections }), min: 1, max: 65535},
	{name: "guard", pointer: fieldOf(func(o *Service) any { return &o.Guard })},
	{name: "probe-path", pointer: fieldOf(func(o *Service) any { return &o.ProbePath }), syntax: pathSyntax},
	{name: "idle-timeout", pointer: fieldOf(func(o *Service) any { return &o.IdleTimeout }), min: int64(time.Second), max: int64(time.Hour)},
}

var priorityFields = []field{
	{name: "name", pointer: fieldOf(func(o *Priority) any { return &o.Name }), syntax: nameSyntax},
	{name: "rank", pointer: fieldOf(func(o *Priority) any { return &o.Rank }), min: 1, max: 100},
	{name: "share", pointer: fieldOf(func(o *Priority) any { return &o.Share }), min: 1, max: 100},
	{name: "queue", pointer: fieldOf(func(o *Priority) any { return &o.MaxQueued }), min: 1, max: 1_000_000},
}

var kindFields = []field{
	{name: "name", pointer: fieldOf(func(o *Kind) any { return &o.Name }), syntax: nameSyntax},
	{name: "service", pointer: fieldOf(func(o *Kind) any { return &o.Service }), refType: objectService},
	{name: "path", pointer: fieldOf(func(o *Kind) any { return &o.Path }), syntax: pathSyntax},
	{name: "priority", pointer: fieldOf(func(o *Kind) any { return &o.Priority }), refType: objectPriority},
	{name: "idempotent", pointer: fieldOf(func(o *Kind) any { return &o.Idempotent })},
	{name: "attempts", pointer: fieldOf(func(o *Kind) any { return &o.MaxAttempts }), min: 1, max: 10},
	{name: "deadline", pointer: fieldOf(func(o *Kind) any { return &o.Deadline }), min: int64(time.Millisecond), max: int64(maxDeadline)},
	{name: "run-time", pointer: fieldOf(func(o *Kind) any { return &o.RunTime }), min: int64(time.Millisecond), max: int64(maxDeadline)},
	{name: "max-tasks", pointer: fieldOf(func(o *Kind) any { return &o.MaxTasks }), min: 1, max: maxTasks},
}

var limitFields = []field{
	{name: "name", pointer: fieldOf(func(o *Limit) any { return &o.Name }), syntax: nameSyntax},
	{name: "parent", pointer: fieldOf(func(o *Limit) any { return &o.Parent }), refType: objectLimit, optional: true},
	{name: "quota", pointer: fieldOf(func(o *Limit) any { return &o.Quota }), min: 1, max: 100},
	{name: "queue", pointer: fieldOf(func(o *Limit) any { return &o.MaxQueued }), min: 1, max: 1_000_000},
}

var teamFields = []field{
	{name: "name", pointer: fieldOf(func(o *Team) any { return &o.Name }), syntax: nameSyntax},
	{name: "limit", pointer: fieldOf(func(o *Team) any { return &o.Limit }), refType: objectLimit, optional: true},
	{name: "weight", pointer: fieldOf(func(o *Team) any { return &o.Weight }), min: 1, max: 1000},
}

// fieldOf adapts a typed accessor to objects of any type.
func fieldOf[T any](pointer func(*T) any) func(any) any {
	return func(object any) any { return pointer(object.(*T)) }
}

func schemaOf(object string) (*schema, bool) {
	for _, s := range schemas {
		if s.object == object {
			return s, true
		}
	}
	return nil, false
}

func (s *schema) field(name string) (field, bool) {
	for _, f := range s.fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func (s *schema) fieldNames() string {
	names := make([]string, 0, len(s.fields))
	for _, f := range s.fields {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}

func objectNames() string {
	names := make([]string, 0, len(schemas))
	for _, s := range schemas {
		names = append(names, s.object)
	}
	return strings.Join(names, ", ")
}

// text returns the value of the field in the form of object files.
func (f field) text(object any) string {
	switch value := f.pointer(object).(type) {
	case *string:
		return *value
	case *int:
		return fmt.Sprint(*value)
	case *bool:
		return fmt.Sprint(*value)
	case *time.Duration:
		return durationText(*value)
	}
	panic("field " + f.name + " has a type without a text form")
}

// durationText is the text of a duration without trailing zero units, such as 1h instead of 1h0m0s.
func durationText(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// allowed describes the values that the field accepts.
func (f field) allowed(object any) string {
	switch f.pointer(object).(type) {
	case *string:
		if f.refType != "" {
			return "the name of a " + f.refType
		}
		return f.syntax.allowed
	case *int:
		return fmt.Sprintf("a whole number from %d to %d", f.min, f.max)
	case *bool:
		return "true or false"
	case *time.Duration:
		return fmt.Sprintf("a duration from %s to %s", durationText(time.Duration(f.min)), durationText(time.Duration(f.max)))
	}
	panic("field " + f.name + " has a type without a rule")
}

// valid reports whether the value of the field is allowed.
func (f field) valid(object any) bool {
	switch value := f.pointer(object).(type) {
	case *string:
		return f.validText(*value)
	case *int:
		return int64(*value) >= f.min && int64(*value) <= f.max
	case *time.Duration:
		return int64(*value) >= f.min && int64(*value) <= f.max
	}
	return true
}

// violation describes why an invalid value of the field is invalid.
func (f field) violation() string {
	if f.refType != "" {
		return "empty reference"
	}
	if f.syntax != nil {
		return "malformed value"
	}
	return "value out of range"
}

func (f field) validText(value string) bool {
	if f.refType != "" {
		return value != "" || f.optional
	}
	return f.syntax.pattern.MatchString(value)
}
