// Package gateway runs on each VM: it answers callers, submits their jobs to the holders of groups of workers, and
// holds groups itself, running their schedulers.
package gateway
