//go:build review

package world3

import (
	"fmt"
	"os"
	"testing"
)

// TestMain makes the test binary the stand-ins of a case: WORLD3 names what it is to be.
func TestMain(m *testing.M) {
	scenarios := map[string]func() int{"replica": runReplica, "unframed": runUnframed, "turning": runTurning, "path": runPath, "early": runEarly, "cut": runCut}
	run, ok := scenarios[os.Getenv("WORLD3")]
	if !ok {
		fmt.Fprintln(os.Stderr, "WORLD3 must name a scenario")
		os.Exit(2)
	}
	os.Exit(run())
}
