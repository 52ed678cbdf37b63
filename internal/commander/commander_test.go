package commander

import (
	"bytes"
	"testing"
)

func assertExitCode(t *testing.T, want int, arguments ...string) (string, string) {
	t.Helper()
	var out, errorOutput bytes.Buffer
	if got := Run(t.Context(), Streams{Stdout: &out, Stderr: &errorOutput}, arguments); got != want {
		t.Errorf("%v: got exit code %d, want %d: %s", arguments, got, want, errorOutput.String())
	}
	return out.String(), errorOutput.String()
}

func TestCommands(t *testing.T) {
	t.Run("version", func(t *testing.T) {
		if out, _ := assertExitCode(t, 0, "version"); out == "" {
			t.Error("got no version")
		}
	})
	t.Run("an unknown experiment", func(t *testing.T) {
		assertExitCode(t, 2, "bench", "--seed", "1", "absent")
		assertExitCode(t, 2, "bench")
	})
	t.Run("missing settings", func(t *testing.T) {
		assertExitCode(t, 2, "serve", "--settings", "absent.yaml")
	})
	t.Run("an entry host that does not respond", func(t *testing.T) {
		assertExitCode(t, 1, "status", "--address", "http://127.0.0.1:1")
	})
}
