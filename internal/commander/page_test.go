package commander

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the generated page again")

const pagePath = "../../docs/operators/command-line.md"

func TestPage(t *testing.T) {
	if *update {
		if err := os.WriteFile(pagePath, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if got := Page(); got != string(want) {
		t.Errorf("the page of the command line is not current; run go test ./internal/commander -update")
	}
}
