package preflight

import (
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/worker"
)

// Field is a field of a configuration file with its place.
type Field[T any] struct {
	Name   string // as in the file
	Object string // the object that has the field, for example: route quotes
	File   string
	Line   int    // of the value, or of the object if the field is missing
	Text   string // the value as in the file
	Given  bool   // the field is in the file, with a value other than null
	Valid  bool   // the field is given and has the right type
	Value  T      // the zero value unless Valid
}

// problem returns a problem with the field.
func (f Field[T]) problem(reason, allowed string) contract.Problem {
	return contract.Problem{File: f.File, Line: f.Line, Object: f.Object, Field: f.Name, Value: f.Text, Reason: reason, Allowed: allowed}
}

// Route is a route of a configuration file.
type Route struct {
	Label       string // how findings name the route
	Name        Field[string]
	Host        Field[string]
	Prefix      Field[string]
	Service     Field[string]
	Timeout     Field[float64] // ms
	Target      Field[float64] // ms
	Priority    Field[int64]
	MaxAttempts Field[int64]
	Stretch     Field[float64]
	Advice      Field[string] // as JSON
	Tickets     bool          // the advice means that workers require tickets
}

// Service is a service of a configuration file.
type Service struct {
	Label string
	Name  Field[string]
	Spare Field[bool]
}

// Limits are the limits of a configuration file.
type Limits struct {
	MaxHeader     Field[int64]   // bytes
	MaxBody       Field[int64]   // bytes
	HeaderTimeout Field[float64] // ms
	IdleTimeout   Field[float64] // ms
}

// Configuration is a configuration file with the places of its fields.
type Configuration struct {
	Version  Field[int64]
	Routes   Field[[]Route]
	Services Field[[]Service]
	Limits   Limits
	// Findings are what the decoding found: values of a wrong type, doubled and unknown fields.
	Findings []Finding
	// Broken means that the file is not a JSON object, so that nothing but Findings is known.
	Broken bool
	// MaxSpec is the size in bytes of the largest job description that requests may contain.
	MaxSpec int
}

// Workers are the entries of a worker list.
type Workers struct {
	List     []worker.Worker
	Findings []Finding // about entries that cannot be used
}

const (
	// maxTimeMS is one day: a longer time is a wrong unit rather than an intention.
	maxTimeMS = 24 * 60 * 60 * 1000
	// maxBytes keeps sizes within an int32, so that no sum of them overflows.
	maxBytes = 1<<31 - 1
	// maxPriority is far above the number of priorities in use, and keeps the order of jobs exact in a float64.
	maxPriority = 1000
	// maxStretch bounds the target duration: a larger factor means that the field was taken for a time.
	maxStretch = 1000
	// minAttempt is placement.Rules.StartTimeout, the shortest time after which a start counts as unanswered. An attempt whose
	// start is lost takes at least this long.
	minAttempt = 60 * time.Millisecond
)
