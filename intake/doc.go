// Package intake decides what a VM accepts from clients that nobody controls: which connections it keeps open, and for
// which request bodies it reserves memory. It has no input or output and no locks; package gateway feeds it.
package intake
