// Command samphireplank dispatches sub-second tasks: it holds the operator commands and the entry VM.
//
// Run it with --help for the list of commands, and with a command and --help for the flags of the command.
package main
