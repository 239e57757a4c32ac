// Package store defines the platform services that samphireplank uses: a key-value store with
// compare-and-swap and watches, and an eventually consistent list of VMs.
package store
