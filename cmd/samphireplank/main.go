// Command samphireplank is the dispatcher.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("samphireplank", flags.Default)
	if _, err := parser.AddCommand("load", "Generate load and report", "", &loadCommand{}); err != nil {
		os.Exit(1)
	}
	if _, err := parser.Parse(); err != nil && !flags.WroteHelp(err) {
		os.Exit(1)
	}
}
