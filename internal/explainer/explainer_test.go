package explainer

import (
	"errors"
	"strings"
	"testing"
)

const sample = `  3.1 h2 {"host":"h2","time":"2026-06-05T03:26:44.500Z","message":"group is taken apart","group":"g1","why":"member lost"}
{"host":"h1","request":"r1","status":503,"after-ms":4,"time":"2026-06-05T03:26:45.100Z","message":"no place: no-replica"}
{"host":"h1","request":"r2","time":"2026-06-05T03:26:45.000Z","message":"late"}
{"host":"h1","request":"r3","time":"2026-06-05T03:26:45.060Z","message":"server pauses","server":"s1","pause-ms":2000,"list-offset":7}
{"host":"h1","request":"r3","time":"2026-06-05T03:26:45.070Z","message":"late"}
{"host":"h2","time":"2026-06-05T03:26:30.000Z","message":"group is open","group":"g0"}
no log line
{"host":"h2","time":"2026-06-05T03:26:45.050Z","message":"order"}
`

func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(sample))
	if err != nil {
		t.Fatal(err)
	}
	t.Run("lines of the request and related events in order of time", func(t *testing.T) {
		explanation, err := Explain("r1", lines)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range explanation {
			got = append(got, l.Host()+": "+l.Message())
		}
		if got, want := strings.Join(got, "; "), "h2: group is taken apart; h1: server pauses; h1: no place: no-replica"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		if got, want := explanation[0].String(), "03:26:44.500 h2                     group is taken apart group=g1 why=member lost"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
	t.Run("unknown request", func(t *testing.T) {
		_, err := Explain("r9", lines)
		var notFound *NotFoundError
		if !errors.As(err, &notFound) {
			t.Errorf("got %v, want a NotFoundError", err)
		}
	})
}
