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
		Adapters: []string{"a"}, Fence: fuchsiapitch.NewFence(7, 3), Draining: true, Previous: "1",
	}
	records := map[string]grouper.Record{
		"a claim": {ID: "c", Kind: grouper.Claim, Host: "host-a", Incarnation: 4, Term: 9},
		"a renewal": {ID: "r", Kind: grouper.Renewal, Host: "host-a", Incarnation: 4, Term: 9, Sequence: 5, Read: 12, Changes: []grouper.Change{
			{Kind: grouper.Assign, Group: group},
			{Kind: grouper.Evict, Host: "host-b"},
			{Kind: grouper.Reject, Service: "redactor", Version: "2"},
		}},
		"a checkpoint": {ID: "k", Kind: grouper.Checkpoint, Host: "host-a", State: &grouper.Snapshot{
			Offset: 20, Term: 9, Holder: "host-a", Incarnation: 4, Sequence: 5, Acknowledged: 12, Released: true,
			Groups:     []grouper.Group{group},
			Electors:   []grouper.Elector{{Host: "host-a", Incarnation: 4, Joined: 2, Since: 1}},
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
