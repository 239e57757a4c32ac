package main

import (
	"samphireplank.example/samphireplank/standin"
)

// platformCommand holds the flags of the platform stand-in.
type platformCommand struct {
	Listen      string   `long:"listen" env:"SAMPHIREPLANK_STANDIN_LISTEN" default:"127.0.0.1:7000" description:"host:port to listen on"`
	DelayMS     int      `long:"delay-ms" env:"SAMPHIREPLANK_STANDIN_DELAY_MS" description:"delay of each call"`
	Down        bool     `long:"down" env:"SAMPHIREPLANK_STANDIN_DOWN" description:"close connections without an answer"`
	Unavailable bool     `long:"unavailable" env:"SAMPHIREPLANK_STANDIN_UNAVAILABLE" description:"refuse calls with 503"`
	LoseAnswer  float64  `long:"lose-answer" env:"SAMPHIREPLANK_STANDIN_LOSE_ANSWER" description:"probability that a write takes effect and is not answered"`
	MissEvent   float64  `long:"miss-event" env:"SAMPHIREPLANK_STANDIN_MISS_EVENT" description:"probability that a waiting watch misses a change"`
	ListLagMS   int      `long:"list-lag-ms" env:"SAMPHIREPLANK_STANDIN_LIST_LAG_MS" description:"time until a registration shows in the list"`
	CutZones    []string `long:"cut-zone" env:"SAMPHIREPLANK_STANDIN_CUT_ZONE" env-delim:"," description:"zone whose VMs get no answer (repeatable)"`
	Seed        uint64   `long:"seed" env:"SAMPHIREPLANK_STANDIN_SEED" description:"seed of the fault probabilities"`
}

// Execute serves until the process is asked to stop.
func (c *platformCommand) Execute([]string) error {
	log := newLogger()
	p := standin.NewPlatform(standin.PlatformConfig{Address: c.Listen, Faults: standin.PlatformFaults{
		DelayMS: c.DelayMS, Down: c.Down, Unavailable: c.Unavailable, LostReplyProbability: c.LoseAnswer, MissedEventProbability: c.MissEvent,
		ListLagMS: c.ListLagMS, PartitionedZones: c.CutZones, Seed: c.Seed,
	}})
	if err := p.Start(); err != nil {
		log.Error().Err(err).Str("event", "start-failed").Send()
		return err
	}
	log.Info().Str("event", "started").Str("address", p.Address()).Send()
	waitForSignal()
	log.Info().Str("event", "stopped").Interface("counts", p.Counts()).Send()
	return p.Close()
}
