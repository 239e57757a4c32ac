// Package publication publishes sets of objects through the platform's store and activates them on the entry VMs.
//
// The store holds one head record, each set of the history under its digest, and the patch between consecutive sets:
//
//	samphireplank/head
//	samphireplank/set/<digest>
//	samphireplank/change/<from digest>/<to digest>
//
// The head is written by compare-and-swap only, so if several operators publish at the same time, one wins and the
// others get a *ConflictError:
//
//	publisher := publication.NewPublisher(publication.Config{Store: store, Author: "mari"})
//	record, err := publisher.Publish(ctx, set, "double the queue of the counter")
package publication
