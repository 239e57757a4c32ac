package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/gateway"
	"samphireplank.example/samphireplank/intake"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/platform"
	"samphireplank.example/samphireplank/traffic"
)

// logLines bounds the log lines that wait to be written; more are dropped and counted.
const logLines = 4096

const serveHelp = "Runs a VM on the users' platform until SIGTERM starts its graceful shutdown. SIGHUP reads the settings file again: what can't change in a running process is logged."

// serveCommand runs a VM on the users' platform.
type serveCommand struct {
	Boot           string `long:"boot" required:"true" description:"settings file that the platform has written"`
	NoInterference bool   `long:"no-interference" description:"don't learn which tasks slow each other down on one worker"`
}

// Run serves until ctx ends.
func (c *serveCommand) Run(ctx context.Context, e *environment) error {
	settings, err := platform.ReadSettings(c.Boot)
	if err != nil {
		return &settingsError{err}
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(intake.Derive(intake.Resources{MemoryBytes: settings.MemoryBytes}).RuntimeBytes)
	}
	out, dropped := boundedLog(e.Out)
	defer func() { _ = out.Close() }() // the process ends
	rules := placement.DefaultRules()
	account := traffic.NewMeter(traffic.MeterConfig{LinkBytesPerSecond: settings.LinkBytesPerSecond})
	g := gateway.New(gateway.Config{
		Settings:       settings,
		Store:          platform.NewKVClient(platform.KVClientConfig{Address: settings.StoreAddress, Traffic: account}),
		Workers:        platform.NewWorkerClient(platform.WorkerClientConfig{Traffic: account}),
		Decoder:        platform.Decoder{},
		NewHandler:     platform.NewHandler,
		PlacementRules: rules,
		ClaimRules:     claim.DefaultRules(),
		NoInterference: c.NoInterference,
		Traffic:        account,
		Log:            zerolog.New(out).Level(e.Log.GetLevel()).With().Timestamp().Logger(),
	})
	g.RegisterDroppedMetric(dropped.Load)
	// SIGTERM is listed so that a second one does not end a process that is still answering requests.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(signals)
	group, ctx := errgroup.WithContext(ctx)
	done := make(chan struct{})
	group.Go(func() error {
		for {
			select {
			case <-done:
				return nil
			case received := <-signals:
				if received == syscall.SIGHUP {
					changed, err := platform.ReadSettings(c.Boot)
					g.LogReload(changed, err)
				}
			}
		}
	})
	err = g.Run(ctx)
	close(done)
	return errors.Join(err, group.Wait())
}

// boundedLog returns a writer that never blocks, and the number of lines that it has dropped.
func boundedLog(w io.Writer) (diode.Writer, *atomic.Int64) {
	var dropped atomic.Int64
	return diode.NewWriter(w, logLines, 0, func(missed int) { dropped.Add(int64(missed)) }), &dropped
}
