package reachability

import "flag"

// Property tests use a fixed seed so that their results are reproducible. Use -rapid.seed to set another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
