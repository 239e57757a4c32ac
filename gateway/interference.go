package gateway

import (
	"fmt"
	"io"
	"sync"
	"time"

	"samphireplank.example/samphireplank/interference"
	"samphireplank.example/samphireplank/peer"
)

const (
	// interferenceShareInterval is the time between two messages on what a holder has learned: at most 4 KB to each VM.
	interferenceShareInterval = 10 * time.Second
	// interferenceRetention is the time after which what another holder has learned is of no more use.
	interferenceRetention = 15 * time.Minute
	// maxInterferenceGroups limits the groups whose evidence is kept.
	maxInterferenceGroups = 256
	// maxInterferenceMetrics limits the pairs that metrics show for each group.
	maxInterferenceMetrics = 32
)

// interferenceBoard keeps what the holders of all groups have learned about tasks that slow each other down, so that a
// new holder need not learn it again.
type interferenceBoard struct {
	mu       sync.Mutex
	known    map[string]knownInterference // by group
	sharedAt time.Time
}

type knownInterference struct {
	at       time.Time
	evidence interference.Evidence
}

// put records the evidence of the holder of a group.
func (b *interferenceBoard) put(now time.Time, group string, evidence interference.Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known == nil {
		b.known = map[string]knownInterference{}
	}
	for name, k := range b.known {
		if now.Sub(k.at) > interferenceRetention {
			delete(b.known, name)
		}
	}
	if _, ok := b.known[group]; ok || len(b.known) < maxInterferenceGroups {
		b.known[group] = knownInterference{now, evidence}
	}
}

// newEstimator returns an estimator for the holder of a group that knows what the others have learned, or nil if
// learning is off.
func (g *Gateway) newEstimator() *interference.Estimator {
	if g.config.NoInterference {
		return nil
	}
	e := interference.New()
	g.interference.mu.Lock()
	defer g.interference.mu.Unlock()
	for group, k := range g.interference.known {
		e.Import(k.at, group, k.evidence)
	}
	return e
}

// shareInterference adds what the schedulers have learned to a heartbeat, if that is due, and reports whether it did.
func (g *Gateway) shareInterference(now time.Time, holds []peer.Holding) bool {
	if g.config.NoInterference || now.Sub(g.interference.sharedAt) < interferenceShareInterval {
		return false
	}
	g.interference.sharedAt = now
	for i := range holds {
		for _, d := range g.allDrivers() {
			if d.group != holds[i].Group {
				continue
			}
			if evidence := d.interferenceEvidence(now); len(evidence.Pairs) > 0 {
				holds[i].Interference = &evidence
			}
		}
	}
	g.noteInterference(holds)
	return true
}

// noteInterference records what holders have learned and passes it to the schedulers of this VM.
func (g *Gateway) noteInterference(holds []peer.Holding) {
	if g.config.NoInterference {
		return
	}
	now := time.Now()
	for _, h := range holds {
		if h.Interference == nil {
			continue
		}
		g.interference.put(now, h.Group, *h.Interference)
		for _, d := range g.allDrivers() {
			if d.group != h.Group {
				d.importInterference(now, h.Group, *h.Interference)
			}
		}
	}
}

func (d *groupDriver) interferenceEvidence(now time.Time) interference.Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.InterferenceEvidence(now, d.group)
}

func (d *groupDriver) importInterference(now time.Time, group string, evidence interference.Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ImportInterference(now, group, evidence)
}

func (d *groupDriver) knownInterference() []interference.Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Interference()
}

// writeInterference writes the pairs that the holders of this VM's groups know to interfere as metrics.
func (g *Gateway) writeInterference(w io.Writer) {
	now := time.Now()
	for _, d := range g.allDrivers() {
		pairs := d.knownInterference()
		fmt.Fprintf(w, "samphireplank_interference_pairs{group=%q} %d\n", d.group, len(pairs))
		for _, p := range pairs[:min(len(pairs), maxInterferenceMetrics)] {
			labels := fmt.Sprintf("{group=%q,kind=%q,neighbour=%q}", d.group, p.Kind, p.Neighbour)
			fmt.Fprintf(w, "samphireplank_interference_factor%s %.3f\n", labels, p.Factor)
			fmt.Fprintf(w, "samphireplank_interference_error%s %.4f\n", labels, p.Error)
			fmt.Fprintf(w, "samphireplank_interference_runs%s %.0f\n", labels, p.Runs)
			if !p.Updated.IsZero() {
				fmt.Fprintf(w, "samphireplank_interference_age_seconds%s %.0f\n", labels, now.Sub(p.Updated).Seconds())
			}
		}
	}
}
