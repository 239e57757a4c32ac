package contract

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against object files that crash validation, are rejected without a line, or lose content if accepted.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		set, problems := ParseFiles([]ObjectFile{{Name: "fuzz.yaml", Data: data}})
		if (set == nil) == (len(problems) == 0) {
			t.Fatalf("set %v with %d problems", set, len(problems))
		}
		for _, p := range problems {
			if p.Reason == "" || p.File != "" && p.Line < 1 {
				t.Fatalf("problem without reason or line: %+v", p)
			}
			if text := p.String(); bytes.ContainsAny([]byte(text), "\n\r\x00\x1b") {
				t.Fatalf("problem with control characters: %q", text)
			}
		}
		if set == nil {
			return
		}
		encoded, err := set.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(decoded, set) {
			t.Fatalf("decoded %v instead of %v: %v", decoded, set, err)
		}
	})
}

// Guards against stored bytes that are accepted although they are not the canonical form of a valid set.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := set.Encode()
		if err != nil || !bytes.Equal(encoded, data) {
			t.Fatalf("encoded %q instead of %q: %v", encoded, data, err)
		}
		if problems := set.Validate(); len(problems) > 0 {
			t.Fatal(problems)
		}
	})
}

// Guards against stored patches that crash an entry VM or result in an invalid set.
func FuzzDecodeChange(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := DecodePatch(data)
		if err != nil {
			return
		}
		if encoded := change.Encode(); !bytes.Equal(encoded, data) {
			t.Fatalf("encoded %q instead of %q", encoded, data)
		}
		set, err := change.Apply(&Set{})
		if err == nil && (set.Digest() != change.To || len(set.Validate()) > 0) {
			t.Fatalf("applied to a wrong set %v", set)
		}
	})
}
