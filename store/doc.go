// Package store describes what samphireplank uses of the platform: a key-value store with
// compare-and-swap and watches, and a list of VMs that lags behind.
package store
