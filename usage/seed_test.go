package usage

import "flag"

// Property tests use a fixed seed for reproducible results. Override it with -rapid.seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
