// Package preflight checks a configuration of the users' platform before operators publish it, and compares it with the one
// in force. Its functions are pure: package platform decodes the files and knows the names of their fields.
package preflight
