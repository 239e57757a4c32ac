// Package traffic counts the bytes that a VM sends and receives, by purpose.
package traffic
