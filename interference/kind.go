package interference

import (
	"math/bits"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Kind identifies tasks that are assumed to behave alike: by their image, or else by their route and size class.
type Kind struct {
	Image string // empty if unknown; otherwise the other fields are not used
	Route string
	Size  int // binary logarithm of the requested cores, rounded down, plus 1
}

// maxImageBytes limits what of an image's name is told apart, since clients may send names of any length, which would be in metrics.
const maxImageBytes = 100

// KindOf returns the kind of a task.
func KindOf(image, route string, milliCores int) Kind {
	if image != "" {
		return Kind{Image: image[:min(len(image), maxImageBytes)]}
	}
	const milliCoresPerCore = 1000
	return Kind{Route: route, Size: bits.Len(uint(max(milliCores, 0) / milliCoresPerCore))}
}

// String returns the kind for logs and metrics: "image:NAME", or "route:NAME:SIZE" with the size class.
func (k Kind) String() string {
	if k.Image != "" {
		return "image:" + printable(k.Image)
	}
	return "route:" + printable(k.Route) + ":" + strconv.Itoa(k.Size)
}

// printable replaces what a label of a metric can't contain; clients choose the names of images.
func printable(name string) string {
	return strings.Map(func(r rune) rune {
		if r == utf8.RuneError || r == '"' || r == '\\' || !unicode.IsPrint(r) {
			return '_'
		}
		return r
	}, name)
}

// less orders kinds, so that equal inputs give equal results.
func (k Kind) less(o Kind) bool {
	if k.Image != o.Image {
		return k.Image < o.Image
	}
	if k.Route != o.Route {
		return k.Route < o.Route
	}
	return k.Size < o.Size
}

// Exposure says for which share of a run a task of another kind, or another task of the same kind, ran on its worker.
type Exposure struct {
	Kind  Kind
	Share float64 // 0 to 1
}

// Run is a completed run of a task.
type Run struct {
	Worker     string
	Took       time.Duration
	Neighbours []Exposure // each kind at most once
}

// Estimate is what is known about a pair of kinds.
type Estimate struct {
	Kind      Kind
	Neighbour Kind
	Factor    float64   // by which the neighbour stretches the run time
	Error     float64   // standard error of the logarithm of the factor
	Runs      float64   // weight of the runs of this group beside the neighbour, in runs of now
	Updated   time.Time // end of the last run beside the neighbour
}

// Change reports that a pair was found to interfere, or is no longer known to.
type Change struct {
	Estimate
	Found bool
}
