package endpoint

import "flag"

// init gives generated tests the same seed in every run, so that CI has the same verdict every time; the flag
// -rapid.seed tries other ones.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
