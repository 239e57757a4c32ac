// Package soak runs the real program as separate processes against stand-ins of the users' platform, injects random
// faults from outside and checks the promises of docs/GUARANTEES.md by what callers and workers see.
package soak
