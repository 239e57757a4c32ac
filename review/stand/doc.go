// Command stand runs one case of the review: it starts the program of the deploy file as separate processes on loopback
// addresses, together with stand-ins of the platform's store, of executors and of clients, and checks one rule.
//
//	stand CASE RECORD
//
// RECORD is the file for what was sent, answered and run. The exit code is 0 if the rule held, 1 if it was broken and 2 if the
// case could not run. TROUBLE=0 in the environment leaves out the disruption.
package main
