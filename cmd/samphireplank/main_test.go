package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// execute runs a command line and returns its exit code and output.
func execute(t *testing.T, connect connector, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code = run(t.Context(), args, &out, &errOut, connect)
	return code, out.String(), errOut.String()
}

func noPlatform([]string, time.Duration) (platformClient, error) {
	return nil, errors.New("connection refused")
}

// Guards against exit codes that scripts of operators can't rely on.
func TestExitCodes(t *testing.T) {
	const valid, refused = "../../contract/testdata/valid.yaml", "../../contract/testdata/refused/objects.yaml"
	tests := []struct {
		name string
		args []string
		code int
		text string // in the output of either kind
	}{
		{"help", []string{"--help"}, exitDone, "Run an entry VM"},
		{"help of a command", []string{"publish", "--help"}, exitDone, "Environment: SAMPHIREPLANK_AUTHOR."},
		{"no command", nil, exitUsage, "command"},
		{"unknown command", []string{"deploy"}, exitUsage, "deploy"},
		{"unknown flag", []string{"check", "--force", valid}, exitUsage, "force"},
		{"missing flag", []string{"publish", valid}, exitUsage, "--author"},
		{"missing file", []string{"check", "nowhere.yaml"}, exitUsage, "nowhere.yaml"},
		{"directory without files", []string{"check", "."}, exitUsage, "no .yaml files"},
		{"extra argument", []string{"status", "--platform", "x", "y"}, exitUsage, "y"},
		{"accepted", []string{"check", valid}, exitDone, "services 1"},
		{"refused", []string{"check", refused}, exitRefused, "objects.yaml:3"},
		{"refused before the platform is asked", []string{"plan", "--platform", "x", refused}, exitRefused, "objects.yaml:3"},
		{"refused in JSON", []string{"check", "--json", refused}, exitRefused, `"exit-code": 3`},
		{"platform down", []string{"plan", "--platform", "x", valid}, exitFailed, "connection refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := execute(t, noPlatform, test.args...)
			is.Equal(code, test.code)
			is.True(strings.Contains(stdout+stderr, test.text))
		})
	}
}

// Guards against a flag that can't be set by an environment variable.
func TestFlagsFromEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("SAMPHIREPLANK_PLATFORM", "10.0.0.1:80,10.0.0.2:80")
	t.Setenv("SAMPHIREPLANK_PLATFORM_TIMEOUT", "3s")
	var got []string
	code, _, _ := execute(t, func(addresses []string, timeout time.Duration) (platformClient, error) {
		got = append(addresses, timeout.String())
		return nil, errors.New("stop here")
	}, "status")
	is.Equal(code, exitFailed)
	is.Equal(got, []string{"10.0.0.1:80", "10.0.0.2:80", "3s"})
}

// Guards against a flag or command without help.
func TestEverythingIsDescribed(t *testing.T) {
	parser, err := newParser(&globalOptions{}, commands())
	is.New(t).NoErr(err)
	for _, c := range parser.Commands() {
		if c.ShortDescription == "" || c.LongDescription == "" {
			t.Errorf("command %s has no help", c.Name)
		}
		for _, g := range append(c.Groups(), c.Group) {
			for _, o := range g.Options() {
				if o.LongName != "help" && (o.Description == "" || o.EnvDefaultKey == "") {
					t.Errorf("flag --%s of %s has no description or environment variable", o.LongName, c.Name)
				}
			}
		}
	}
}
