package standin

import "flag"

// Property tests use a fixed seed so that every run gives the same result; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
