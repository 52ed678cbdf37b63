package driver

import (
	"reflect"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// Encoding and decoding preserve all fields of a heartbeat.
func TestHeartbeatRoundTrip(t *testing.T) {
	want := coordinator.Heartbeat{
		From: coordinator.Peer{ID: "h", Address: "10.0.0.1:7"}, Incarnation: 5, Claim: 7, KnownClaim: 8, Successor: "i", HandedOverClaim: 7, FormationCount: 3,
		ConfigurationVersion: 9, Eligible: true, HasReceivedRequests: true, Stopping: true,
		ServerLoads: []coordinator.ServerLoad{{Server: "s", InFlight: 2, UnreadTokens: 700, SilentFor: 250 * time.Millisecond}},
		Queues:      []coordinator.Queue{{Service: "llm", Model: "m", Length: 3}},
		Suspects:    []fuchsiapitch.ServerID{"s"},
		Groups:      []coordinator.GroupStatus{{Ref: fuchsiapitch.GroupRef{Name: "g", Epoch: 4}, Model: "m", Leader: "s", Open: true}},
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

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add([]byte(`{"host":"h","loads":[{"server":"s"}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) { decodeHeartbeat(data) }) //nolint:errcheck // Only panics are failures.
}
