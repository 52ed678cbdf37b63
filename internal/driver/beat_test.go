package driver

import (
	"reflect"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
)

// Encoding and decoding preserve all fields of a heartbeat.
func TestBeatTravels(t *testing.T) {
	want := conductor.Beat{
		From: conductor.Peer{ID: "h", Address: "10.0.0.1:7"}, Started: 5, Claim: 7, KnownClaim: 8, Heir: "i", HandedClaim: 7, Formations: 3,
		Version: 9, Eligible: true, Busy: true, Stopping: true,
		Loads:    []conductor.Load{{Server: "s", Running: 2, Unread: 700, Silent: 250 * time.Millisecond}},
		Queues:   []conductor.Queue{{Service: "llm", Model: "m", Waiting: 3}},
		Suspects: []fuchsiapitch.ServerID{"s"},
		Groups:   []conductor.GroupLine{{Ref: fuchsiapitch.GroupRef{Name: "g", Epoch: 4}, Model: "m", Head: "s", Open: true}},
	}
	data, err := encodeHeartbeat(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeHeartbeat(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func FuzzDecodeBeat(f *testing.F) {
	f.Add([]byte(`{"host":"h","loads":[{"server":"s"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { decodeHeartbeat(data) }) //nolint:errcheck // Only panics are failures.
}
