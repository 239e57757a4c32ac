// Package claim decides which VM holds a group of workers. The holder is named in the store by a conditional write, whose
// revision is the fence of its orders; workers reject orders with a lower fence, so a silent holder can be replaced at
// once.
package claim
