package grouper

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func assertEqual[T any](t *testing.T, got, want T, what string) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %+v, want %+v", what, got, want)
	}
}

// stream numbers records as the log does and folds them.
func stream(f *Fold, records ...Record) *Fold {
	for _, r := range records {
		f.Apply(Entry{Offset: f.Next(), Record: r})
	}
	return f
}

func joinOf(host fuchsiapitch.HostID) Record {
	return Record{Kind: Join, Host: host, Incarnation: 1}
}

func claimOf(host fuchsiapitch.HostID, term fuchsiapitch.Term) Record {
	return Record{Kind: Claim, Host: host, Incarnation: 1, Term: term}
}

func renewalOf(host fuchsiapitch.HostID, term fuchsiapitch.Term, sequence uint64, changes ...Change) Record {
	return Record{Kind: Renewal, Host: host, Incarnation: 1, Term: term, Sequence: sequence, Changes: changes}
}

func assignOf(id fuchsiapitch.GroupID, members ...fuchsiapitch.ServerID) Change {
	return Change{Kind: Assign, Group: Group{ID: id, Service: "redactor", Members: members, Model: "m", Version: "1"}}
}

func TestFold(t *testing.T) {
	t.Run("the first of two claims of a term wins", func(t *testing.T) {
		f := stream(NewFold(), joinOf("a"), joinOf("b"), claimOf("a", 0), claimOf("b", 0))
		holder, _ := f.Holder()
		assertEqual(t, holder, "a", "holder")
		assertEqual(t, f.Term(), 3, "term")
	})
	t.Run("a claim that is appended twice counts once", func(t *testing.T) {
		f := stream(NewFold(), joinOf("a"), claimOf("a", 0), claimOf("a", 0))
		assertEqual(t, f.Term(), 2, "term")
	})
	t.Run("a host that has not joined or was evicted cannot claim", func(t *testing.T) {
		f := stream(NewFold(), claimOf("c", 0), joinOf("a"), joinOf("b"), claimOf("a", 0),
			renewalOf("a", 4, 1, Change{Kind: Evict, Host: "b"}), claimOf("b", 4))
		assertEqual(t, f.Term(), 4, "term")
	})
	t.Run("a renewal that is appended twice changes nothing the second time", func(t *testing.T) {
		first := renewalOf("a", 2, 1, assignOf("g", "s1", "s2"))
		f := stream(NewFold(), joinOf("a"), claimOf("a", 0), first,
			renewalOf("a", 2, 2, Change{Kind: Disband, Group: Group{ID: "g"}}), first)
		assertEqual(t, len(f.Groups()), 0, "groups")
	})
	t.Run("a controller whose term is over changes nothing", func(t *testing.T) {
		f := stream(NewFold(), joinOf("a"), joinOf("b"), claimOf("a", 0), claimOf("b", 3),
			renewalOf("a", 3, 1, assignOf("g", "s1")))
		assertEqual(t, len(f.Groups()), 0, "groups")
	})
	t.Run("no server is in two groups", func(t *testing.T) { rapid.Check(t, checkPlaces) })
	t.Run("a checkpoint and the records after it give the whole state", func(t *testing.T) { rapid.Check(t, checkRecovery) })
}

func drawRecords(t *rapid.T) []Record {
	records := []Record{joinOf("a"), claimOf("a", 0)}
	for n := range rapid.IntRange(1, 20).Draw(t, "records") {
		var changes []Change
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			id := fuchsiapitch.GroupID(rapid.SampledFrom([]string{"g", "h", "i"}).Draw(t, "group"))
			members := rapid.SliceOfN(rapid.SampledFrom([]fuchsiapitch.ServerID{"s1", "s2", "s3", "s4"}), 1, 3).Draw(t, "members")
			kind := rapid.SampledFrom([]ChangeKind{Assign, Assign, Drain, Disband}).Draw(t, "kind")
			changes = append(changes, Change{Kind: kind, Group: Group{ID: id, Members: members}})
		}
		records = append(records, renewalOf("a", 2, uint64(n+1), changes...))
	}
	return records
}

func checkPlaces(t *rapid.T) {
	seen := make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID)
	for _, g := range stream(NewFold(), drawRecords(t)...).Groups() {
		for _, m := range g.Members {
			if other, taken := seen[m]; taken {
				t.Fatalf("%s: got groups %s and %s, want one", m, other, g.ID)
			}
			seen[m] = g.ID
		}
	}
}

func checkRecovery(t *rapid.T) {
	records := drawRecords(t)
	whole := stream(NewFold(), records...)
	// The checkpoint states the fold after some offset and is appended later.
	at := rapid.IntRange(1, len(records)).Draw(t, "state")
	state := stream(NewFold(), records[:at]...).Snapshot()
	oldest := rapid.IntRange(1, at+1).Draw(t, "oldest")
	records = append(records, Record{Kind: Checkpoint, State: &state})
	late := NewFold()
	late.next = 0
	late.Truncate(fuchsiapitch.Offset(oldest))
	stream(late, records[oldest-1:]...)
	got, want := late.Snapshot(), stream(whole, records[len(records)-1]).Snapshot()
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
