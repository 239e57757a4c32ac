package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"samphireplank.example/samphireplank/entry"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
	"samphireplank.example/samphireplank/store"
)

const entryHelp = "Runs an entry VM until SIGTERM or an interrupt starts its graceful shutdown. Readiness is GET /readyz on --listen."

// platformWatchWait is the longest long poll that an entry VM asks the platform for.
const platformWatchWait = 20 * time.Second

// entryCommand holds the settings of an entry VM.
type entryCommand struct {
	platformOptions
	VM          string        `long:"vm" value-name:"ID" required:"true" description:"Id of this VM, unique among all VMs"`
	Zone        string        `long:"zone" value-name:"ZONE" required:"true" description:"Availability zone of this VM"`
	Listen      string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:8000" description:"Address to listen on for callers"`
	LinkListen  string        `long:"link-listen" value-name:"HOST:PORT" default:"127.0.0.1:8100" description:"Address to listen on for other entry VMs"`
	Address     string        `long:"address" value-name:"HOST:PORT" description:"Address by which callers reach --listen (default: the address listened on)"`
	LinkAddress string        `long:"link-address" value-name:"HOST:PORT" description:"Address by which entry VMs reach --link-listen (default: the address listened on)"`
	Peers       []string      `long:"peers" value-name:"HOST:PORT,..." description:"Link addresses of entry VMs to ask when the platform is away"`
	Register    bool          `long:"register" description:"Put this VM into the list of a platform stand-in"`
	DrainDelay  time.Duration `long:"drain-delay" value-name:"DURATION" default:"2s" description:"Time to keep serving after readiness is off, for the balancer to notice"`
	StopTimeout time.Duration `long:"stop-timeout" value-name:"DURATION" default:"40s" description:"Longest graceful shutdown after --drain-delay"`
	SlotPolicy  string        `long:"slot-policy" default:"loans" choice:"loans" choice:"fixed-share" choice:"two-choices" description:"How entry VMs share slots; all but loans are for comparison"`
	QueuePolicy string        `long:"queue-policy" default:"fair" choice:"fair" choice:"fifo" choice:"strict" choice:"proportional" description:"Which flow is served next; all but fair are for comparison"`
}

var slotPolicies = map[string]slot.Policy{"loans": slot.Loans, "fixed-share": slot.FixedShare, "two-choices": slot.TwoChoices}

var queuePolicies = map[string]queue.Policy{
	"fair": queue.Fair, "fifo": queue.FIFO, "strict": queue.Strict, "proportional": queue.Proportional,
}

// Run serves until ctx ends and the graceful shutdown is done.
func (c *entryCommand) Run(ctx context.Context, e *environment) error {
	if c.PlatformTimeout <= 0 {
		return &settingsError{fmt.Errorf("--platform-timeout is %v, it must be above 0", c.PlatformTimeout)}
	}
	client := store.NewKVStore(keyspaces(c.Platform, c.Zone, c.PlatformTimeout), platformWatchWait)
	config := c.config(e, client)
	if err := config.Validate(); err != nil {
		return &settingsError{err}
	}
	vm, err := entry.New(config)
	if err != nil {
		return err
	}
	return vm.Run(ctx)
}

func (c *entryCommand) config(e *environment, client *store.KVStore) entry.Config {
	config := entry.Config{
		VM:          c.VM,
		Zone:        c.Zone,
		Listen:      c.Listen,
		LinkListen:  c.LinkListen,
		Address:     c.Address,
		LinkAddress: c.LinkAddress,
		SeedPeers:   splitList(c.Peers),
		DrainDelay:  c.DrainDelay,
		StopTimeout: c.StopTimeout,
		SlotPolicy:  slotPolicies[c.SlotPolicy],
		QueuePolicy: queuePolicies[c.QueuePolicy],
		Store:       client,
		Directory:   client,
		Log:         e.Log.With().Str("vm", c.VM).Str("zone", c.Zone).Logger(),
	}
	if c.Register {
		config.Registrar = client
	}
	return config
}

// splitList splits the values of a repeatable flag at commas.
func splitList(values []string) []string {
	var list []string
	for _, value := range values {
		for _, item := range strings.Split(value, ",") {
			if item != "" {
				list = append(list, item)
			}
		}
	}
	return list
}
