package contract

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// Problem is one reason why a set is invalid, with the place where it was found.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // counted from 1, 0 if the set was not read from a file
	Object  string `json:"object,omitempty"` // for example: kind scan
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Reason  string `json:"reason"`
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem as one line: file:line: object, field, value, reason and allowed values.
func (p Problem) String() string {
	var parts []string
	if p.Object != "" {
		parts = append(parts, p.Object)
	}
	if p.Field != "" {
		parts = append(parts, "field "+p.Field)
	}
	if p.Value != "" {
		parts = append(parts, "value "+quoteValue(p.Value))
	}
	text := p.Reason
	if len(parts) > 0 {
		text = strings.Join(parts, ", ") + ": " + text
	}
	if p.Allowed != "" {
		text += "; allowed: " + p.Allowed
	}
	if p.File != "" {
		text = fmt.Sprintf("%s:%d: %s", p.File, p.Line, text)
	}
	return strings.Map(replaceUnprintable, text)
}

// replaceUnprintable replaces characters that a terminal may interpret; names and fields come from files unquoted.
func replaceUnprintable(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return unicode.ReplacementChar
}

// quoteValue quotes a value unless it is already quoted in the file.
func quoteValue(value string) string {
	if strings.HasPrefix(value, `"`) && strconv.CanBackquote(value) {
		return value
	}
	return strconv.Quote(value)
}

// ValidationError is returned for an invalid set and holds all of its problems.
type ValidationError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
