package contract

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// MaxEncodedSize is the largest canonical form of a set in bytes; it is the largest value of the platform's store.
const MaxEncodedSize = 1 << 20

// maxTasks equals job.MaxTasks, which this package doesn't import.
const maxTasks = 150

// maxDeadline is the longest deadline that the caller interface accepts.
const maxDeadline = 30 * time.Second

const (
	objectService  = "service"
	objectPriority = "priority"
	objectKind     = "kind"
	objectLimit    = "limit"
	objectTeam     = "team"
)

// field describes one field of an object: at returns a pointer to its value, whose type decides how it is read.
type field struct {
	name     string
	at       func(object any) any
	optional bool
	refers   string // object that a string names
	form     *form  // of strings that name nothing
	min, max int64  // of integers and, in nanoseconds, of durations
}

// form is the syntax of a string field.
type form struct {
	pattern *regexp.Regexp
	allowed string
}

var (
	nameForm = &form{
		pattern: regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`),
		allowed: "1 to 63 lower-case letters, digits and inner hyphens",
	}
	pathForm = &form{
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
	{name: "name", at: in(func(o *Service) any { return &o.Name }), form: nameForm},
	{name: "slots", at: in(func(o *Service) any { return &o.Slots }), min: 1, max: 1024},
	{name: "connections", at: in(func(o *Service) any { return &o.MaxConnections }), min: 1, max: 65535},
	{name: "guard", at: in(func(o *Service) any { return &o.Guard })},
	{name: "probe-path", at: in(func(o *Service) any { return &o.ProbePath }), form: pathForm},
	{name: "idle-timeout", at: in(func(o *Service) any { return &o.IdleTimeout }), min: int64(time.Second), max: int64(time.Hour)},
}

var priorityFields = []field{
	{name: "name", at: in(func(o *Priority) any { return &o.Name }), form: nameForm},
	{name: "rank", at: in(func(o *Priority) any { return &o.Rank }), min: 1, max: 100},
	{name: "share", at: in(func(o *Priority) any { return &o.Share }), min: 1, max: 100},
	{name: "queue", at: in(func(o *Priority) any { return &o.MaxQueued }), min: 1, max: 1_000_000},
}

var kindFields = []field{
	{name: "name", at: in(func(o *Kind) any { return &o.Name }), form: nameForm},
	{name: "service", at: in(func(o *Kind) any { return &o.Service }), refers: objectService},
	{name: "path", at: in(func(o *Kind) any { return &o.Path }), form: pathForm},
	{name: "priority", at: in(func(o *Kind) any { return &o.Priority }), refers: objectPriority},
	{name: "idempotent", at: in(func(o *Kind) any { return &o.Idempotent })},
	{name: "attempts", at: in(func(o *Kind) any { return &o.MaxAttempts }), min: 1, max: 10},
	{name: "deadline", at: in(func(o *Kind) any { return &o.Deadline }), min: int64(time.Millisecond), max: int64(maxDeadline)},
	{name: "run-time", at: in(func(o *Kind) any { return &o.RunTime }), min: int64(time.Millisecond), max: int64(maxDeadline)},
	{name: "max-tasks", at: in(func(o *Kind) any { return &o.MaxTasks }), min: 1, max: maxTasks},
}

var limitFields = []field{
	{name: "name", at: in(func(o *Limit) any { return &o.Name }), form: nameForm},
	{name: "parent", at: in(func(o *Limit) any { return &o.Parent }), refers: objectLimit, optional: true},
	{name: "quota", at: in(func(o *Limit) any { return &o.Quota }), min: 1, max: 100},
	{name: "queue", at: in(func(o *Limit) any { return &o.MaxQueued }), min: 1, max: 1_000_000},
}

var teamFields = []field{
	{name: "name", at: in(func(o *Team) any { return &o.Name }), form: nameForm},
	{name: "limit", at: in(func(o *Team) any { return &o.Limit }), refers: objectLimit, optional: true},
	{name: "weight", at: in(func(o *Team) any { return &o.Weight }), min: 1, max: 1000},
}

// in adapts a typed accessor to objects of any type.
func in[T any](at func(*T) any) func(any) any {
	return func(object any) any { return at(object.(*T)) }
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

// text returns the value of the field as it is written in object files.
func (f field) text(object any) string {
	switch value := f.at(object).(type) {
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

// allowed says which values the field accepts.
func (f field) allowed(object any) string {
	switch f.at(object).(type) {
	case *string:
		if f.refers != "" {
			return "the name of a " + f.refers
		}
		return f.form.allowed
	case *int:
		return fmt.Sprintf("a whole number from %d to %d", f.min, f.max)
	case *bool:
		return "true or false"
	case *time.Duration:
		return fmt.Sprintf("a duration from %s to %s", durationText(time.Duration(f.min)), durationText(time.Duration(f.max)))
	}
	panic("field " + f.name + " has a type without a rule")
}

// valid says whether the value of the field is in range.
func (f field) valid(object any) bool {
	switch value := f.at(object).(type) {
	case *string:
		return f.validText(*value)
	case *int:
		return int64(*value) >= f.min && int64(*value) <= f.max
	case *time.Duration:
		return int64(*value) >= f.min && int64(*value) <= f.max
	}
	return true
}

// violation says in which way a value is not valid.
func (f field) violation() string {
	if f.refers != "" {
		return "empty reference"
	}
	if f.form != nil {
		return "malformed value"
	}
	return "value out of range"
}

func (f field) validText(value string) bool {
	if f.refers != "" {
		return value != "" || f.optional
	}
	return f.form.pattern.MatchString(value)
}
