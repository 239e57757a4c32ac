package slot

import "flag"

// init sets the same seed for property tests in every run, so that CI results are reproducible; the flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
