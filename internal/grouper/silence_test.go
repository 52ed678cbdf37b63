package grouper

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newRunningFixture returns two groups with running requests and a spare engine.
func newRunningFixture() *fixture {
	f := newFixture("s1", "s2", "s3", "s4", "s5")
	f.run(5 * time.Second)
	f.setRunningRequests(1)
	f.SetBusyReplicas(map[fuchsiapitch.ReplicaID]bool{
		fuchsiapitch.ReplicaID(f.Committed().Groups()[0].ID): true, fuchsiapitch.ReplicaID(f.Committed().Groups()[1].ID): true,
	})
	f.run(5 * time.Second)
	return f
}

// assertGroupsKept checks that no group was assigned anew, which ends what its engines run.
func (f *fixture) assertGroupsKept(t *testing.T, before []Group) {
	t.Helper()
	for n, g := range f.Committed().Groups() {
		if g.FencingToken != before[n].FencingToken {
			t.Errorf("got group %s assigned anew to %v, want %v kept", g.ID, g.Members, before[n].Members)
		}
	}
}

// assertGroupsOutliveSilence checks that the groups are kept when a leader or a member is silent
// for a time that begins at any time between two probes.
func assertGroupsOutliveSilence(t *testing.T, d time.Duration) {
	t.Helper()
	for offset := time.Duration(0); offset < time.Second; offset += tickPeriod {
		for member, name := range []string{"leader", "member"} {
			t.Run(fmt.Sprintf("%s, %s after %s", name, d, offset), func(t *testing.T) {
				f := newRunningFixture()
				f.run(offset)
				before := f.Committed().Groups()
				f.engines[before[0].Members[member]].silentUntil = f.now + d
				f.run(10 * time.Second)
				f.assertGroupsKept(t, before)
			})
		}
	}
}

// Guards against streams that are ended because the group of a sound engine that is silent for
// a second or so is assigned anew.
func TestGroupsOutliveSilence(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 1600 * time.Millisecond} {
		assertGroupsOutliveSilence(t, d)
	}
}

// Guards against streams that are ended because the group of a sound engine that is silent for
// two seconds is assigned anew.
func TestGroupsOutliveSilenceOfTwoSeconds(t *testing.T) { assertGroupsOutliveSilence(t, 2*time.Second) }

// Guards against streams that are ended because an engine of their group announces that it
// leaves, though it serves on.
func TestGroupWithLeavingMemberIsDrained(t *testing.T) {
	f := newRunningFixture()
	before := f.Committed().Groups()
	f.engines[before[0].Members[1]].leaving = true
	f.run(5 * time.Second)
	f.assertGroupsKept(t, before)
	f.setRunningRequests(0)
	f.SetBusyReplicas(nil)
	f.run(10 * time.Second)
	for _, g := range f.Committed().Groups() {
		if slices.Equal(g.Members, before[0].Members) {
			t.Errorf("got group %s of %v kept, want it replaced once nothing runs", g.ID, g.Members)
		}
	}
}
