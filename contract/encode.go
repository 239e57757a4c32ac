package contract

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Digest is the SHA-256 of the canonical form of a set as lower-case hex text.
type Digest string

// Encode returns the canonical JSON form of the set, or an error if it exceeds MaxEncodedSize.
func (s *Set) Encode() ([]byte, error) {
	data := appendItems(nil, s.items())
	if len(data) > MaxEncodedSize {
		return nil, fmt.Errorf("set has %d bytes in canonical form, at most %d are allowed", len(data), MaxEncodedSize)
	}
	return data, nil
}

// Digest returns the digest of the canonical form.
func (s *Set) Digest() Digest {
	return digestOf(appendItems(nil, s.items()))
}

func digestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether the digest has the form of a SHA-256 in lower-case hex text.
func (d Digest) Valid() bool {
	data, err := hex.DecodeString(string(d))
	return err == nil && len(data) == sha256.Size && hex.EncodeToString(data) == string(d)
}

// Decode parses the canonical form of a set and returns a *ValidationError if the set is invalid.
func Decode(data []byte) (*Set, error) {
	if len(data) > MaxEncodedSize {
		return nil, fmt.Errorf("set has %d bytes, at most %d are allowed", len(data), MaxEncodedSize)
	}
	set, err := decodeObjects(data)
	if err != nil {
		return nil, fmt.Errorf("decode set: %w", err)
	}
	if !bytes.Equal(appendItems(nil, set.items()), data) {
		return nil, fmt.Errorf("decode set: not in canonical form")
	}
	if problems := set.Validate(); len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return set, nil
}

// items returns pointers to copies of all objects, ordered by object type and name.
func (s *Set) items() []parsedObject {
	count := len(s.Services) + len(s.Priorities) + len(s.Kinds) + len(s.Limits) + len(s.Teams)
	items := make([]parsedObject, 0, count)
	items = appendObjects(items, schemas[0], s.Services)
	items = appendObjects(items, schemas[1], s.Priorities)
	items = appendObjects(items, schemas[2], s.Kinds)
	items = appendObjects(items, schemas[3], s.Limits)
	items = appendObjects(items, schemas[4], s.Teams)
	return items
}

func appendObjects[T any](items []parsedObject, s *schema, objects []T) []parsedObject {
	start := len(items)
	objects = slices.Clone(objects)
	for n := range objects {
		items = append(items, parsedObject{schema: s, object: &objects[n]})
	}
	sortItems(items[start:])
	return items
}

func sortItems(items []parsedObject) {
	slices.SortStableFunc(items, func(a, b parsedObject) int { return cmp.Compare(a.name(), b.name()) })
}

// newSet builds a set with its objects sorted by name.
func newSet(items []parsedObject) *Set {
	items = slices.Clone(items)
	sortItems(items)
	set := &Set{}
	for _, i := range items {
		switch o := i.object.(type) {
		case *Service:
			set.Services = append(set.Services, *o)
		case *Priority:
			set.Priorities = append(set.Priorities, *o)
		case *Kind:
			set.Kinds = append(set.Kinds, *o)
		case *Limit:
			set.Limits = append(set.Limits, *o)
		case *Team:
			set.Teams = append(set.Teams, *o)
		}
	}
	return set
}

// appendItems appends the canonical form: object types in the order of schemas, objects in the order given.
func appendItems(data []byte, items []parsedObject) []byte {
	data = append(data, '{')
	for n, s := range schemas {
		if n > 0 {
			data = append(data, ',')
		}
		data = strconv.AppendQuote(data, s.plural)
		data = append(data, ":["...)
		first := true
		for _, i := range items {
			if i.schema != s {
				continue
			}
			if !first {
				data = append(data, ',')
			}
			first = false
			data = appendObject(data, i)
		}
		data = append(data, ']')
	}
	return append(data, '}')
}

func appendObject(data []byte, i parsedObject) []byte {
	data = append(data, '{')
	for n, f := range i.schema.fields {
		if n > 0 {
			data = append(data, ',')
		}
		data = strconv.AppendQuote(data, f.name)
		data = append(data, ':')
		data = appendValue(data, f.pointer(i.object))
	}
	return append(data, '}')
}

func appendValue(data []byte, pointer any) []byte {
	switch value := pointer.(type) {
	case *string:
		return appendText(data, *value)
	case *int:
		return strconv.AppendInt(data, int64(*value), 10)
	case *bool:
		return strconv.AppendBool(data, *value)
	case *time.Duration:
		return appendText(data, value.String())
	}
	panic(fmt.Sprintf("no canonical form for %T", pointer))
}

// appendText appends a JSON string; encoding a string cannot fail.
func appendText(data []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return append(data, encoded...)
}

func decodeObjects(data []byte) (*Set, error) {
	var raw map[string][]map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, err
	}
	var items []parsedObject
	for _, s := range schemas {
		for _, fields := range raw[s.plural] {
			object, err := s.decode(fields)
			if err != nil {
				return nil, err
			}
			items = append(items, parsedObject{schema: s, object: object})
		}
	}
	return newSet(items), nil
}

// decode parses one object; unknown fields are detected later, when the canonical forms are compared.
func (s *schema) decode(fields map[string]json.RawMessage) (any, error) {
	object := s.create()
	for _, f := range s.fields {
		raw, given := fields[f.name]
		if !given {
			return nil, fmt.Errorf("%s: field %s is missing", s.object, f.name)
		}
		if err := decodeValue(raw, f.pointer(object)); err != nil {
			return nil, fmt.Errorf("%s: field %s: %w", s.object, f.name, err)
		}
	}
	return object, nil
}

func decodeValue(raw json.RawMessage, pointer any) error {
	duration, ok := pointer.(*time.Duration)
	if !ok {
		return json.Unmarshal(raw, pointer)
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*duration = value
	return nil
}
