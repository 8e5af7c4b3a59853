package control

import "flag"

// Property tests use a fixed seed, so that they are reproducible. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
