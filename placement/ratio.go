package placement

import (
	"math"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ratioDistribution is the distribution of recent ratios of run times to what was expected. It tells how unusual a slow
// run is: of work with a long tail, a run of several times the expected time says little about its worker.
type ratioDistribution struct {
	counts  [ratioWindows][]int64 // by window and bar
	totals  [ratioWindows]int64
	current int
}

const (
	// ratioScale is the number of histogram units of a ratio of 1.
	ratioScale = 100
	maxRatio   = 1000
	// ratioWindows and ratiosPerWindow limit how long a ratio counts.
	ratioWindows    = 2
	ratiosPerWindow = 2000
	// priorRatios is the weight of the assumed distribution, in observations; of it, the share 1/x² exceeds x.
	priorRatios = 5
)

func newRatioDistribution() ratioDistribution {
	d := ratioDistribution{}
	for i := range d.counts {
		d.counts[i] = make([]int64, len(ratioBars()))
	}
	return d
}

// ratioBars returns the largest value of each bar of a histogram, in ascending order.
var ratioBars = sync.OnceValue(func() []float64 {
	h := hdrhistogram.New(1, maxRatio*ratioScale, 1)
	_ = h.RecordValue(maxRatio * ratioScale) // is within the range, and makes Distribution return all bars
	var bars []float64
	for _, bar := range h.Distribution() {
		bars = append(bars, float64(bar.To))
	}
	return bars
})

func (d *ratioDistribution) record(ratio float64) {
	if d.totals[d.current] >= ratiosPerWindow {
		d.current = (d.current + 1) % ratioWindows
		clear(d.counts[d.current])
		d.totals[d.current] = 0
	}
	value := int64(min(max(ratio, 1.0/ratioScale), maxRatio) * ratioScale)
	bar, _ := slices.BinarySearch(ratioBars(), float64(value))
	d.counts[d.current][bar]++
	d.totals[d.current]++
}

// tail returns the probability that a ratio is at least x.
func (d *ratioDistribution) tail(x float64) float64 {
	first, _ := slices.BinarySearch(ratioBars(), x*ratioScale)
	above, total := int64(0), int64(0)
	for i := range d.counts {
		for _, count := range d.counts[i][first:] {
			above += count
		}
		total += d.totals[i]
	}
	prior := min(1, 1/(x*x))
	return (priorRatios*prior + float64(above)) / (priorRatios + float64(total))
}

// combinedPValue returns the p-value of several independent ones with the given product, by Fisher's method.
func combinedPValue(product float64, count int) float64 {
	sum, term, logarithm := 0.0, 1.0, -math.Log(product)
	for i := range count {
		if i > 0 {
			term *= logarithm / float64(i)
		}
		sum += term
	}
	return min(product*sum, 1)
}
