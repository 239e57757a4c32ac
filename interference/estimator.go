package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// maxKinds limits the kinds that are learned at a time. A kind takes 20 KB.
	maxKinds = 24
	// kindRetention is the time after which an unused kind makes room for another one.
	kindRetention = 5 * time.Minute
	// maxWorkers limits the workers whose speed is known; a group has at most some hundred.
	maxWorkers = 1024
	// parts is the number of sets into which the workers are divided. A pair is found only if it is significant without
	// any one of them, since a worker that is slow for a while makes its present tasks look like interfering ones.
	parts = 4
	// warmUpRuns is the number of runs that teach the speed of a worker only.
	warmUpRuns = 8
	// speedWeight is the weight of a run in the moving average of a worker's speed.
	speedWeight = 0.1
	// maxDeviation limits the logarithm of a run time to that of its step, since single runs take seven times as long.
	maxDeviation = 1.0
	// memoryRuns is the number of runs of a kind after which the weight of a run has fallen by the factor e, and
	// halfLife the time after which it has halved, so that a change of the factor shows.
	memoryRuns = 2500
	halfLife   = 3 * time.Minute
	// evaluationInterval is the number of runs of a kind between two evaluations, which cost as much as 50 runs.
	evaluationInterval = 50
	// minInformation is the sum of squared deviations of the exposure from that of the step, from which on a pair is judged.
	minInformation = 5
	// minVariance is the least assumed variance of run times.
	minVariance = 0.05 * 0.05
	// foundError is the number of standard errors by which the factor of a pair that is found exceeds 1. With 24 kinds
	// 576 pairs are judged again and again; the false alarms are in docs/design/interference.md.
	foundError = 5
	// forgottenError is the same for a pair that remains found.
	forgottenError = 2.5
	// minFoundFactor is the least factor of a pair that is found, and minKnownFactor of one that remains found. Smaller
	// ones are not worth a less suitable worker.
	minFoundFactor = 1.1
	minKnownFactor = 1.05
)

// Estimator learns which kinds interfere. It is not safe for concurrent use.
type Estimator struct {
	kinds   map[Kind]int
	models  [maxKinds]*model
	workers map[string]*speed
	found   []Estimate // sorted by kind and neighbour
	imports []imported // sorted by source, so that equal inputs give equal results

	// Buffers of Observe.
	samples []sample
	known   []float64
	sorted  []float64
	present []int
	rows    [][maxKinds]float64
}

// speed is the logarithm of a worker's usual run time relative to that of other workers.
type speed struct {
	offset float64
	runs   int
	part   int
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{kinds: map[Kind]int{}, workers: map[string]*speed{}}
}

// Found returns the pairs that are known to interfere. The result must not be modified.
func (e *Estimator) Found() []Estimate { return e.found }

// Factor returns the factor by which the neighbour stretches the run time of a task: 1 unless the pair is known to
// interfere.
func (e *Estimator) Factor(kind, neighbour Kind) float64 {
	for _, p := range e.found {
		if p.Kind == kind && p.Neighbour == neighbour {
			return p.Factor
		}
	}
	return 1
}

// sample is a run in a step that is being learned.
type sample struct {
	y      float64
	speed  *speed
	usable bool // the speed of the worker is known
}

// Observe learns from the completed runs of a step, which are of one kind, and returns the pairs that were found or forgotten. A step of one
// run has nothing to be compared with.
func (e *Estimator) Observe(now time.Time, kind Kind, runs []Run) []Change {
	if len(runs) < 2 {
		return nil
	}
	index, changes := e.index(now, kind)
	if index == noKind {
		return nil
	}
	m := e.models[index]
	m.decay(now, len(runs))
	samples, used := e.center(kind, runs)
	if used >= 2 {
		changes = append(changes, e.learn(now, m, runs, samples, used)...)
	}
	m.sinceEvaluation += len(runs)
	if m.sinceEvaluation >= evaluationInterval {
		m.sinceEvaluation = 0
		changes = append(changes, e.evaluate(now, index)...)
	}
	return changes
}

// center returns the logarithms of the run times relative to their median, corrected for the speeds of their workers,
// and how many are usable. It learns these speeds.
func (e *Estimator) center(kind Kind, runs []Run) (_ []sample, used int) {
	samples, known := e.samples[:0], e.known[:0]
	for _, r := range runs {
		w := e.speedOf(r.Worker)
		y := math.Log(float64(max(r.Took, 1))) - w.offset
		samples = append(samples, sample{y: y, speed: w, usable: w.runs >= warmUpRuns})
		for _, n := range r.Neighbours {
			y -= n.Share * math.Log(e.Factor(kind, n.Kind)) // what is known is not attributed to the worker
		}
		known = append(known, y)
	}
	sorted := append(e.sorted[:0], known...)
	slices.Sort(sorted)
	e.samples, e.known, e.sorted = samples, known, sorted
	median := (sorted[len(sorted)/2] + sorted[(len(sorted)-1)/2]) / 2
	for i := range samples {
		s := &samples[i]
		deviation := limit(known[i] - median)
		s.speed.offset += max(speedWeight, 1/float64(s.speed.runs+1)) * deviation
		s.speed.runs++
		s.y = limit(s.y - median)
		if s.usable {
			used++
		}
	}
	return samples, used
}

