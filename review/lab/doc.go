// Command lab plays the cases of the review that are scripts: it is the platform's store, the executors, the clients and
// the operator, starts the programs of the deploy file as processes on loopback addresses, and checks one rule by what
// clients and executors have seen.
package main
