package main

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// Guards against refusals that are counted under a wrong cause, and lines that stop the report.
func TestLosses(t *testing.T) {
	is := is.New(t)
	code, out, _ := execute(t, noPlatform, "losses", "testdata/losses.log")
	is.Equal(code, exitDone)
	const golden = "testdata/losses.golden"
	if *updateGolden {
		is.NoErr(os.WriteFile(golden, []byte(out), 0o600))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(out, string(want))
	code, _, _ = execute(t, noPlatform, "losses", "testdata/nowhere.log")
	is.Equal(code, exitUsage)
}
