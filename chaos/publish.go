package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

// publishPeriod is the time between two publications.
const publishPeriod = 3 * time.Second

// lastNumber is the number of the publication after all faults, which no other publication has.
const lastNumber = 50

// publishTimeout ends a publication that hangs.
const publishTimeout = 30 * time.Second

// Exit codes of publish.
const (
	exitDone       = 0
	exitFailed     = 1
	exitLostRace   = 4
	exitNotInForce = 5
)

// publication is the result of one run of publish.
type publication struct {
	code       int
	generation uint64
	output     string
	from, to   time.Time
}

// publishFirst publishes the first generation before there are entry VMs.
func (c *cluster) publishFirst(ctx context.Context) error {
	p, err := c.publish(ctx, 0, 0)
	if err != nil {
		return err
	}
	if p.code != exitDone {
		return fmt.Errorf("first publication: exit code %d: %s", p.code, p.output)
	}
	return nil
}

// publish writes the objects with another weight of a team and publishes them.
func (c *cluster) publish(ctx context.Context, number int, wait time.Duration) (publication, error) {
	data, err := os.ReadFile(c.cfg.ObjectsFile)
	if err != nil {
		return publication{}, fmt.Errorf("read objects: %w", err)
	}
	data = append(data, fmt.Sprintf("---\nobject: team\nname: chaos\nweight: %d\n", 1+number)...)
	file := filepath.Join(c.cfg.LogDir, fmt.Sprintf("objects-%d.yaml", number))
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return publication{}, fmt.Errorf("write objects: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(c.cfg.BinDir, "samphireplank"), "--json", "publish", "--author", "chaos",
		"--reason", "change "+strconv.Itoa(number), "--wait", wait.String(), "--platform", "http://"+c.platform(), file)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	p := publication{from: time.Now()}
	err = cmd.Run()
	p.to, p.code, p.output = time.Now(), cmd.ProcessState.ExitCode(), stdout.String()+stderr.String()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return p, fmt.Errorf("run publish: %w", err)
	}
	var result struct {
		Record struct {
			Generation uint64 `json:"generation"`
		} `json:"record"`
	}
	if json.Unmarshal(stdout.Bytes(), &result) == nil {
		p.generation = result.Record.Generation
	}
	return p, nil
}

// publishChanges publishes a change every few seconds until ctx ends.
func publishChanges(ctx context.Context, c *cluster, r *record) ([]publication, error) {
	const wait = 2 * time.Second
	var all []publication
	for number := 1; sleep(ctx, publishPeriod); number++ {
		// A publication in progress at the end of the run is not cut off.
		p, err := c.publish(context.WithoutCancel(ctx), number%lastNumber, wait)
		if err != nil {
			return all, err
		}
		all = append(all, p)
		r.mu.Lock()
		r.published[strconv.Itoa(p.code)]++
		r.mu.Unlock()
	}
	return all, nil
}

// judgePublications allows failed publications only while the platform has a fault.
func judgePublications(all []publication, r *record) {
	// The platform's faults have effects on calls that began shortly before them.
	const slack = time.Second
	for _, p := range all {
		switch p.code {
		case exitDone, exitLostRace, exitNotInForce:
			continue
		case exitFailed:
			if len(overlapping(r.spans, p.from.Add(-slack), p.to.Add(slack), FaultEvent.platform)) > 0 {
				continue
			}
		}
		r.violation("exit code of publish", fmt.Sprintf("%d with no fault of the platform: %.300s", p.code, p.output))
	}
}
