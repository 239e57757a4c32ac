// Package gateway is a VM of the system: it answers callers, hands their jobs to the holders of groups of workers, and
// holds groups itself.
package gateway
