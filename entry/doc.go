// Package entry runs an entry VM: it executes the effects of the decision cores and connects them to callers,
// endpoints, other entry VMs and the platform.
package entry
