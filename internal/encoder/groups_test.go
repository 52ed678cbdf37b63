package encoder

import (
	"reflect"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
)

func TestGroupRecord(t *testing.T) {
	group := grouper.Group{
		ID: "g1", Service: "redactor", Members: []fuchsiapitch.ServerID{"s1", "s2"}, Model: "m", Version: "2",
		Adapters: []string{"a"}, FencingToken: fuchsiapitch.NewFencingToken(7, 3), Draining: true, PreviousVersion: "1",
	}
	records := map[string]grouper.Record{
		"a claim": {ID: "c", Kind: grouper.Claim, Host: "host-a", Incarnation: 4, Term: 9},
		"a renewal": {ID: "r", Kind: grouper.Renewal, Host: "host-a", Incarnation: 4, Term: 9, Sequence: 5, ReadOffset: 12, Changes: []grouper.Change{
			{Kind: grouper.Assign, Group: group},
			{Kind: grouper.Evict, Host: "host-b"},
			{Kind: grouper.Reject, Service: "redactor", Version: "2"},
		}},
		"a checkpoint": {ID: "k", Kind: grouper.Checkpoint, Host: "host-a", CheckpointState: &grouper.Snapshot{
			Offset: 20, Term: 9, Holder: "host-a", HolderIncarnation: 4, Sequence: 5, AcknowledgedOffset: 12, LeaseReleased: true,
			Groups:     []grouper.Group{group},
			Electors:   []grouper.Elector{{Host: "host-a", Incarnation: 4, JoinOffset: 2, FirstJoinOffset: 1}},
			Rejections: []grouper.Rejection{{Service: "redactor", Version: "2"}},
		}},
	}
	for name, want := range records {
		t.Run(name+" keeps every field", func(t *testing.T) {
			record, err := EncodeGroupRecord(want)
			if err != nil {
				t.Fatalf("encoding: got %v, want no error", err)
			}
			got, err := DecodeGroupRecord(record)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v, want %+v", got, err, want)
			}
		})
	}
}
