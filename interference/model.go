package interference

import (
	"math"
	"strings"
	"time"
)

// noKind is the index of a kind for which there is no room.
const noKind = -1

// model holds the sums of a linear regression for one kind: of the logarithm of the run time over the shares of the run
// beside each kind, both as deviations from the mean of the step.
type model struct {
	kind            Kind
	used            time.Time // last run of the kind, or beside one
	decayed         time.Time
	evaluated       time.Time
	sinceEvaluation int // runs
	// weight is that of a run of now in the sums. It grows, which costs less than to reduce the sums with each step.
	weight  float64
	parts   [parts]sums
	runs    [maxKinds]float64 // beside each kind, with their weights
	updated [maxKinds]time.Time
}

// sums are those of the workers of one part.
type sums struct {
	xx      [maxKinds][maxKinds]float64
	xy      [maxKinds]float64
	yy      float64
	degrees float64 // of freedom, before the effects
}

// index returns the index of a kind, noKind if there is no room, and the pairs forgotten to make room.
func (e *Estimator) index(now time.Time, kind Kind) (int, []Change) {
	if i, ok := e.kinds[kind]; ok {
		e.models[i].used = now
		return i, nil
	}
	oldest := 0
	for i, m := range e.models {
		if m == nil {
			e.put(now, i, kind)
			return i, nil
		}
		if m.used.Before(e.models[oldest].used) {
			oldest = i
		}
	}
	if now.Sub(e.models[oldest].used) < kindRetention {
		return noKind, nil
	}
	changes := e.remove(oldest)
	e.put(now, oldest, kind)
	return oldest, changes
}

func (e *Estimator) put(now time.Time, i int, kind Kind) {
	kind.Image = strings.Clone(kind.Image) // it may be a part of a whole request
	e.kinds[kind] = i
	e.models[i] = &model{kind: kind, used: now, decayed: now, evaluated: now, weight: 1}
}

// remove forgets all that is known about a kind.
func (e *Estimator) remove(i int) []Change {
	var changes []Change
	var kept []Estimate
	kind := e.models[i].kind
	for _, p := range e.found {
		if p.Kind == kind || p.Neighbour == kind {
			changes = append(changes, Change{Estimate: p})
			continue
		}
		kept = append(kept, p)
	}
	e.found = kept
	delete(e.kinds, kind)
	e.models[i] = nil
	for _, m := range e.models {
		if m == nil {
			continue
		}
		m.runs[i], m.updated[i] = 0, time.Time{}
		for p := range m.parts {
			m.parts[p].xy[i] = 0
			for k := range maxKinds {
				m.parts[p].xx[i][k], m.parts[p].xx[k][i] = 0, 0
			}
		}
	}
	return changes
}

// decay reduces the weight of earlier runs relative to that of the following ones.
func (m *model) decay(now time.Time, runs int) {
	m.weight *= math.Exp(float64(runs) / memoryRuns)
	if since := now.Sub(m.decayed); since > 0 {
		m.weight *= math.Exp2(min(float64(since)/float64(halfLife), maxHalfLives))
		m.decayed = now
	}
	if m.weight < maxWeight {
		return
	}
	for p := range m.parts {
		m.parts[p].scale(1 / m.weight)
	}
	for k := range m.runs {
		m.runs[k] /= m.weight
	}
	m.weight = 1
}

const (
	// maxWeight limits the weight of a run, so that the sums keep their precision.
	maxWeight = 1e6
	// maxHalfLives limits what a pause can add to the weight; nothing is left of the earlier runs by then.
	maxHalfLives = 100
)

func (s *sums) scale(factor float64) {
	s.yy *= factor
	s.degrees *= factor
	for a := range maxKinds {
		s.xy[a] *= factor
		for b := range maxKinds {
			s.xx[a][b] *= factor
		}
	}
}

func (s *sums) add(o *sums) {
	s.yy += o.yy
	s.degrees += o.degrees
	for a := range maxKinds {
		s.xy[a] += o.xy[a]
		for b := range maxKinds {
			s.xx[a][b] += o.xx[a][b]
		}
	}
}

// fit is the result of a regression, by kind of the neighbour.
type fit struct {
	effects [maxKinds]float64 // logarithms of the factors
	errors  [maxKinds]float64 // their standard errors, 0 if nothing is known
}

// fits returns the regression over all workers, and then those without each part of them.
func (m *model) fits() [1 + parts]fit {
	var result [1 + parts]fit
	for left := -1; left < parts; left++ {
		var total sums
		for p := range m.parts {
			if p != left {
				total.add(&m.parts[p])
			}
		}
		total.scale(1 / m.weight)
		result[left+1] = total.solve()
	}
	return result
}

// solve computes the regression over the kinds beside which there was enough variation. The errors are slightly too large, since decayed
// runs count with their weights.
func (s *sums) solve() fit {
	var f fit
	var kinds []int
	for k := range maxKinds {
		if s.xx[k][k] >= minInformation {
			kinds = append(kinds, k)
		}
	}
	n := len(kinds)
	if n == 0 || s.degrees <= float64(n) {
		return f
	}
	inverse, ok := s.invert(kinds)
	if !ok {
		return f
	}
	explained := 0.0
	for i, a := range kinds {
		for j, b := range kinds {
			f.effects[a] += inverse[i][j] * s.xy[b]
		}
		explained += f.effects[a] * s.xy[a]
	}
	variance := max((s.yy-explained)/(s.degrees-float64(n)), minVariance)
	for i, a := range kinds {
		f.errors[a] = math.Sqrt(variance * inverse[i][i])
	}
	return f
}

// invert returns the inverse of the matrix of the given kinds by Gauss-Jordan elimination, which needs no pivoting
// since the matrix is positive definite. It returns false if the kinds can't be told apart.
func (s *sums) invert(kinds []int) (inverse [maxKinds][maxKinds]float64, ok bool) {
	var m [maxKinds][maxKinds]float64
	n := len(kinds)
	for i, a := range kinds {
		for j, b := range kinds {
			m[i][j] = s.xx[a][b]
		}
		m[i][i] += ridge
		inverse[i][i] = 1
	}
	for i := range n {
		pivot := m[i][i]
		if pivot < ridge/2 {
			return inverse, false
		}
		for j := range n {
			m[i][j] /= pivot
			inverse[i][j] /= pivot
		}
		for r := range n {
			factor := m[r][i]
			if r == i || factor == 0 {
				continue
			}
			for j := range n {
				m[r][j] -= factor * m[i][j]
				inverse[r][j] -= factor * inverse[i][j]
			}
		}
	}
	return inverse, true
}

// ridge is added to the diagonal, so that kinds that always come together have large errors.
const ridge = 0.1
