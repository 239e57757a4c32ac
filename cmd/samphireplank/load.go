package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"

	"samphireplank.example/samphireplank/load"
	"samphireplank.example/samphireplank/platform"
)

// loadCommand holds the flags of the load tool.
type loadCommand struct {
	Profile  string        `long:"profile" env:"SAMPHIREPLANK_PROFILE" required:"true" description:"profile file"`
	Entries  []string      `long:"entry" env:"SAMPHIREPLANK_ENTRY" env-delim:"," description:"host:port of an entry VM, in the order of the weights (repeatable)"`
	Platform []string      `long:"platform" env:"SAMPHIREPLANK_PLATFORM" env-delim:"," description:"platform that lists the entry VMs if none is given (repeatable)"`
	StandIns []string      `long:"stand-in" env:"SAMPHIREPLANK_STAND_IN" env-delim:"," description:"host:port of the admin server of endpoint stand-ins (repeatable)"`
	Slots    int           `long:"slots" env:"SAMPHIREPLANK_SLOTS" description:"slots of the whole fleet, in place of the profile's"`
	Rate     float64       `long:"rate" env:"SAMPHIREPLANK_RATE" description:"task starts per second, in place of the profile's"`
	Duration time.Duration `long:"duration" env:"SAMPHIREPLANK_DURATION" description:"duration, in place of the profile's"`
	Seed     uint64        `long:"seed" env:"SAMPHIREPLANK_SEED" description:"seed, in place of the profile's"`
	JSON     bool          `long:"json" env:"SAMPHIREPLANK_JSON" description:"report as JSON"`
}

// Execute runs the profile and prints the report; a violated guarantee is an error.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	profile, err := c.profile()
	if err != nil {
		return err
	}
	entries, err := c.entries(ctx)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, load.Config{Profile: profile, Entries: entries, StandIns: c.StandIns})
	if err != nil {
		return err
	}
	if c.JSON {
		err = report.WriteJSON(os.Stdout)
	} else {
		err = report.WriteText(os.Stdout)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return report.Violation()
}

func (c *loadCommand) profile() (*load.Profile, error) {
	profile, err := load.ReadProfile(c.Profile)
	if err != nil {
		return nil, err
	}
	if c.Slots > 0 {
		profile.Slots = c.Slots
	}
	if c.Rate > 0 {
		profile.Rate, profile.Load = c.Rate, 0
	}
	if c.Duration > 0 {
		profile.Duration = c.Duration
	}
	if c.Seed > 0 {
		profile.Seed = c.Seed
	}
	return profile, nil
}

// entries returns the given entry VMs, or the live ones of the platform's list sorted by zone and id.
func (c *loadCommand) entries(ctx context.Context) ([]string, error) {
	if len(c.Entries) > 0 || len(c.Platform) == 0 {
		return c.Entries, nil
	}
	list, err := platform.NewClient(platform.ClientConfig{Addresses: c.Platform}).VMs(ctx, 0)
	if err != nil {
		return nil, err
	}
	sort.Slice(list.VMs, func(i, j int) bool {
		if list.VMs[i].Zone != list.VMs[j].Zone {
			return list.VMs[i].Zone < list.VMs[j].Zone
		}
		return list.VMs[i].ID < list.VMs[j].ID
	})
	var entries []string
	for _, vm := range list.VMs {
		if vm.Role == platform.RoleEntry && vm.State == platform.StateLive {
			entries = append(entries, vm.Address)
		}
	}
	return entries, nil
}
