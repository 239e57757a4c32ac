package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/entry"
	"samphireplank.example/samphireplank/examples"
	"samphireplank.example/samphireplank/load"
	"samphireplank.example/samphireplank/publication"
	"samphireplank.example/samphireplank/standin"
	"samphireplank.example/samphireplank/store"
)

const demoHelp = "Runs everything in one process on loopback ports: stand-ins of the platform and of endpoints, 9 entry VMs in 3 " +
	"availability zones, a published set of objects, and a mixed load with a flood in the middle. Ends with a report."

// The size of the demonstration.
const (
	demoZones          = 3
	demoEntriesPerZone = 3
	demoEndpoints      = 24
	demoSlots          = 4 // of each endpoint, as in examples/demo/objects.yaml
	demoReadyTimeout   = 10 * time.Second
)

// demoLogLevel keeps the log lines of nine entry VMs out of the report.
const demoLogLevel = zerolog.WarnLevel

type demoCommand struct {
	Duration time.Duration `long:"duration" value-name:"DURATION" description:"Duration of the load, in place of the profile's 24s; the flood lasts from second 8 to 16"`
	Seed     uint64        `long:"seed" value-name:"NUMBER" default:"1" description:"Seed of the load"`
}

// demo is the running demonstration.
type demo struct {
	env      *environment
	platform *standin.Platform
	fleet    *standin.Fleet
	entries  []*entry.Server
	group    *errgroup.Group
	stop     context.CancelFunc
}

// Run runs the demonstration and prints its report.
func (c *demoCommand) Run(ctx context.Context, e *environment) error {
	profile, err := load.ParseProfile(examples.DemoProfile)
	if err != nil {
		return err
	}
	profile.Seed = c.Seed
	if c.Duration > 0 {
		profile.Duration = c.Duration
	}
	d := &demo{env: e}
	report, err := d.run(ctx, profile)
	if err := errors.Join(err, d.close()); err != nil {
		return err
	}
	if err := d.print(report); err != nil {
		return err
	}
	return errors.Join(report.Err(), unserved(report))
}

// run starts everything and sends the load.
func (d *demo) run(ctx context.Context, profile *load.Profile) (*load.Report, error) {
	ctx, d.stop = context.WithCancel(ctx)
	d.group, ctx = errgroup.WithContext(ctx)
	if err := d.startStandins(); err != nil {
		return nil, err
	}
	if err := d.publish(ctx); err != nil {
		return nil, err
	}
	if err := d.startEntries(ctx); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(d.entries))
	for _, vm := range d.entries {
		addresses = append(addresses, vm.Address())
	}
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	d.say("load of %v with a flood of the patient class, seed %d", profile.Duration, profile.Seed)
	return load.Run(ctx, load.Config{Profile: profile, Entries: addresses, StandIns: []string{d.fleet.Admin()}})
}

func (d *demo) say(format string, a ...any) {
	if !d.env.JSON {
		fmt.Fprintf(d.env.Out, "demo: "+format+"\n", a...)
	}
}

func (d *demo) startStandins() error {
	d.platform = standin.NewPlatform(standin.PlatformConfig{})
	if err := d.platform.Start(); err != nil {
		return err
	}
	endpoints := make([]standin.EndpointConfig, 0, demoEndpoints)
	for i := range demoEndpoints {
		endpoints = append(endpoints, standin.EndpointConfig{
			ID:        "executor-" + strconv.Itoa(i+1),
			Zone:      demoZone(i % demoZones),
			Service:   "echo",
			Slots:     demoSlots,
			Registrar: d.platform.FaultFreeStore(),
		})
	}
	d.fleet = standin.NewFleet(standin.FleetConfig{Endpoints: endpoints})
	d.say("platform stand-in on %s, %d endpoints of %d slots", d.platform.Address(), demoEndpoints, demoSlots)
	return d.fleet.Start()
}

func demoZone(n int) string { return "zone-" + string(rune('a'+n)) }

func (d *demo) publish(ctx context.Context) error {
	set, problems := contract.ParseFiles([]contract.ObjectFile{{Name: "examples/demo/objects.yaml", Data: examples.DemoObjects}})
	if len(problems) > 0 {
		return &contract.ValidationError{Problems: problems}
	}
	publisher := publication.NewPublisher(publication.Config{Store: d.client(""), Author: "demo"})
	record, err := publisher.Publish(ctx, set, "demonstration")
	if err != nil {
		return err
	}
	d.say("published generation %d, digest %.12s", record.Generation, record.Digest)
	return nil
}

func (d *demo) client(zone string) *store.KVStore {
	return store.NewKVStore(keyspaces([]string{d.platform.Address()}, zone, defaultPlatformTimeout), 0)
}

func (d *demo) startEntries(ctx context.Context) error {
	for i := range demoZones * demoEntriesPerZone {
		zone := demoZone(i / demoEntriesPerZone)
		name := "entry-" + strconv.Itoa(i+1)
		client := d.client(zone)
		vm, err := entry.New(entry.Config{
			VM: name, Zone: zone, Listen: "127.0.0.1:0", LinkListen: "127.0.0.1:0", StopTimeout: 30 * time.Second,
			Store: client, Directory: client, Registrar: client,
			Log: d.env.Log.Level(max(d.env.Log.GetLevel(), demoLogLevel)).With().Str("vm", name).Logger(),
		})
		if err != nil {
			return err
		}
		d.entries = append(d.entries, vm)
		d.group.Go(func() error { return vm.Run(ctx) })
	}
	d.say("%d entry VMs in %d availability zones", len(d.entries), demoZones)
	return nil
}

// awaitReady waits until every entry VM has the configuration and its endpoints.
func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	for _, vm := range d.entries {
		for !isSetUp(vm.Status()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry VM %q was not ready in %v", vm.Status().VM, demoReadyTimeout)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func isSetUp(status entry.Status) bool {
	return status.Ready && len(status.Peers) == demoEntriesPerZone-1 && len(status.Services) == 1 &&
		status.Services[0].Endpoints == demoEndpoints/demoZones && status.Services[0].Slots.Waiting == 0
}

// close stops the entry VMs gracefully and then the stand-ins.
func (d *demo) close() error {
	d.stop()
	err := d.group.Wait()
	if d.fleet != nil {
		err = errors.Join(err, d.fleet.Close())
	}
	return errors.Join(err, d.platform.Close())
}

func (d *demo) print(report *load.Report) error {
	if d.env.JSON {
		return report.WriteJSON(d.env.Out)
	}
	fmt.Fprintln(d.env.Out)
	return report.WriteText(d.env.Out)
}

// unserved returns an error for a class without a complete answer.
func unserved(report *load.Report) error {
	served := make(map[string]int)
	for _, class := range report.Classes {
		served[class.Priority] += class.Outcomes["complete"]
	}
	for _, class := range report.Classes {
		if served[class.Priority] == 0 {
			return fmt.Errorf("no job of class %q was completed", class.Priority)
		}
	}
	return nil
}
