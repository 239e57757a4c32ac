package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode"

	"samphireplank.example/samphireplank/platform"
	"samphireplank.example/samphireplank/preflight"
)

const checkConfigHelp = "Checks a configuration of the users' platform, the JSON that operators write, before it is published, without " +
	"contacting anything. Reports all errors and warnings at once, errors first, and what differs from the version in force."

type checkConfigCommand struct {
	InForce string `long:"in-force" value-name:"FILE" description:"Configuration in force, to show what would change"`
	Workers string `long:"workers" value-name:"FILE" description:"JSON object of worker entries by key, as the store holds them, to find routes without workers"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"The configuration to check"`
	} `positional-args:"yes" required:"yes"`
}

// configurationError is a configuration that the check refused; its report is printed.
type configurationError struct{ report preflight.Report }

func (e *configurationError) Error() string {
	return fmt.Sprintf("refused by the check with %d errors and %d warnings", e.report.Errors, e.report.Warnings)
}

// Run prints the report of the check.
func (c *checkConfigCommand) Run(_ context.Context, e *environment) error {
	request, err := c.request()
	if err != nil {
		return &settingsError{err}
	}
	report := preflight.Check(request)
	if err := e.print(report, func(w io.Writer) { printPreflight(w, report, request.InForce) }); err != nil {
		return err
	}
	if report.Errors > 0 {
		return &configurationError{report}
	}
	return nil
}

// request reads the files. Faults of the candidate are left to the check.
func (c *checkConfigCommand) request() (preflight.Request, error) {
	var r preflight.Request
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return r, err
	}
	r.Candidate = platform.Decoder{}.DecodeConfigurationFile(c.Args.File, text)
	if c.InForce != "" {
		text, err := os.ReadFile(c.InForce)
		if err != nil {
			return r, err
		}
		inForce := platform.Decoder{}.DecodeConfigurationFile(c.InForce, text)
		if inForce.Broken {
			return r, fmt.Errorf("configuration in force: %s", inForce.Findings[0].Problem)
		}
		r.InForce = &inForce
	}
	if c.Workers != "" {
		text, err := os.ReadFile(c.Workers)
		if err != nil {
			return r, err
		}
		workers, err := platform.Decoder{}.DecodeWorkerFile(c.Workers, text)
		if err != nil {
			return r, fmt.Errorf("list of workers: %w", err)
		}
		r.Workers = &workers
	}
	return r, nil
}

func printPreflight(w io.Writer, r preflight.Report, inForce *preflight.Configuration) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	verdict := "accepted"
	if r.Errors > 0 {
		verdict = "refused"
	}
	fmt.Fprintf(w, "%s: errors %d, warnings %d\n", verdict, r.Errors, r.Warnings)
	if inForce == nil {
		return
	}
	fmt.Fprintf(w, "\nCompared with version %s in force:\n", cmp.Or(inForce.Version.Text, "(none)"))
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "nothing differs")
	}
	signs := map[preflight.Action]string{preflight.Added: "+", preflight.Changed: "~", preflight.Moved: ">", preflight.Dropped: "-"}
	for _, c := range r.Changes {
		if c.Field == "" {
			fmt.Fprintf(w, "%s %s %s\n", signs[c.Action], printable(c.Object), c.Action)
		} else {
			fmt.Fprintf(w, "%s %s %s: %s: %s -> %s\n", signs[c.Action], printable(c.Object), c.Action, c.Field, printable(orNone(c.From)), printable(orNone(c.To)))
		}
		fmt.Fprintf(w, "    %s\n", printable(c.Effect))
	}
}

// printable replaces characters that a terminal may interpret; names and values come from files.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}
