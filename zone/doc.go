// Package zone maintains one entry VM's view of the members of its availability zone, and of the load of other zones.
//
// The methods of a Membership take the current time as an argument and are safe for concurrent use:
//
//	table := zone.NewMembership(zone.Config{VM: "entry-1", Zone: "tartu-a", Incarnation: 7})
//	changes := table.MergeList(now, list)
//	owner := table.Owner("executor-12")
package zone
