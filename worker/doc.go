// Package worker defines the workers that run tasks under leases: their entries in the worker list, the orders that a
// dispatcher sends to them, and their reports.
package worker
