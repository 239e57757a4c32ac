// Package traffic counts the bytes that a VM sends and receives, by purpose, and estimates the send queue of its link.
package traffic
