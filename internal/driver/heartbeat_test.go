package driver

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/ramper"
)

// newFullHeartbeat returns a heartbeat in which every field is set.
func newFullHeartbeat() coordinator.Heartbeat {
	return coordinator.Heartbeat{
		From: coordinator.Peer{ID: "h", Address: "10.0.0.1:7", DataCentre: "dc", Capacity: 200}, Incarnation: 5, Sequence: 6, Claim: 7, KnownClaim: 8,
		Successor: "i", HandedOverClaim: 7, FormationCount: 3, ConfigurationVersion: 9, Eligible: true, HasReceivedRequests: true, Stopping: true,
		ServerLoads:    []coordinator.ServerLoad{{Server: "s", InFlight: 2, UnreadTokens: 700, Pinned: 1, SilentFor: 250 * time.Millisecond}},
		Queues:         []coordinator.Queue{{Service: "llm", Model: "m", Rank: 2, Length: 3, Arrivals: 4, Home: confiner.Confine([]fuchsiapitch.RegionName{"r2", "r1"}, nil)}},
		Suspects:       []fuchsiapitch.ServerID{"s"},
		LeavingServers: []coordinator.LeavingServer{{Server: "s", StartedUnixMillis: 5}},
		Evacuations:    []evacuator.News{{DataCentre: "dc", Evacuated: true, Version: evacuator.Version{Era: 1, Offset: 5}}},
		ColdServers:    []ramper.News{{Server: "s", Left: 1500 * time.Millisecond}},
		Parts: quarantiner.Message{
			Crashes:     []quarantiner.Crash{{Incarnation: quarantiner.Incarnation{Server: "s", StartedUnixMillis: 5}, Age: 300 * time.Millisecond, Parts: []quarantiner.Part{1, 1 << 63}}},
			Answers:     []quarantiner.Answer{{Part: 2, Age: 400 * time.Millisecond}},
			Quarantines: []quarantiner.Quarantine{{Part: 3, Age: time.Second, IdleFor: 2 * time.Second, Permits: 2, Used: 1, Holder: "h", IsUsed: true, IsDiscriminating: true, Rivals: []quarantiner.Part{4, 5}}},
			Claims:      []quarantiner.Claim{{Host: "h", Parts: []quarantiner.Part{3, 4}, IsDiscriminating: true, Age: 100 * time.Millisecond}},
		},
		GroupsVersion:    coordinator.GroupsVersion{Claim: 7, Revision: 4},
		DirectoryVersion: 12,
		Groups:           []coordinator.GroupStatus{{Ref: fuchsiapitch.GroupRef{Name: "g", Epoch: 4}, Model: "m", Leader: "s", Open: true, Unresponsive: true}},
	}
}

func assertDecodes(t *testing.T, data []byte, want coordinator.Event) {
	t.Helper()
	got, err := decodeDatagram(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Encoding and decoding preserve all fields of a heartbeat.
func TestHeartbeatRoundTrip(t *testing.T) {
	want := newFullHeartbeat()
	data, err := encodeHeartbeat(want)
	if err != nil {
		t.Fatal(err)
	}
	assertDecodes(t, data, coordinator.HeartbeatReceived{Heartbeat: want})
}

// Encoding and decoding preserve all fields of a digest. An appended echo replaces the
// sequence alone.
func TestDigestRoundTrip(t *testing.T) {
	want := coordinator.Digest{
		Sender: newFullHeartbeat(), IsDataCentreOnly: true, HostCount: 59, BestCandidate: coordinator.Peer{ID: "b", Address: "10.0.0.2:7", DataCentre: "dc", Capacity: 100},
		Holder: "c", HolderClaim: 8, HolderSilentFor: 300 * time.Millisecond, EchoedSequence: 11,
		ListOffset: 900, ListAge: 400 * time.Millisecond,
		Directory: []coordinator.DirectoryEntry{{Server: "s", Service: "llm", Address: "10.1.0.1:8", DataCentre: "dc", Slots: 13, Leaving: true, StartedUnixMillis: 5}},
	}
	data, err := encodeDigest(want)
	if err != nil {
		t.Fatal(err)
	}
	assertDecodes(t, data, coordinator.DigestReceived{Digest: want})
	echo, err := encodeEcho(12)
	if err != nil {
		t.Fatal(err)
	}
	want.EchoedSequence = 12
	assertDecodes(t, append(data, echo...), coordinator.DigestReceived{Digest: want})
}

func TestDatagramWithoutSender(t *testing.T) {
	var failure *HeartbeatError
	for name, data := range map[string][]byte{"empty": {}, "no message": {0xff}, "old format": []byte(`{"host":"h"}`)} {
		if _, err := decodeDatagram(data); !errors.As(err, &failure) {
			t.Errorf("%s: got error %v, want a HeartbeatError", name, err)
		}
	}
}

func FuzzDecodeDatagram(f *testing.F) {
	data, err := encodeHeartbeat(newFullHeartbeat())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { decodeDatagram(data) }) //nolint:errcheck // Only panics are failures.
}
