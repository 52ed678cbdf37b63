package encoder

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for random input, unless the flag rapid.seed sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
