package placement

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ratioDistribution is the distribution of recent ratios of run times to what was expected. It tells how unusual a slow
// run is: of work with a long tail, a run of several times the expected time says little about its worker.
type ratioDistribution struct {
	windows *hdrhistogram.WindowedHistogram
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
	return ratioDistribution{hdrhistogram.NewWindowed(ratioWindows, 1, maxRatio*ratioScale, 1)}
}

func (d ratioDistribution) record(ratio float64) {
	if d.windows.Current.TotalCount() >= ratiosPerWindow {
		d.windows.Rotate()
	}
	// The value is within the range of the histogram, so it is recorded.
	_ = d.windows.Current.RecordValue(int64(min(max(ratio, 1.0/ratioScale), maxRatio) * ratioScale))
}

// tail returns the probability that a ratio is at least x.
func (d ratioDistribution) tail(x float64) float64 {
	merged := d.windows.Merge()
	above := int64(0)
	for _, bar := range merged.Distribution() {
		if float64(bar.To) >= x*ratioScale {
			above += bar.Count
		}
	}
	prior := min(1, 1/(x*x))
	return (priorRatios*prior + float64(above)) / (priorRatios + float64(merged.TotalCount()))
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
