// Package slot keeps the ledger of endpoint slots on one entry VM: slots it owns, lends and borrows.
//
// A Pool performs no I/O and reads no clock; messages for peers are returned as values:
//
//	ledger := slot.New(slot.Config{VM: "entry-1", Incarnation: 7})
//	ledger.SetPeers(now, []string{"entry-2", "entry-3"})
//	ledger.SetEndpoints(now, capacities)
//	if held, ok := ledger.TryAcquire(now); ok {
//		// run a task on held.Endpoint, then ledger.Release(now, held.ID)
//	}
//	outgoing = ledger.Tick(now, queued, targets, outgoing[:0])
package slot
