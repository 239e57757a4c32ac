package contract

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a reference page that differs from what validation accepts.
func TestObjectsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../docs/objects.md")
	is.NoErr(err)
	page := string(data)
	for _, s := range schemas {
		_, section, found := strings.Cut(page, "\n## "+s.object+"\n")
		is.True(found)
		section, _, _ = strings.Cut(section, "\n## ")
		for _, f := range s.fields {
			row := fmt.Sprintf("| `%s` | %s |", f.name, f.allowed(s.create()))
			if !strings.Contains(section, row) {
				t.Errorf("section %s lacks the row %s", s.object, row)
			}
		}
		is.Equal(strings.Count(section, "\n| `"), len(s.fields))
	}
	_, example, _ := strings.Cut(page, "```yaml\n")
	example, _, _ = strings.Cut(example, "```")
	_, problems := ParseFiles([]ObjectFile{{Name: "example", Data: []byte(example)}})
	is.Equal(len(problems), 0)
}

// Guards against invalid example sets.
func TestExamples(t *testing.T) {
	for _, name := range []string{"kuusepuu", "cascade", "demo"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			paths, err := filepath.Glob("../examples/" + name + "/*.yaml")
			is.NoErr(err)
			var files []ObjectFile
			for _, path := range paths {
				data, err := os.ReadFile(path)
				is.NoErr(err)
				files = append(files, ObjectFile{Name: path, Data: data})
			}
			set, problems := ParseFiles(files)
			is.Equal(problems, nil)
			is.True(len(set.Kinds) > 0 && len(set.Teams) > 0)
		})
	}
}
