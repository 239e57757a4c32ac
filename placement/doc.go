// Package placement schedules the jobs of a group of workers: it decides which jobs are accepted, and when and on which
// worker their tasks run.
//
// A Scheduler holds the state of one group. It processes messages at given times and returns effects. It does no I/O of
// its own, so that any sequence of events can be replayed.
//
//	scheduler := placement.New(placement.Config{Fence: 7, Rules: placement.DefaultRules()})
//	effects := scheduler.Update(now, placement.Submit{Key: key, Work: work, Policy: policy, Budget: 2 * time.Second})
package placement
