// Package interference estimates how much tasks of one kind slow down tasks of another kind on the same worker.
//
// An Estimator compares the run times of tasks of one step, which differ in their workers and in what ran beside them:
//
//	e := interference.New()
//	changes := e.Observe(now, kind, []interference.Run{{Worker: "w1", Took: took, Neighbours: beside}, ...})
//	factor := e.Factor(kind, neighbour) // 1 unless the pair is known to interfere
//
// Only pairs that are significantly slower together, whichever workers are left out, are reported.
package interference
