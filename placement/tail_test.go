package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// submitWithLongTail submits a job of which few take nine times the usual time, and whose declared time is rough.
func (sg *simGroup) submitWithLongTail(c jobClass) {
	const tailShare, tailFactor, declaredError = 0.06, 9, 0.9
	simSequence++
	length := float64(c.length) * spread(sg.rand, 0.4)
	if sg.rand.Float64() < tailShare {
		length *= tailFactor
	}
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s", BestEffort: true}
	w.Steps = []job.Step{{
		Count:    max(1, int(float64(c.width)*spread(sg.rand, 0.4))),
		Estimate: time.Duration(length * math.Exp(declaredError*sg.rand.NormFloat64())),
		Need:     worker.Resources{MilliCores: min(int(float64(c.cores)*spread(sg.rand, 0.2)), 41000), MemoryMiB: 64},
	}}
	sg.submitWork(SubmissionKey{Sequence: simSequence}, w, c, time.Duration(length), false, Progress{})
}

func longTails(sg *simGroup, x float64) {
	for _, c := range []struct {
		class     jobClass
		perSecond float64
	}{{knot, 11.5}, {grain, 2.1}, {quote, 33}} {
		for at := 50 * time.Millisecond; at < loadDuration; at += time.Duration(sg.rand.ExpFloat64() / (c.perSecond * x) * float64(time.Second)) {
			sg.after(at, func() { sg.submitWithLongTail(c.class) })
		}
	}
}

// ejections returns how often each worker was ejected within a period.
func (sg *simGroup) ejections(from, until time.Duration) map[string]int {
	counts := map[string]int{}
	for _, n := range sg.logs {
		if n.Event == "worker-barred" && n.at >= from && n.at <= until {
			counts[n.Worker]++
		}
	}
	return counts
}

// Guards against long tasks that look like slow workers: sound workers were ejected for 3 s each while jobs were refused
// for lack of room.
func TestLongTasksEjectNoWorker(t *testing.T) {
	const maxEjections = 3 // of sound workers in a day
	total := 0
	for seed := range uint64(3) {
		sg := newSimGroup(t, seed, 16)
		longTails(sg, 1)
		sg.run(loadDuration + 8*time.Second)
		total += len(sg.ejections(0, loadDuration+8*time.Second))
	}
	if total > maxEjections {
		t.Errorf("%d ejections of sound workers in a minute", total)
	}
}

// Guards against a comparison with the usual spread of run times that no longer finds workers that hang, are slow or
// fail.
func TestSickWorkersAreEjected(t *testing.T) {
	const from, until = 3 * time.Second, 8 * time.Second
	faults := map[string]func(w *simWorker, on bool){
		"hanging": func(w *simWorker, on bool) { w.noProgress = on },
		"failing": func(w *simWorker, on bool) { w.failing = on },
		"slow": func(w *simWorker, on bool) {
			w.slowdown = 1
			if on {
				w.slowdown = 6
			}
		},
	}
	for name, set := range faults {
		for seed := range uint64(3) {
			sg := newSimGroup(t, seed, 16)
			usualLoad(sg, 1)
			sg.withFault(from, until, 0.15, set)
			sg.run(loadDuration)
			ejected := sg.ejections(from, until)
			for _, id := range sg.workerIDs[:2] {
				if ejected[id] == 0 {
					t.Errorf("%s worker %s was not ejected in %v, seed %d", name, id, until-from, seed)
				}
			}
		}
	}
}
