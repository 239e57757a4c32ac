// Package soak runs the real program as separate processes against stand-ins of the users' platform, injects random
// faults from outside and checks the promises of docs/GUARANTEES.md by what callers and workers see.
//
// In the runs with stalls, each VM is stalled, stopped and killed in series that overlap, half of them aimed at the holder of
// a group; zones lose each other or the store; workers drain, leave orders unanswered or carry them out late; and in half of
// the runs all VMs are restarted in turn. Callers go to the next VM 1.3 s after the silence of theirs.
//
// CI runs one seed of each test. By hand, and with logs of the runs that fail:
//
//	go test ./soak -run Stall -timeout 60m -args -soak-seed 100 -soak-runs 25 -soak-length 20s -soak-links wide,narrow -soak-logs DIR
package soak
