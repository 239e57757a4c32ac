// Package chaos runs a cluster of separate processes under load, injects faults by a schedule that follows from a seed
// alone, and judges the guarantees by what callers were told and what the endpoint stand-ins counted.
package chaos
