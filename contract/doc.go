// Package contract holds the objects that operators publish: services, kinds of work, priorities, teams and limits.
//
// Objects refer to each other by name. A Set is checked as a whole before it is published and is immutable afterwards.
package contract
