package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Evidence is what an Estimator has learned, for estimators of other groups of workers.
type Evidence struct {
	Kinds []Kind
	Pairs []Pair // at most MaxPairs
}

// Pair is the evidence on a pair of kinds, in a form that takes some twelve bytes.
type Pair struct {
	Kind      int // index in Evidence.Kinds
	Neighbour int // likewise
	Effect    int // logarithm of the factor in thousandths
	Error     int // its standard error in thousandths
}

const (
	// MaxPairs limits the pairs of an Evidence, which are those that are known best.
	MaxPairs = 64
	// maxSources limits the estimators whose evidence is used; a fleet of 350 workers has about 15 groups.
	maxSources = 64
	// evidenceRetention is the time after which evidence is of no more use.
	evidenceRetention = 5 * halfLife
	thousandths       = 1000
)

// weighted is a sum of estimates that are weighted by their precisions, the reciprocals of the squares of their errors.
type weighted struct{ sum, precision float64 }

func (w weighted) plus(effect, standardError, weight float64) weighted {
	if standardError <= 0 {
		return w
	}
	precision := weight / (standardError * standardError)
	return weighted{w.sum + precision*effect, w.precision + precision}
}

// estimate returns the weighted mean and its standard error, 0 if nothing is known.
func (w weighted) estimate() (effect, standardError float64) {
	if w.precision == 0 {
		return 0, 0
	}
	return w.sum / w.precision, 1 / math.Sqrt(w.precision)
}

// exceeds reports whether a factor is at least the given one and exceeds 1 by the given number of standard errors.
func (w weighted) exceeds(factor, standardErrors float64) bool {
	effect, standardError := w.estimate()
	return standardError > 0 && effect >= math.Log(factor) && effect >= standardErrors*standardError
}

// imported is the evidence of another estimator.
type imported struct {
	source string
	at     time.Time
	pairs  map[[2]Kind]weighted
}

// Import takes in the evidence of another estimator and replaces what it sent before. A source must not send what it
// has itself imported from others.
func (e *Estimator) Import(now time.Time, source string, evidence Evidence) {
	i := imported{source: source, at: now, pairs: map[[2]Kind]weighted{}}
	for _, p := range evidence.Pairs[:min(len(evidence.Pairs), MaxPairs)] {
		if p.Kind < 0 || p.Kind >= len(evidence.Kinds) || p.Neighbour < 0 || p.Neighbour >= len(evidence.Kinds) {
			continue
		}
		pair := [2]Kind{evidence.Kinds[p.Kind], evidence.Kinds[p.Neighbour]}
		standardError := max(float64(p.Error)/thousandths, minError)
		i.pairs[pair] = weighted{}.plus(float64(p.Effect)/thousandths, standardError, 1)
	}
	e.imports = slices.DeleteFunc(e.imports, func(o imported) bool {
		return o.source == source || now.Sub(o.at) > evidenceRetention
	})
	if len(e.imports) < maxSources {
		e.imports = append(e.imports, i)
		slices.SortFunc(e.imports, func(a, b imported) int { return cmp.Compare(a.source, b.source) })
	}
}

// minError is the least error of evidence; that of one group is never as certain.
const minError = 0.005

// importedOn returns the evidence of others on a pair, with less weight the older it is.
func (e *Estimator) importedOn(now time.Time, kind, neighbour Kind, total weighted) weighted {
	for _, i := range e.imports {
		if w, ok := i.pairs[[2]Kind{kind, neighbour}]; ok {
			total = total.plusAged(w, now.Sub(i.at))
		}
	}
	return total
}

func (w weighted) plusAged(o weighted, age time.Duration) weighted {
	weight := math.Exp2(-float64(max(age, 0)) / float64(halfLife))
	return weighted{w.sum + weight*o.sum, w.precision + weight*o.precision}
}

// Export returns the evidence of the Estimator itself and that of an earlier one under the given name, which it
// continues.
func (e *Estimator) Export(now time.Time, source string) Evidence {
	var earlier imported
	for _, i := range e.imports {
		if i.source == source {
			earlier = i
		}
	}
	type candidate struct {
		pair   [2]Kind
		effect float64
		error  float64
	}
	var list []candidate
	for _, m := range e.models {
		if m == nil {
			continue
		}
		m.decay(now, 0)
		fits := m.fits()
		for k, other := range e.models {
			if other == nil {
				continue
			}
			pair := [2]Kind{m.kind, other.kind}
			total := weighted{}.plus(fits[0].effects[k], robustError(fits, k), 1)
			total = total.plusAged(earlier.pairs[pair], now.Sub(earlier.at))
			if effect, standardError := total.estimate(); standardError > 0 {
				list = append(list, candidate{pair, effect, standardError})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.error, b.error) })
	var evidence Evidence
	index := func(kind Kind) int {
		i := slices.Index(evidence.Kinds, kind)
		if i < 0 {
			i = len(evidence.Kinds)
			evidence.Kinds = append(evidence.Kinds, kind)
		}
		return i
	}
	for _, c := range list[:min(len(list), MaxPairs)] {
		evidence.Pairs = append(evidence.Pairs, Pair{
			Kind: index(c.pair[0]), Neighbour: index(c.pair[1]),
			Effect: int(math.Round(c.effect * thousandths)), Error: int(math.Ceil(c.error * thousandths)),
		})
	}
	return evidence
}

// robustError returns the standard error of an effect, enlarged so that the effect is only as significant as without
// that part of the workers which supports it most, since the receiver can't leave out a part. That of an effect below 0 is not
// enlarged, so that the sum of many groups finds a pair too late rather than wrongly.
func robustError(fits [1 + parts]fit, k int) float64 {
	whole := fits[0].errors[k]
	effect := fits[0].effects[k]
	if whole <= 0 || effect <= 0 {
		return whole
	}
	significance := effect / whole
	for _, f := range fits[1:] {
		if f.errors[k] <= 0 {
			return 0
		}
		significance = min(significance, f.effects[k]/f.errors[k])
	}
	if significance <= minSignificance {
		return 0
	}
	return effect / significance
}

// minSignificance is the least significance of an effect that is told to others.
const minSignificance = 0.1
