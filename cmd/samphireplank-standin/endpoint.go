package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"samphireplank.example/samphireplank/platform"
	"samphireplank.example/samphireplank/standin"
	"samphireplank.example/samphireplank/store"
)

// endpointCommand holds the flags of the endpoint stand-ins.
type endpointCommand struct {
	Admin       string        `long:"admin" env:"SAMPHIREPLANK_STANDIN_ADMIN" default:"127.0.0.1:7100" description:"host:port of the admin server"`
	Host        string        `long:"host" env:"SAMPHIREPLANK_STANDIN_HOST" default:"127.0.0.1" description:"address to listen on"`
	Port        int           `long:"port" env:"SAMPHIREPLANK_STANDIN_PORT" description:"port of the first endpoint, the others follow; 0 for any free ports"`
	Count       int           `long:"count" env:"SAMPHIREPLANK_STANDIN_COUNT" default:"1" description:"number of endpoints"`
	Prefix      string        `long:"id-prefix" env:"SAMPHIREPLANK_STANDIN_ID_PREFIX" default:"endpoint-" description:"ids are this prefix and a number from 1"`
	Zones       []string      `long:"zone" env:"SAMPHIREPLANK_STANDIN_ZONE" env-delim:"," description:"zone, or several zones that take turns (repeatable)"`
	Service     string        `long:"service" env:"SAMPHIREPLANK_STANDIN_SERVICE" default:"cue" description:"name of the service"`
	Slots       int           `long:"slots" env:"SAMPHIREPLANK_STANDIN_SLOTS" default:"8" description:"tasks that one endpoint runs at a time"`
	Connections int           `long:"connections" env:"SAMPHIREPLANK_STANDIN_CONNECTIONS" default:"64" description:"connections that one endpoint accepts"`
	NoGuard     bool          `long:"no-guard" env:"SAMPHIREPLANK_STANDIN_NO_GUARD" description:"tasks beyond the slots wait instead of being refused"`
	RunTime     time.Duration `long:"run-time" env:"SAMPHIREPLANK_STANDIN_RUN_TIME" default:"100ms" description:"run time of tasks without run-ms"`
	IdleTimeout time.Duration `long:"idle-timeout" env:"SAMPHIREPLANK_STANDIN_IDLE_TIMEOUT" default:"30s" description:"connections idle for this long are closed"`
	ProbePath   string        `long:"probe-path" env:"SAMPHIREPLANK_STANDIN_PROBE_PATH" default:"/healthz" description:"path of the health probe"`
	Platform    []string      `long:"platform" env:"SAMPHIREPLANK_STANDIN_PLATFORM" env-delim:"," description:"platform to register with (repeatable)"`
	Faults      []string      `long:"fault" env:"SAMPHIREPLANK_STANDIN_FAULT" env-delim:";" description:"endpoint:kind[:option=value,…] (repeatable)"`
	Seed        uint64        `long:"seed" env:"SAMPHIREPLANK_STANDIN_SEED" description:"seed of the fault probabilities"`
}

// Execute serves until the process is asked to stop.
func (c *endpointCommand) Execute([]string) error {
	log := newLogger()
	endpoints, err := c.endpoints()
	if err != nil {
		log.Error().Err(err).Str("event", "settings-wrong").Send()
		return err
	}
	fleet := standin.NewFleet(standin.FleetConfig{Admin: c.Admin, Endpoints: endpoints})
	if err := fleet.Start(); err != nil {
		log.Error().Err(err).Str("event", "start-failed").Send()
		return err
	}
	log.Info().Str("event", "started").Str("admin", fleet.Admin()).Int("endpoints", len(endpoints)).Send()
	waitForSignal()
	counts := fleet.Counts()
	counts.Endpoints = nil
	log.Info().Str("event", "stopped").Interface("counts", counts).Send()
	return fleet.Close()
}

func (c *endpointCommand) endpoints() ([]standin.EndpointConfig, error) {
	faults := map[string][]standin.Fault{}
	for _, text := range c.Faults {
		id, fault, err := standin.ParseFault(text)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errSettings, err)
		}
		faults[id] = append(faults[id], fault)
	}
	var registrar standin.Registrar
	if len(c.Platform) > 0 {
		var all store.Failover
		for _, address := range c.Platform {
			all = append(all, platform.NewKVClient(platform.KVClientConfig{Address: strings.TrimPrefix(address, "http://")}))
		}
		registrar = store.NewKVStore(all, 0)
	}
	endpoints := make([]standin.EndpointConfig, 0, c.Count)
	for i := range c.Count {
		id := c.Prefix + strconv.Itoa(i+1)
		endpoints = append(endpoints, standin.EndpointConfig{
			ID: id, Zone: c.zone(i), Service: c.Service, Address: c.address(i), Slots: c.Slots, Connections: c.Connections,
			NoAdmissionControl: c.NoGuard, RunTime: c.RunTime, IdleTimeout: c.IdleTimeout, ProbePath: c.ProbePath,
			Seed: c.Seed + uint64(i), Faults: faults[id], Registrar: registrar,
		})
		delete(faults, id)
	}
	for id := range faults {
		return nil, fmt.Errorf("%w: a fault names endpoint %q, which is not among the %d endpoints %s1…", errSettings, id, c.Count, c.Prefix)
	}
	return endpoints, nil
}

func (c *endpointCommand) zone(i int) string {
	if len(c.Zones) == 0 {
		return "zone-1"
	}
	return c.Zones[i%len(c.Zones)]
}

func (c *endpointCommand) address(i int) string {
	port := 0
	if c.Port > 0 {
		port = c.Port + i
	}
	return net.JoinHostPort(c.Host, strconv.Itoa(port))
}
