package reducer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random tests that are not given one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
