// Package soak runs the real program as separate processes against stand-ins of the users' platform, injects random
// faults from outside and checks the promises of docs/GUARANTEES.md by what callers and workers see.
//
// CI runs one seed of each test. By hand, and with logs of the runs that fail:
//
//	go test ./soak -run Stall -timeout 60m -args -soak-seed 100 -soak-runs 25 -soak-length 20s -soak-links wide,narrow -soak-logs DIR
package soak
