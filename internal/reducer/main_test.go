package reducer

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the rapid tests to 1 unless a seed is given, so that
// runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
