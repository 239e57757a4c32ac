package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"regexp"
	"time"

	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
	"samphireplank.example/samphireplank/store"
)

// Registrar puts this VM into the platform's list; only the stand-in of the platform needs it.
type Registrar interface {
	Register(ctx context.Context, vm store.VM) error
}

// Config holds the settings of an entry VM.
type Config struct {
	VM          string // id, unique among all VMs
	Zone        string
	Listen      string   // host:port for callers
	LinkListen  string   // host:port for other entry VMs
	Address     string   // host:port by which callers and operators reach Listen; the listener's own if empty
	LinkAddress string   // host:port by which entry VMs reach LinkListen; the listener's own if empty
	SeedPeers   []string // host:port of the links of entry VMs to ask when the platform is away
	DrainDelay  time.Duration
	StopTimeout time.Duration // longest time for a graceful shutdown after DrainDelay
	SlotPolicy  slot.Policy
	QueuePolicy queue.Policy

	Store     store.Store
	Directory store.Directory
	Registrar Registrar // optional
	Log       zerolog.Logger
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// Validate returns everything that is wrong with the settings, or nil.
func (c Config) Validate() error {
	var problems []error
	for _, name := range []struct{ setting, value string }{{"vm", c.VM}, {"zone", c.Zone}} {
		if !namePattern.MatchString(name.value) {
			problems = append(problems, fmt.Errorf("%s is %q, allowed are 1 to 64 of a-z, 0-9 and - inside", name.setting, name.value))
		}
	}
	addresses := []struct {
		setting, value string
		optional       bool
	}{
		{"listen", c.Listen, false},
		{"link-listen", c.LinkListen, false},
		{"address", c.Address, true},
		{"link-address", c.LinkAddress, true},
	}
	for _, address := range addresses {
		if address.optional && address.value == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			problems = append(problems, fmt.Errorf("%s is %q, it must be host:port", address.setting, address.value))
		}
	}
	for _, peer := range c.SeedPeers {
		if _, _, err := net.SplitHostPort(peer); err != nil {
			problems = append(problems, fmt.Errorf("peers contains %q, it must be host:port", peer))
		}
	}
	if c.DrainDelay < 0 || c.DrainDelay > time.Minute {
		problems = append(problems, fmt.Errorf("drain-delay is %v, allowed are 0s to 1m", c.DrainDelay))
	}
	if c.StopTimeout <= 0 || c.StopTimeout > 10*time.Minute {
		problems = append(problems, fmt.Errorf("stop-timeout is %v, allowed are more than 0s and up to 10m", c.StopTimeout))
	}
	return errors.Join(problems...)
}
