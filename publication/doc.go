// Package publication publishes sets of objects through the platform's store and brings them into force.
//
// The store holds one head record, each set of the history under its digest, and the change between neighbours:
//
//	samphireplank/head
//	samphireplank/set/<digest>
//	samphireplank/change/<from digest>/<to digest>
//
// The head is written by compare-and-swap only, so of several operators who publish at the same time one wins and the
// others get a *ConflictError:
//
//	publisher := publication.NewPublisher(publication.Config{Store: store, Author: "mari"})
//	record, err := publisher.Publish(ctx, set, "double the queue of the counter")
package publication
