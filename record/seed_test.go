package record

import "flag"

// Property tests use a fixed seed, so that their results are reproducible. The flag -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
