package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/load"
)

// Config configures a Run.
type Config struct {
	Seed        uint64
	Duration    time.Duration // of the load
	BasePort    int           // of the platform; the other ports are above it
	BinDir      string        // directory of the programs
	ObjectsFile string        // file with the objects that the load needs
	LogDir      string        // directory for the logs of the processes
	Out         io.Writer     // takes the schedule and the report
}

// ErrCheckFailed means that a check did not hold.
var ErrCheckFailed = errors.New("a check did not hold")

// Run runs a cluster under load and faults and writes a report; it returns ErrCheckFailed when a check did not hold.
func Run(ctx context.Context, cfg Config) error {
	events := NewSchedule(cfg.Seed, cfg.Duration, fleet())
	fmt.Fprintf(cfg.Out, "seed %d, %v, ports from %d, logs in %s\n", cfg.Seed, cfg.Duration, cfg.BasePort, cfg.LogDir)
	for _, event := range events {
		fmt.Fprintln(cfg.Out, " ", event)
	}
	c, err := startCluster(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.kill()
	r := newRecord()
	report, err := c.exercise(ctx, r, events)
	if err != nil {
		return err
	}
	for _, problem := range c.stop(ctx) {
		r.violation("planned stop with exit code 0", problem.Error())
	}
	judgeLoad(report, r, c)
	return r.write(cfg, report)
}

// exercise runs load, faults, publications and polls at the same time, and the checks that need the cluster.
func (c *cluster) exercise(ctx context.Context, r *record, events []FaultEvent) (*load.Report, error) {
	var report *load.Report
	var published []publication
	during, end := context.WithCancel(ctx)
	defer end()
	start := time.Now()
	main, side := errgroup.Group{}, errgroup.Group{}
	main.Go(func() (err error) {
		report, err = c.load(ctx)
		return err
	})
	main.Go(func() error { return newInjector(c, r).run(during, start, events) })
	side.Go(func() (err error) {
		published, err = publishChanges(during, c, r)
		return err
	})
	side.Go(func() error { return watchGenerations(during, c, r) })
	err := main.Wait()
	if err == nil {
		r.forwards = c.forwards(ctx)
		c.checkLast(ctx, r)
	}
	end()
	if err := errors.Join(err, side.Wait()); err != nil {
		return nil, err
	}
	judgePublications(published, r)
	return report, nil
}

// checkLast publishes once more without faults, which must work and be in force everywhere in time.
func (c *cluster) checkLast(ctx context.Context, r *record) {
	var last publication
	var err error
	for range 3 { // the periodic publications may win the race
		if last, err = c.publish(ctx, lastNumber, inForceLimit); err != nil || last.code != exitLostRace {
			break
		}
	}
	if err != nil || last.code != exitDone && last.code != exitNotInForce {
		r.violation("publication after the end of all faults", fmt.Sprintf("exit code %d: %v: %.300s", last.code, err, last.output))
		return
	}
	awaitGeneration(ctx, c, r, last.generation)
}

// settle is the time from the last answer to the counts; what was held back by a cut link has arrived by then.
const settle = 3 * time.Second

// load runs the load tool and returns its report.
func (c *cluster) load(ctx context.Context) (*load.Report, error) {
	profile := filepath.Join(c.cfg.LogDir, "profile.yaml")
	if err := os.WriteFile(profile, []byte(profileText), 0o644); err != nil {
		return nil, fmt.Errorf("write profile: %w", err)
	}
	args := []string{
		"--json", "load", "--profile", profile, "--balance", "--settle", settle.String(), "--duration", c.cfg.Duration.String(),
		"--seed", strconv.FormatUint(c.cfg.Seed, 10), "--slots", strconv.Itoa(len(zones) * endpointsPerZone * slotsPerEndpoint),
	}
	for i := range c.entries {
		args = append(args, "--entry", c.entryAddress(i))
	}
	for i := range zones {
		args = append(args, "--stand-in", c.address(endpointAdminPort+i))
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(c.cfg.BinDir, "samphireplank"), args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	runErr := cmd.Run() // a violated check has an exit code of its own and a report
	if err := os.WriteFile(c.log("load"), stdout.Bytes(), 0o644); err != nil {
		return nil, err
	}
	var report load.Report
	// With a violation, the JSON of the error follows the report.
	if err := json.NewDecoder(&stdout).Decode(&report); err != nil || report.Work == nil {
		return nil, fmt.Errorf("load tool gave no report (%v): %w: %s", runErr, err, stderr.String())
	}
	return &report, nil
}

// profileText is half of the capacity in jobs with short deadlines, so that planned stops don't take long. The first
// zone gets most of it, about its capacity, so that jobs are forwarded to other zones.
const profileText = `
name: chaos
duration: 30s
load: 0.5
slots: 192
weights: [5, 4, 3, 2, 1, 1, 1, 1, 1]
cancel: {share: 0.03, after: 100ms}
resubmit: {share: 0.05, after: 400ms}
mixes:
  - kind: next-line
    class: urgent
    teams: [stage-1, stage-2, stage-3]
    share: 3
    deadline: 2s
    idempotent: true
    tasks: {median: 4, sigma: 0.7, max: 40}
    run-time: {median: 90ms, sigma: 0.4, min: 50ms, max: 1s}
  - kind: retime
    class: normal
    teams: [stage-1, stage-2, studio]
    share: 5
    deadline: 6s
    tasks: {median: 4, sigma: 0.9, max: 40}
    run-time: {median: 180ms, sigma: 0.7, min: 50ms, max: 2s}
  - kind: render
    class: bulk
    teams: [archive, studio]
    share: 2
    deadline: 8s
    idempotent: true
    tasks: {median: 8, sigma: 0.8, max: 60}
    run-time: {median: 250ms, sigma: 0.7, min: 50ms, max: 2s}
`
