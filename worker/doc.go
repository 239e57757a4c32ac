// Package worker describes the machines that run tasks under leases: what the platform lists of them, the orders that
// a dispatcher sends to them, and what they report.
package worker