func limit(deviation float64) float64 { return min(max(deviation, -maxDeviation), maxDeviation) }

func (e *Estimator) speedOf(worker string) *speed {
	w := e.workers[worker]
	if w == nil {
		if len(e.workers) >= maxWorkers {
			clear(e.workers) // workers come and go under new ids; the present ones are learned again within seconds
		}
		w = &speed{part: len(e.workers) % parts}
		e.workers[worker] = w
	}
	return w
}

// learn adds the deviations from the means of the step to the sums of the regression.
func (e *Estimator) learn(now time.Time, m *model, runs []Run, samples []sample, used int) []Change {
	var changes []Change
	present := e.present[:0] // kinds beside any run
	rows := e.rows[:0]       // exposures of the usable runs
	var meanX [maxKinds]float64
	meanY := 0.0
	for i, r := range runs {
		if !samples[i].usable {
			continue
		}
		var row [maxKinds]float64
		for _, n := range r.Neighbours {
			k, evicted := e.index(now, n.Kind)
			changes = append(changes, evicted...)
			if k == noKind {
				continue
			}
			if !slices.Contains(present, k) {
				present = append(present, k)
			}
			row[k] = min(max(n.Share, 0), 1)
			meanX[k] += row[k] / float64(used)
			m.updated[k] = now
			m.runs[k] += m.weight
		}
		meanY += samples[i].y / float64(used)
		rows = append(rows, row)
	}
	e.present, e.rows = present, rows
	j := 0
	for i := range runs {
		if !samples[i].usable {
			continue
		}
		sums := &m.parts[samples[i].speed.part]
		y := samples[i].y - meanY
		sums.yy += m.weight * y * y
		sums.degrees += m.weight * float64(used-1) / float64(used)
		for _, a := range present {
			xa := m.weight * (rows[j][a] - meanX[a])
			sums.xy[a] += xa * y
			for _, b := range present {
				sums.xx[a][b] += xa * (rows[j][b] - meanX[b])
			}
		}
		j++
	}
	return changes
}

// evaluate judges the pairs of a kind.
func (e *Estimator) evaluate(now time.Time, index int) []Change {
	m := e.models[index]
	fits := m.fits()
	var changes []Change
	for k, other := range e.models {
		if other == nil {
			continue
		}
		at := slices.IndexFunc(e.found, func(p Estimate) bool { return p.Kind == m.kind && p.Neighbour == other.kind })
		others := e.importedOn(now, m.kind, other.kind, weighted{})
		total := others.plus(fits[0].effects[k], fits[0].errors[k], 1)
		interferes := total.exceeds(minKnownFactor, forgottenError)
		if at < 0 {
			interferes = total.exceeds(minFoundFactor, foundError)
			for _, f := range fits[1:] {
				interferes = interferes && others.plus(f.effects[k], f.errors[k], 1).exceeds(minFoundFactor, foundError)
			}
		}
		effect, standardError := total.estimate()
		estimate := Estimate{
			Kind: m.kind, Neighbour: other.kind, Factor: math.Exp(effect), Error: standardError,
			Runs: m.runs[k] / m.weight, Updated: m.updated[k],
		}
		switch {
		case at < 0 && interferes:
			e.found = append(slices.Clone(e.found), estimate)
			e.sortFound()
			changes = append(changes, Change{Estimate: estimate, Found: true})
		case at >= 0 && interferes:
			e.found = slices.Clone(e.found)
			e.found[at] = estimate
		case at >= 0:
			e.found = slices.Delete(slices.Clone(e.found), at, at+1)
			changes = append(changes, Change{Estimate: estimate})
		}
	}
	return changes
}

func (e *Estimator) sortFound() {
	slices.SortFunc(e.found, func(a, b Estimate) int {
		switch {
		case a.Kind.less(b.Kind) || a.Kind == b.Kind && a.Neighbour.less(b.Neighbour):
			return -1
		case a.Kind == b.Kind && a.Neighbour == b.Neighbour:
			return 0
		}
		return 1
	})
}

// Expire forgets pairs of which nothing has been seen for so long that they are no longer significant. It is to be
// called every few seconds.
func (e *Estimator) Expire(now time.Time) []Change {
	var changes []Change
	for i, m := range e.models {
		if m != nil && now.Sub(m.evaluated) >= expiryInterval && slices.ContainsFunc(e.found, func(p Estimate) bool { return p.Kind == m.kind }) {
			m.evaluated = now
			m.decay(now, 0)
			changes = append(changes, e.evaluate(now, i)...)
		}
	}
	return changes
}

// expiryInterval is the time between two evaluations of a kind of which no run ends.
const expiryInterval = 5 * time.Second
