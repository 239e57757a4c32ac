// Command samphireplank-chaos runs a cluster of processes under load and injected faults and judges the guarantees.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"samphireplank.example/samphireplank/chaos"
)

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
)

// settings are the flags of the program.
type settings struct {
	Seed     uint64        `long:"seed" env:"SEED" default:"1" description:"seed of the schedule of faults and of the load"`
	Duration time.Duration `long:"duration" env:"DURATION" default:"2m" description:"duration of the load, at most 10m"`
	Short    bool          `long:"short" description:"run for 15 s"`
	Port     int           `long:"port" env:"PORT" default:"17000" description:"port of the platform; the others are up to 1,300 above it"`
	Bin      string        `long:"bin" default:"bin" description:"directory of the programs"`
	Objects  string        `long:"objects" default:"examples/profiles/objects.yaml" description:"objects of the load"`
	Logs     string        `long:"logs" env:"LOGS" description:"directory of the logs, a new one in the directory for temporary files if empty"`
}

// shortDuration is the duration of --short.
const shortDuration = 15 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx)
	stop()
	os.Exit(code)
}

func run(ctx context.Context) int {
	var s settings
	if _, err := flags.Parse(&s); flags.WroteHelp(err) {
		return 0
	} else if err != nil {
		return exitUsage
	}
	if err := s.complete(); err != nil {
		fmt.Fprintln(os.Stderr, "samphireplank-chaos:", err)
		return exitUsage
	}
	err := chaos.Run(ctx, chaos.Config{
		Seed: s.Seed, Duration: s.Duration, BasePort: s.Port, BinDir: s.Bin, ObjectsFile: s.Objects, LogDir: s.Logs, Out: os.Stdout,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "samphireplank-chaos:", err)
		return exitFailed
	}
	return 0
}

// complete checks the settings and creates the directory of the logs.
func (s *settings) complete() (err error) {
	const most = 10 * time.Minute
	if s.Short {
		s.Duration = shortDuration
	}
	if s.Duration < shortDuration || s.Duration > most {
		return fmt.Errorf("--duration is %v, allowed are %v to %v", s.Duration, shortDuration, most)
	}
	if s.Port < 1024 || s.Port > 60_000 {
		return errors.New("--port must be between 1024 and 60000")
	}
	if s.Logs == "" {
		s.Logs, err = os.MkdirTemp("", "samphireplank-chaos-")
		return err
	}
	if s.Logs, err = filepath.Abs(s.Logs); err != nil {
		return err
	}
	return os.MkdirAll(s.Logs, 0o755)
}
