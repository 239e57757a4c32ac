package share

import (
	"math"
	"time"
)

// MeterConfig configures a Meter.
type MeterConfig struct {
	// Memory is the time after which a demand counts e times less. It must exceed a burst several times, so that a burst
	// does not become the usual demand.
	Memory time.Duration
	// Warmup is the time for which a new meter knows no demand.
	Warmup time.Duration
}

// Meter measures the usual demand of routes in core-seconds per second. It is not safe for concurrent use.
type Meter struct {
	config  MeterConfig
	first   time.Time
	at      time.Time // time to which the sums have decayed
	sums    map[string]float64
	elapsed float64 // decayed seconds since the first demand
}

// NewMeter returns a Meter that has seen no demand.
func NewMeter(config MeterConfig) *Meter {
	return &Meter{config: config, sums: map[string]float64{}}
}

// Add records a job of a route that asks for the given core-seconds, whether it is served or refused.
func (m *Meter) Add(now time.Time, route string, coreSeconds float64) {
	if m.first.IsZero() {
		m.first, m.at = now, now
	}
	m.decay(now)
	m.sums[route] += coreSeconds
}

func (m *Meter) decay(now time.Time) {
	d := now.Sub(m.at).Seconds()
	if d <= 0 {
		return
	}
	memory := m.config.Memory.Seconds()
	kept := math.Exp(-d / memory)
	for route := range m.sums {
		m.sums[route] *= kept
	}
	m.elapsed = m.elapsed*kept + memory*(1-kept)
	m.at = now
}

// Rates returns the rate of each route, or nil before the end of the warm-up: a meter that has seen little must not count a
// route as one without demand.
func (m *Meter) Rates(now time.Time) map[string]float64 {
	if m.first.IsZero() || now.Sub(m.first) < m.config.Warmup {
		return nil
	}
	m.decay(now)
	rates := make(map[string]float64, len(m.sums))
	for route, sum := range m.sums {
		rates[route] = sum / m.elapsed
	}
	return rates
}
