// Package slot manages the endpoint slots of one entry VM: those it owns, lends to peers and borrows from them.
//
// A Pool performs no I/O and reads no clock; messages for peers are returned as values:
//
//	pool := slot.New(slot.Config{VM: "entry-1", Incarnation: 7})
//	pool.SetPeers(now, []string{"entry-2", "entry-3"})
//	pool.SetEndpoints(now, capacities)
//	if held, ok := pool.TryAcquire(now); ok {
//		// run a task on held.Endpoint, then pool.Release(now, held.ID)
//	}
//	outgoing = pool.Tick(now, queued, targets, outgoing[:0])
package slot
