package grouper

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func assertEqual[T any](t *testing.T, got, want T, label string) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %+v, want %+v", label, got, want)
	}
}

// applyAll applies records at consecutive offsets, as the log assigns them.
func applyAll(sm *StateMachine, records ...Record) *StateMachine {
	for _, r := range records {
		sm.Apply(Entry{Offset: sm.NextOffset(), Record: r})
	}
	return sm
}

func newJoin(host fuchsiapitch.HostID) Record {
	return Record{Kind: Join, Host: host, Incarnation: 1}
}

func newClaim(host fuchsiapitch.HostID, term fuchsiapitch.Term) Record {
	return Record{Kind: Claim, Host: host, Incarnation: 1, Term: term}
}

func newRenewal(host fuchsiapitch.HostID, term fuchsiapitch.Term, sequence uint64, changes ...Change) Record {
	return Record{Kind: Renewal, Host: host, Incarnation: 1, Term: term, Sequence: sequence, Changes: changes}
}

func newAssign(id fuchsiapitch.GroupID, members ...fuchsiapitch.ServerID) Change {
	return Change{Kind: Assign, Group: Group{ID: id, Service: "redactor", Members: members, Model: "m", Version: "1"}}
}

func TestFold(t *testing.T) {
	t.Run("the first of two claims of a term wins", func(t *testing.T) {
		sm := applyAll(NewStateMachine(), newJoin("a"), newJoin("b"), newClaim("a", 0), newClaim("b", 0))
		holder, _ := sm.Holder()
		assertEqual(t, holder, "a", "holder")
		assertEqual(t, sm.Term(), 3, "term")
	})
	t.Run("a claim that is appended twice counts once", func(t *testing.T) {
		sm := applyAll(NewStateMachine(), newJoin("a"), newClaim("a", 0), newClaim("a", 0))
		assertEqual(t, sm.Term(), 2, "term")
	})
	t.Run("a host that has not joined or was evicted cannot claim", func(t *testing.T) {
		sm := applyAll(NewStateMachine(), newClaim("c", 0), newJoin("a"), newJoin("b"), newClaim("a", 0),
			newRenewal("a", 4, 1, Change{Kind: Evict, Host: "b"}), newClaim("b", 4))
		assertEqual(t, sm.Term(), 4, "term")
	})
	t.Run("a renewal that is appended twice changes nothing the second time", func(t *testing.T) {
		first := newRenewal("a", 2, 1, newAssign("g", "s1", "s2"))
		sm := applyAll(NewStateMachine(), newJoin("a"), newClaim("a", 0), first,
			newRenewal("a", 2, 2, Change{Kind: Disband, Group: Group{ID: "g"}}), first)
		assertEqual(t, len(sm.Groups()), 0, "groups")
	})
	t.Run("a controller whose term is over changes nothing", func(t *testing.T) {
		sm := applyAll(NewStateMachine(), newJoin("a"), newJoin("b"), newClaim("a", 0), newClaim("b", 3),
			newRenewal("a", 3, 1, newAssign("g", "s1")))
		assertEqual(t, len(sm.Groups()), 0, "groups")
	})
	t.Run("no server is in two groups", func(t *testing.T) { rapid.Check(t, checkOneGroupPerServer) })
	t.Run("a checkpoint and the records after it give the whole state", func(t *testing.T) { rapid.Check(t, checkRecovery) })
}

func drawRecords(t *rapid.T) []Record {
	records := []Record{newJoin("a"), newClaim("a", 0)}
	for n := range rapid.IntRange(1, 20).Draw(t, "records") {
		var changes []Change
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			id := fuchsiapitch.GroupID(rapid.SampledFrom([]string{"g", "h", "i"}).Draw(t, "group"))
			members := rapid.SliceOfN(rapid.SampledFrom([]fuchsiapitch.ServerID{"s1", "s2", "s3", "s4"}), 1, 3).Draw(t, "members")
			kind := rapid.SampledFrom([]ChangeKind{Assign, Assign, Drain, Disband}).Draw(t, "kind")
			changes = append(changes, Change{Kind: kind, Group: Group{ID: id, Members: members}})
		}
		records = append(records, newRenewal("a", 2, uint64(n+1), changes...))
	}
	return records
}

func checkOneGroupPerServer(t *rapid.T) {
	seen := make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID)
	for _, g := range applyAll(NewStateMachine(), drawRecords(t)...).Groups() {
		for _, m := range g.Members {
			if other, assigned := seen[m]; assigned {
				t.Fatalf("%s: got groups %s and %s, want one", m, other, g.ID)
			}
			seen[m] = g.ID
		}
	}
}

func checkRecovery(t *rapid.T) {
	records := drawRecords(t)
	complete := applyAll(NewStateMachine(), records...)
	// The checkpoint contains the state after some offset and is appended later.
	at := rapid.IntRange(1, len(records)).Draw(t, "state")
	state := applyAll(NewStateMachine(), records[:at]...).Snapshot()
	oldest := rapid.IntRange(1, at+1).Draw(t, "oldest")
	records = append(records, Record{Kind: Checkpoint, CheckpointState: &state})
	recovered := NewStateMachine()
	recovered.nextOffset = 0
	recovered.Truncate(fuchsiapitch.Offset(oldest))
	applyAll(recovered, records[oldest-1:]...)
	got, want := recovered.Snapshot(), applyAll(complete, records[len(records)-1]).Snapshot()
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
