package contract

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite golden files")

// Guards against problems that are missed, lose their line or mask each other: one report lists them all.
func TestReadReportsAllProblems(t *testing.T) {
	inputs, err := filepath.Glob("testdata/refused/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, input := range inputs {
		t.Run(filepath.Base(input), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(input)
			is.NoErr(err)
			set, problems := ParseFiles([]ObjectFile{{Name: filepath.Base(input), Data: data}})
			is.Equal(set, nil)
			var report strings.Builder
			for _, p := range problems {
				report.WriteString(p.String() + "\n")
			}
			golden(t, strings.TrimSuffix(input, ".yaml")+".golden", report.String())
		})
	}
}

// Guards against an accepted set that loses or alters a field when it is encoded to the canonical form and decoded.
func TestReadEncodeDecode(t *testing.T) {
	is := is.New(t)
	set := readSet(t, "testdata/valid.yaml")
	data, err := set.Encode()
	is.NoErr(err)
	golden(t, "testdata/valid.golden", string(data))
	decoded, err := Decode(data)
	is.NoErr(err)
	is.Equal(decoded, set)
	is.Equal(decoded.Digest(), set.Digest())
}

// Guards against a canonical form that depends on the order of objects or files.
func TestEncodeIgnoresOrder(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/valid.yaml")
	is.NoErr(err)
	documents := strings.Split(string(data), "---\n")
	var files []ObjectFile
	for n := len(documents) - 1; n >= 0; n-- {
		files = append(files, ObjectFile{Name: "part.yaml", Data: []byte(documents[n])})
	}
	reversed, problems := ParseFiles(files)
	is.Equal(len(problems), 0)
	is.Equal(reversed.Digest(), readSet(t, "testdata/valid.yaml").Digest())
}

func readSet(t *testing.T, name string) *Set {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	set, problems := ParseFiles([]ObjectFile{{Name: name, Data: data}})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return set
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(name, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(got, string(want))
}
