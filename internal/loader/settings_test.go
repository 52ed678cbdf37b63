package loader

import (
	"errors"
	"slices"
	"testing"
	"time"
)

const validSettings = `host: host-a
data-centre: gt-xela
region: gt-central
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8081
  operators: 127.0.0.1:8082
log-address: 10.0.0.1:9000
host-list-address: 10.0.0.1:9001
weight-store-address: 10.0.0.1:9002
`

func assertNoError(t *testing.T, err error, what string) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s: got error %v, want none", what, err)
	}
}

// assertProblems compares the problems of an error with want by kind, line and
// column.
func assertProblems(t *testing.T, err error, want ...Problem) {
	t.Helper()
	var found *ProblemsError
	if !errors.As(err, &found) {
		t.Fatalf("got error %v, want problems", err)
	}
	got := make([]Problem, len(found.Problems))
	for i, p := range found.Problems {
		got[i] = problemAt(p.Kind, p.Position.Line, p.Position.Column)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got problems\n%v\nas %v, want %v", err, got, want)
	}
}

func problemAt(kind ProblemKind, line, column int) Problem {
	return Problem{Kind: kind, Position: Position{Line: line, Column: column}}
}

func TestSettings(t *testing.T) {
	t.Run("a complete file is read", func(t *testing.T) {
		s, err := DecodeSettings("settings.yaml", []byte(validSettings+`candidates:
  - {host: host-b, address: 10.1.0.2:8081, data-centre: gt-antigua}
log-levels: {all: warn, reducer: debug}
trace: {export: otlp, endpoint: 10.0.0.9:4318, sampling: 0.5}
drain-limit: 90s
`))
		assertNoError(t, err, "decode")
		if got, want := s.PeersAddress(), "127.0.0.1:8081"; got != want {
			t.Errorf("got address %s for peers, want %s", got, want)
		}
		if got, want := s.Candidates()[0].Address(), "10.1.0.2:8081"; got != want {
			t.Errorf("got candidate %s, want %s", got, want)
		}
		if got := s.LogLevel("reducer") + " " + s.LogLevel("router"); got != "debug warn" {
			t.Errorf("got levels %s, want debug warn", got)
		}
		if s.DrainLimit() != 90*time.Second || s.Linger() != DefaultLinger || s.Trace().SamplingRatio() != 0.5 {
			t.Errorf("got %+v, want a limit of 90 s, the default linger and a sampling of 0.5", s)
		}
	})
	t.Run("all problems are found at once", func(t *testing.T) {
		_, err := DecodeSettings("settings.yaml", []byte(`host: Host A
data-centre: 7
regio: gt-central
listen:
  callers: localhost:8080
  peers: 10.0.0.1:8081
log-address: 10.0.0.1:9000
log-address: 10.0.0.1:9000
host-list-address: 10.0.0.1:9001
weight-store-address: 10.0.0.1:9002
trace: {export: paper, sampling: 2}
linger: 5
candidates:
  - {host: host-b, address: 10.1.0.2:8081, data-centre: gt-antigua}
  - {host: host-b, address: 10.1.0.2:8081, data-centre: gt-antigua}
`))
		assertProblems(t, err,
			problemAt(MissingKey, 1, 1), problemAt(BadValue, 1, 7), problemAt(WrongType, 2, 14), problemAt(UnknownKey, 3, 1),
			problemAt(MissingKey, 5, 3), problemAt(BadValue, 5, 12), problemAt(BadValue, 6, 10), problemAt(Duplicate, 8, 1),
			problemAt(BadValue, 11, 17), problemAt(BadValue, 11, 34), problemAt(WrongType, 12, 9), problemAt(Duplicate, 15, 12))
	})
	t.Run("plain connections beyond loopback are accepted with plain: true", func(t *testing.T) {
		_, err := DecodeSettings("settings.yaml", []byte(
			"plain: true\n"+validSettings[:len("host: host-a\ndata-centre: gt-xela\nregion: gt-central\n")]+
				"listen: {callers: 10.0.0.1:8080, peers: 10.0.0.1:8081, operators: 10.0.0.1:8082}\n"+
				"log-address: 10.0.0.1:9000\nhost-list-address: 10.0.0.1:9001\nweight-store-address: 10.0.0.1:9002\n"))
		assertNoError(t, err, "decode with plain: true")
	})
	t.Run("a flag replaces a value and is checked like it", func(t *testing.T) {
		s, err := DecodeSettings("settings.yaml", []byte(validSettings),
			WithOverride("listen.peers", "127.0.0.1:9"), WithOverride("trace.sampling", "0.25"))
		assertNoError(t, err, "decode")
		if s.PeersAddress() != "127.0.0.1:9" || s.Trace().SamplingRatio() != 0.25 {
			t.Errorf("got %+v, want the values of the flags", s)
		}
		_, err = DecodeSettings("settings.yaml", []byte(validSettings), WithOverride("linger", "soon"))
		assertProblems(t, err, problemAt(BadValue, 1, 1))
	})
	t.Run("bad syntax is reported with its line", func(t *testing.T) {
		_, err := DecodeSettings("settings.yaml", []byte("host: [a\nregion: b\n"))
		var found *ProblemsError
		if !errors.As(err, &found) || found.Problems[0].Kind != BadSyntax || found.Problems[0].Position.Line == 0 {
			t.Errorf("got %v, want bad syntax with a line", err)
		}
	})
}
