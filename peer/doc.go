// Package peer connects the VMs of one system: messages over a TCP connection in each direction, with heartbeats that
// tell a silent VM from a live one.
package peer
