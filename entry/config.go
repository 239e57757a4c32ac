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

// Registrar registers this VM in the platform's list of VMs; only the stand-in of the platform needs it.
type Registrar interface {
	Register(ctx context.Context, vm store.VM) error
}

// Config holds the settings of an entry VM.
type Config struct {
	VM          string // id, unique among all VMs
	Zone        string
	Listen      string   // host:port for callers
	LinkListen  string   // host:port for other entry VMs
	Address     string   // host:port at which callers and operators reach Listen; default is the listener's
	LinkAddress string   // host:port at which entry VMs reach LinkListen; default is the listener's
	SeedPeers   []string // host:port of entry VMs' links, queried at start in case the platform is unavailable
	DrainDelay  time.Duration
	StopTimeout time.Duration // max time for a graceful shutdown after DrainDelay
	SlotPolicy  slot.Policy
	QueuePolicy queue.Policy

	Store     store.Store
	Directory store.Directory
	Registrar Registrar // optional
	Log       zerolog.Logger
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// Validate returns all violations in the settings as one error, or nil.
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
