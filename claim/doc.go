// Package claim decides which VM holds a group of workers. A VM becomes the holder by a conditional write to the store,
// and the revision of that write is the fencing token of its orders. Workers reject orders with a lower token, so an
// unreachable holder can be replaced without waiting for it.
package claim
