// Package peer connects the VMs of one system. VMs exchange gob-encoded messages over TCP connections, and heartbeats
// with read timeouts detect an unreachable VM.
package peer
