package encoder

import (
	"reflect"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/deduplicator"
)

func TestKeyRecordRoundTrip(t *testing.T) {
	key := deduplicator.NewKey("family", "mostrador", "k")
	want := deduplicator.Batch{
		Claims: []deduplicator.Claim{{Key: key, RequestID: "r1", BodyHash: 7, ClaimedAt: time.UnixMilli(1000), RequestExpiresAt: time.UnixMilli(2000)}},
		Completions: []deduplicator.Completion{
			{Key: key, RequestID: "r2", Outcome: fuchsiapitch.OutcomeUnknown},
			{Key: key, RequestID: "r1", Outcome: fuchsiapitch.OutcomeSucceeded, Response: &deduplicator.Response{Status: 201, ContentType: "text/plain", Body: []byte("booked")}},
		},
	}
	data, err := EncodeKeyRecord(want)
	if err != nil {
		t.Fatalf("encode: got error %v", err)
	}
	got, err := DecodeKeyRecord(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v and error %v, want %v", got, err, want)
	}
}

func FuzzDecodeKeyRecord(f *testing.F) {
	f.Add([]byte{10, 4, 10, 2, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := DecodeKeyRecord(data)
		if err != nil {
			return
		}
		d := deduplicator.New()
		d.Apply(0, batch)
		d.Apply(0, batch)
	})
}
