package chaos

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// process is a child process with its log file.
type process struct {
	name  string
	cmd   *exec.Cmd
	group errgroup.Group
	ended chan struct{} // closed after the end
}

// startProcess runs a program and appends what it writes to a log file.
func startProcess(name, log string, program string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	defer file.Close()
	p := &process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p.group.Go(func() error {
		defer close(p.ended)
		return p.cmd.Wait()
	})
	return p, nil
}

// signal sends a signal; a process that has ended gets none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// wait returns the error of the process, or another one if it does not end in time.
func (p *process) wait(ctx context.Context, timeout time.Duration) error {
	select {
	case <-p.ended:
		if err := p.group.Wait(); err != nil {
			return fmt.Errorf("%s ended with %w", p.name, err)
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not end in %v", p.name, timeout)
	case <-ctx.Done():
		return fmt.Errorf("wait for the end of %s: %w", p.name, ctx.Err())
	}
}

// kill ends the process at once, also while it is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}
