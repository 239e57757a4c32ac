package contract

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// Problem is one reason why a set is refused, with the place where it was found.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // counted from 1, 0 when the set was not read from a file
	Object  string `json:"object,omitempty"` // for example: kind scan
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Reason  string `json:"reason"`
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem as one line: file:line: object, field, value, reason and what is allowed.
func (p Problem) String() string {
	var parts []string
	if p.Object != "" {
		parts = append(parts, p.Object)
	}
	if p.Field != "" {
		parts = append(parts, "field "+p.Field)
	}
	if p.Value != "" {
		parts = append(parts, "value "+quoted(p.Value))
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
	return strings.Map(visible, text)
}

// visible replaces characters that could alter what a terminal shows; names and fields come from files unquoted.
func visible(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return unicode.ReplacementChar
}

// quoted quotes a value unless the file already did so.
func quoted(value string) string {
	if strings.HasPrefix(value, `"`) && strconv.CanBackquote(value) {
		return value
	}
	return strconv.Quote(value)
}

// ValidationError is returned for a set that is refused; it holds all of its problems.
type ValidationError struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
