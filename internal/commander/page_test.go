package commander

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the generated page again")

const referencePagePath = "../../docs/operators/command-line.md"

// TestPage checks that the committed command-line reference matches the commands.
func TestPage(t *testing.T) {
	if *update {
		if err := os.WriteFile(referencePagePath, []byte(ReferencePage()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(referencePagePath)
	if err != nil {
		t.Fatal(err)
	}
	if got := ReferencePage(); got != string(want) {
		t.Errorf("the command-line reference is out of date; run go test ./internal/commander -update")
	}
}
