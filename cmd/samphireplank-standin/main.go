// Command samphireplank-standin runs stand-ins for the platform and for endpoints in tests and trials.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errSettings marks flags that can't be used together or have a wrong value.
var errSettings = errors.New("settings are wrong")

func main() {
	parser := flags.NewNamedParser("samphireplank-standin", flags.Default)
	if err := addCommands(parser); err != nil {
		os.Exit(exitFailed)
	}
	_, err := parser.Parse()
	var problem *flags.Error
	switch {
	case err == nil || flags.WroteHelp(err):
	case errors.As(err, &problem) || errors.Is(err, errSettings):
		os.Exit(exitUsage)
	default:
		os.Exit(exitFailed)
	}
}

func addCommands(parser *flags.Parser) error {
	if _, err := parser.AddCommand("platform", "Run the platform stand-in", "", &platformCommand{}); err != nil {
		return err
	}
	_, err := parser.AddCommand("endpoint", "Run endpoint stand-ins", "", &endpointCommand{})
	return err
}

func newLogger() zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}

// waitForSignal returns when the process is asked to stop.
func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}
