package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/publication"
)

// The exit codes of the process.
const (
	exitDone       = 0
	exitFailed     = 1
	exitUsage      = 2
	exitRefused    = 3
	exitLostRace   = 4
	exitNotInForce = 5
)

const exitCodeHelp = "Exit codes: 0 done; 1 failed; 2 usage or settings wrong; 3 objects or configuration refused by the check; " +
	"4 lost a race; 5 published but not in force everywhere in time."

// runner is a command: a struct with its flags that runs until it is done or ctx ends.
type runner interface {
	Run(ctx context.Context, e *environment) error
}

// command is an entry of the command list.
type command struct {
	name   string
	short  string
	long   string
	runner runner
}

// commands lists the commands; a new one needs one line here.
func commands() []command {
	return []command{
		{"check", "Check object files", checkHelp, &checkCommand{}},
		{"check-config", "Check a configuration of the users' platform", checkConfigHelp, &checkConfigCommand{}},
		{"plan", "Show what publishing object files would change", planHelp, &planCommand{}},
		{"publish", "Check object files and bring them into force", publishHelp, &publishCommand{}},
		{"history", "List the publications", historyHelp, &historyCommand{}},
		{"restore", "Publish the set of an earlier generation again", restoreHelp, &restoreCommand{}},
		{"status", "Show entry VMs, endpoints and demand by class", statusHelp, &statusCommand{}},
		{"serve", "Run a VM on the users' platform", serveHelp, &serveCommand{}},
		{"entry", "Run an entry VM", entryHelp, &entryCommand{}},
		{"demo", "Run everything in one process and show a report", demoHelp, &demoCommand{}},
		{"losses", "Show from logs where requests were lost", lossesHelp, &lossesCommand{}},
		{"load", "Generate load and report", loadHelp, &loadCommand{}},
	}
}

// environment is what a command gets from the process.
type environment struct {
	JSON    bool
	Out     io.Writer
	Log     zerolog.Logger
	connect connector
}

// settingsError marks wrong flags that the parser cannot find.
type settingsError struct{ err error }

func (e *settingsError) Error() string { return e.err.Error() }
func (e *settingsError) Unwrap() error { return e.err }

// print writes a result: as JSON, or as the text that the function writes.
func (e *environment) print(result any, text func(w io.Writer)) error {
	if !e.JSON {
		text(e.Out)
		return nil
	}
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// failure is the JSON form of an error.
type failure struct {
	Error    string              `json:"error"`
	ExitCode int                 `json:"exit-code"`
	Problems []contract.Problem  `json:"problems,omitempty"`
	Winner   *publication.Record `json:"winner,omitempty"`
}

// finish reports the error of a command and returns the exit code.
func (e *environment) finish(err error, stderr io.Writer) int {
	if err == nil {
		return exitDone
	}
	result := failure{Error: err.Error(), ExitCode: exitCode(err)}
	var refused *contract.ValidationError
	if errors.As(err, &refused) {
		result.Problems = refused.Problems
		result.Error = fmt.Sprintf("refused by the check with %d problems", len(refused.Problems))
	}
	var race *publication.ConflictError
	if errors.As(err, &race) {
		result.Winner = &race.Winner
	}
	var reported *notInForceError
	var faulty *configurationError
	if e.JSON && (errors.As(err, &reported) || errors.As(err, &faulty)) {
		return result.ExitCode // the result that was printed says it all
	}
	if e.JSON {
		if err := e.print(result, nil); err == nil {
			return result.ExitCode
		}
	}
	fmt.Fprintln(stderr, "samphireplank:", err)
	return result.ExitCode
}

func exitCode(err error) int {
	var settings *settingsError
	var refused *contract.ValidationError
	var faulty *configurationError
	var race *publication.ConflictError
	var notInForce *notInForceError
	switch {
	case errors.As(err, &settings):
		return exitUsage
	case errors.As(err, &refused), errors.As(err, &faulty):
		return exitRefused
	case errors.As(err, &race):
		return exitLostRace
	case errors.As(err, &notInForce):
		return exitNotInForce
	}
	return exitFailed
}
