package contract

import "flag"

// init sets a fixed seed for property tests, so that results in CI are reproducible; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
