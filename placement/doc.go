// Package placement decides which jobs a group of workers takes, in which order their tasks run and where.
//
// A Scheduler holds the state of one group. It takes messages with a time and returns effects; it has no input or output of
// its own, so that every order of events can be replayed.
//
//	pool := placement.New(placement.Config{Fence: 7, Rules: placement.DefaultRules()})
//	effects := pool.Update(now, placement.Submit{Key: key, Work: work, Policy: policy, Budget: 2 * time.Second})
package placement
