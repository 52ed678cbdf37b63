package encoder

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of rapid to 1 unless the flag -rapid.seed sets another,
// so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
