// Package zone keeps the membership of an availability zone on one entry VM and what it knows of other zones.
//
// A Membership takes the time as an argument and may be used by several goroutines:
//
//	table := zone.NewMembership(zone.Config{VM: "entry-1", Zone: "tartu-a", Incarnation: 7})
//	changes := table.MergeList(now, list)
//	owner := table.Owner("executor-12")
package zone
