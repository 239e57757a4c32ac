package placement

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// loadResult counts the jobs of a load by their result.
type loadResult struct {
	submitted, onTime, late, refused, other int
	maxWorth, earnedWorth                   float64
}

func (o loadResult) worthRatio() float64 { return o.earnedWorth / max(o.maxWorth, 1e-9) }

// lateWorthFactor is the share of a job's worth that remains when it is late.
const lateWorthFactor = 0.2

func (sg *simGroup) results() (total loadResult, byClass map[string]loadResult) {
	byClass = map[string]loadResult{}
	worth := map[string]float64{knot.route: knot.worth, grain.route: grain.worth, quote.route: quote.worth}
	for key, j := range sg.jobs {
		o := byClass[j.policy.Route]
		o.submitted++
		o.maxWorth += worth[j.policy.Route]
		switch sg.verdicts[key].(type) {
		case Completed:
			if j.ended.After(j.targetEnd) {
				o.late++
				o.earnedWorth += lateWorthFactor * worth[j.policy.Route]
			} else {
				o.onTime++
				o.earnedWorth += worth[j.policy.Route]
			}
		case NotRun:
			o.refused++
		default:
			o.other++
		}
		byClass[j.policy.Route] = o
	}
	for _, o := range byClass {
		total.submitted += o.submitted
		total.onTime += o.onTime
		total.late += o.late
		total.refused += o.refused
		total.other += o.other
		total.maxWorth += o.maxWorth
		total.earnedWorth += o.earnedWorth
	}
	return total, byClass
}

// loadPattern is a load with a fault or a peak. A zone of the users' sites has 16 workers; the calm pattern is its
// usual load.
type loadPattern struct {
	name          string
	guardsAgainst string
	set           func(sg *simGroup)
}

func usualLoad(sg *simGroup, x float64) {
	sg.submitAtRate(knot, 11.5*x, 50*time.Millisecond, loadDuration)
	sg.submitAtRate(grain, 2.1*x, 50*time.Millisecond, loadDuration)
	sg.submitAtRate(quote, 33*x, 50*time.Millisecond, loadDuration)
}

const loadDuration = 12 * time.Second

func (sg *simGroup) withFault(from, until time.Duration, share float64, set func(w *simWorker, on bool)) {
	n := int(share*float64(len(sg.workerIDs)) + 0.5)
	sg.after(from, func() {
		for _, id := range sg.workerIDs[:n] {
			set(sg.workers[id], true)
		}
	})
	sg.after(until, func() {
		for _, id := range sg.workerIDs[:n] {
			set(sg.workers[id], false)
		}
	})
}

var loadPatterns = []loadPattern{
	{"calm", "work that is refused or late with room free", func(sg *simGroup) { usualLoad(sg, 1) }},
	{"twice-the-load", "late work where refusing some would let the rest be on time", func(sg *simGroup) { usualLoad(sg, 2) }},
	{"flood-of-the-least-urgent", "urgent work behind a flood of less urgent work", func(sg *simGroup) {
		usualLoad(sg, 0.8)
		sg.submitAtRate(grain, 20, 3*time.Second, 7*time.Second)
	}},
	{"flood-of-the-most-urgent", "a flood of urgent work in which nothing is on time", func(sg *simGroup) {
		usualLoad(sg, 0.8)
		sg.submitAtRate(knot, 100, 3*time.Second, 7*time.Second)
	}},
	{"wide-jobs", "wide jobs that starve behind narrow ones", func(sg *simGroup) {
		usualLoad(sg, 0.7)
		wide := knot
		wide.width = 20
		sg.submitAtRate(wide, 6, 2*time.Second, 9*time.Second)
	}},
	{"silent-workers", "jobs that miss their deadline on unreachable workers", func(sg *simGroup) {
		usualLoad(sg, 1)
		sg.withFault(3*time.Second, 7*time.Second, 0.15, func(w *simWorker, on bool) { w.unreachable = on })
	}},
	{"slow-workers", "work placed on workers at a sixth of their speed", func(sg *simGroup) {
		usualLoad(sg, 0.9)
		sg.withFault(3*time.Second, 8*time.Second, 0.17, func(w *simWorker, on bool) {
			if on {
				w.slowdown *= 6
			} else {
				w.slowdown /= 6
			}
		})
	}},
	{"hanging-workers", "work on workers that make no progress", func(sg *simGroup) {
		usualLoad(sg, 1.2)
		sg.withFault(3*time.Second, 8*time.Second, 0.1, func(w *simWorker, on bool) { w.noProgress = on })
	}},
	{"failing-workers", "placing work on workers that look idle because all their runs fail", func(sg *simGroup) {
		usualLoad(sg, 0.9)
		sg.withFault(3*time.Second, 8*time.Second, 0.08, func(w *simWorker, on bool) { w.failing = on })
	}},
	{"poison", "ejecting healthy workers for the failures of jobs that fail on every worker", func(sg *simGroup) {
		usualLoad(sg, 0.9)
		bad := quote
		bad.route = poisonRoute
		sg.submitAtRate(bad, 5, 2*time.Second, 9*time.Second)
	}},
}

// poisonRoute marks jobs that fail on every worker.
const poisonRoute = "poison"

func runPattern(t testing.TB, p loadPattern, seed uint64, naive bool) (*simGroup, loadResult, map[string]loadResult) {
	sg := newSimGroup(t, seed, 16)
	if naive {
		newFIFO(sg)
	}
	p.set(sg)
	sg.run(loadDuration + 8*time.Second)
	total, classes := sg.results()
	return sg, total, classes
}

// Guards against decisions on queueing, refusing and placing that serve a load worse than first in, first out does. The
// golden file shows both; run with -update to rewrite it when a decision changes.
func TestLoadPatterns(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	fmt.Fprintln(&out, "worth earned of worth owed, and shares of jobs; three seeds each")
	for _, p := range loadPatterns {
		var scheduled, fifo loadResult
		for seed := range uint64(3) {
			_, a, _ := runPattern(t, p, seed, false)
			_, b, _ := runPattern(t, p, seed, true)
			scheduled, fifo = scheduled.plus(a), fifo.plus(b)
		}
		fmt.Fprintf(&out, "%-28s scheduler %s\n%-28s fifo      %s\n", p.name, scheduled, "", fifo)
		t.Logf("%-28s scheduler %s; fifo %s", p.name, scheduled, fifo)
		if scheduled.worthRatio() < fifo.worthRatio() {
			t.Errorf("%s: the scheduler earns %.3f, first in, first out %.3f; guards against %s", p.name, scheduled.worthRatio(), fifo.worthRatio(), p.guardsAgainst)
		}
	}
	golden := filepath.Join("testdata", "load-patterns.golden")
	if *update {
		is.NoErr(os.WriteFile(golden, out.Bytes(), 0o600))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	if !bytes.Equal(want, out.Bytes()) {
		t.Errorf("outcomes differ from %s; run with -update and say in the commit why", golden)
	}
}

func (o loadResult) plus(x loadResult) loadResult {
	return loadResult{
		o.submitted + x.submitted, o.onTime + x.onTime, o.late + x.late, o.refused + x.refused, o.other + x.other, o.maxWorth + x.maxWorth, o.earnedWorth + x.earnedWorth,
	}
}

func (o loadResult) String() string {
	n := float64(max(o.submitted, 1))
	return fmt.Sprintf("worth %.3f, on time %.3f, late %.3f, refused %.3f, other %.3f", o.worthRatio(), float64(o.onTime)/n, float64(o.late)/n, float64(o.refused)/n, float64(o.other)/n)
}
