package main

import (
	"context"
	"fmt"
	"sort"
	"time"

	"samphireplank.example/samphireplank/load"
	"samphireplank.example/samphireplank/store"
)

// loadCommand holds the flags of the load tool.
type loadCommand struct {
	Profile  string        `long:"profile" required:"true" description:"profile file"`
	Entries  []string      `long:"entry" description:"host:port of an entry VM, in the order of the weights (repeatable)"`
	Platform []string      `long:"platform" description:"platform that lists the entry VMs if none is given (repeatable)"`
	StandIns []string      `long:"stand-in" description:"host:port of the admin server of endpoint stand-ins (repeatable)"`
	Slots    int           `long:"slots" description:"slots of the whole fleet, in place of the profile's"`
	Rate     float64       `long:"rate" description:"task starts per second, in place of the profile's"`
	Duration time.Duration `long:"duration" description:"duration, in place of the profile's"`
	Seed     uint64        `long:"seed" description:"seed, in place of the profile's"`
	Balance  bool          `long:"balance" description:"act as a balancer: send to ready entry VMs only, and to another one what could not be sent"`
	Settle   time.Duration `long:"settle" description:"time from the last answer to the final counts, in which late starts show"`
}

const loadHelp = "Sends the load of a profile to entry VMs, checks every answer and reports response times, wasted messages and " +
	"violated guarantees. A violated guarantee is exit code 1."

// Run runs the profile and prints the report; a violated guarantee is an error.
func (c *loadCommand) Run(ctx context.Context, e *environment) error {
	profile, err := c.profile()
	if err != nil {
		return err
	}
	entries, err := c.entries(ctx)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, load.Config{Profile: profile, Entries: entries, StandIns: c.StandIns, FailoverToReady: c.Balance, SettleDelay: c.Settle})
	if err != nil {
		return err
	}
	if e.JSON {
		err = report.WriteJSON(e.Out)
	} else {
		err = report.WriteText(e.Out)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return report.Err()
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
		profile.Rate, profile.TargetUtilization = c.Rate, 0
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
	list, err := store.NewKVStore(keyspaces(c.Platform, "", defaultPlatformTimeout), 0).VMs(ctx, 0)
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
		if vm.Role == store.RoleEntry && vm.State == store.StateLive {
			entries = append(entries, vm.Address)
		}
	}
	return entries, nil
}
