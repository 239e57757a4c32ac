package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

const envPrefix = "SAMPHIREPLANK_"

// logTimeFormat has milliseconds, so that the lines of several VMs can be put in order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal ends the command in an orderly way; after it, a second one kills the process.
	context.AfterFunc(ctx, stop)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr, connect)
	stop()
	os.Exit(code)
}

// globalOptions are the flags of all commands.
type globalOptions struct {
	JSON     bool   `long:"json" description:"Write results as JSON"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least severe level of the log lines on standard error"`
}

// run executes one command line and returns the exit code of the process.
func run(ctx context.Context, args []string, stdout, stderr io.Writer, connect connector) int {
	var global globalOptions
	list := commands()
	parser, err := newParser(&global, list)
	if err != nil {
		fmt.Fprintln(stderr, "samphireplank:", err)
		return exitUsage
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return usage(parser, err, stdout, stderr)
	}
	level, err := zerolog.ParseLevel(global.LogLevel)
	if err != nil {
		return usage(parser, err, stdout, stderr)
	}
	e := &environment{
		JSON:    global.JSON,
		Out:     stdout,
		Log:     zerolog.New(stderr).Level(level).With().Timestamp().Logger(),
		connect: connect,
	}
	for _, c := range list {
		if c.name == parser.Active.Name {
			return e.finish(c.runner.Run(ctx, e), stderr)
		}
	}
	return exitUsage
}

// newParser returns a parser that knows every flag as an environment variable, too.
func newParser(global *globalOptions, list []command) (*flags.Parser, error) {
	parser := flags.NewNamedParser("samphireplank", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Dispatcher for sub-second tasks"
	parser.LongDescription = "Dispatches sub-second tasks to endpoints, and publishes the objects that say how.\n\n" + exitCodeHelp
	if _, err := parser.AddGroup("Global options", "", global); err != nil {
		return nil, err
	}
	for _, c := range list {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.runner); err != nil {
			return nil, fmt.Errorf("command %s: %w", c.name, err)
		}
	}
	setEnvironmentKeys(parser.Command)
	return parser, nil
}

func setEnvironmentKeys(c *flags.Command) {
	setGroupKeys(c.Group)
	for _, sub := range c.Commands() {
		setEnvironmentKeys(sub)
	}
}

func setGroupKeys(g *flags.Group) {
	for _, o := range g.Options() {
		if o.LongName == "" || o.LongName == "help" {
			continue
		}
		o.EnvDefaultKey = envPrefix + strings.ToUpper(strings.ReplaceAll(o.LongName, "-", "_"))
		o.EnvDefaultDelim = ","
	}
	for _, sub := range g.Groups() {
		setGroupKeys(sub)
	}
}

// usage reports a wrong command line, or prints the help that was asked for.
func usage(parser *flags.Parser, err error, stdout, stderr io.Writer) int {
	var problem *flags.Error
	if errors.As(err, &problem) && problem.Type == flags.ErrHelp {
		writeHelp(stdout, parser)
		return exitDone
	}
	fmt.Fprintln(stderr, "samphireplank:", err)
	fmt.Fprintln(stderr, "Run samphireplank --help for the commands and samphireplank <command> --help for their flags.")
	return exitUsage
}
