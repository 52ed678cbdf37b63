package grouper

import (
	"strconv"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

var testGroup = Group{
	ID: "g", Service: "a", Members: []fuchsiapitch.ServerID{"s1", "s2"}, Model: "m", Version: "1",
	FencingToken: fuchsiapitch.NewFencingToken(3, 1),
}

func newEngineStatus(id fuchsiapitch.ServerID, g Group, options ...fuchsiapitch.EngineStatusOption) fuchsiapitch.EngineStatus {
	return fuchsiapitch.NewEngineStatus(id, 1, g.FencingToken, g.Assignment(), options...)
}

func notLeaving(fuchsiapitch.ServerID) bool { return false }

func newWholeGroupHealth() *Health {
	h := NewHealth()
	h.RecordStatus(0, newEngineStatus("s1", testGroup, fuchsiapitch.WithReady()))
	h.RecordStatus(0, newEngineStatus("s2", testGroup, fuchsiapitch.WithReady()))
	return h
}

func TestCheck(t *testing.T) {
	older, other := testGroup, testGroup
	older.FencingToken = fuchsiapitch.NewFencingToken(2, 9)
	other.Version = "2"
	cases := map[string]struct {
		change func(*Health)
		want   Fault
	}{
		"a group whose members all report it has no fault": {func(*Health) {}, 0},
		"a member that does not respond breaks it":         {func(h *Health) { h.RecordMissedProbe(1, "s2") }, MemberSilent},
		"a member that leaves breaks it": {func(h *Health) {
			h.RecordStatus(1, newEngineStatus("s2", testGroup, fuchsiapitch.WithReady(), fuchsiapitch.WithEngineLeaving()))
		}, MemberLeaving},
		"a member of an older term breaks it":      {func(h *Health) { h.RecordStatus(1, newEngineStatus("s2", older, fuchsiapitch.WithReady())) }, MemberStray},
		"a member with another version breaks it":  {func(h *Health) { h.RecordStatus(1, newEngineStatus("s2", other, fuchsiapitch.WithReady())) }, MemberStray},
		"a member that is not ready breaks it":     {func(h *Health) { h.RecordStatus(1, newEngineStatus("s2", testGroup)) }, MemberLoading},
		"a member that never responded breaks it":  {func(h *Health) { delete(h.servers, "s2"); h.RecordMissedProbe(1, "s2") }, MemberSilent},
		"a member that never reported breaks it":   {func(h *Health) { delete(h.servers, "s2") }, MemberUnproved},
		"one lost probe does not outweigh streams": {func(h *Health) { h.RecordProgress(1, "g"); h.RecordMissedProbe(1, "s2") }, 0},
		"a confirmed silence outweighs streams":    {func(h *Health) { h.RecordProgress(1, "g"); h.RecordMissedProbe(1, "s2"); h.RecordMissedProbe(1, "s2") }, MemberSilent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newWholeGroupHealth()
			c.change(h)
			assertEqual(t, h.CheckGroup(1, testGroup, notLeaving), c.want, "fault")
		})
	}
	t.Run("a group without recent reports of its members is faulty", func(t *testing.T) {
		assertEqual(t, newWholeGroupHealth().CheckGroup(livenessTimeout, testGroup, notLeaving), MemberSilent, "fault")
	})
}

func TestSteady(t *testing.T) {
	h := newWholeGroupHealth()
	for n := range 4 {
		h.RecordMissedProbe(time.Minute, "s1")
		h.RecordMissedProbe(time.Minute, "s1")
		h.RecordStatus(time.Minute, newEngineStatus("s1", testGroup))
		delay := initialHoldDown << n
		assertEqual(t, h.IsSteady(time.Minute+delay-1, "s1"), false, "steady during the hold-down")
		assertEqual(t, h.IsSteady(time.Minute+delay, "s1"), true, "steady after the hold-down")
	}
}

func TestDueProbes(t *testing.T) {
	t.Run("a server whose group streams is seldom probed", func(t *testing.T) {
		g := New(fuchsiapitch.NewHost("a", "", "dc", 1))
		g.SetHosts(nil, func(fuchsiapitch.ReplicaID) bool { return true })
		g.health = newWholeGroupHealth()
		now := 2 * idleProbePeriod
		assertEqual(t, g.memberProbePeriod(now, testGroup, "s2"), idleProbePeriod, "period without streams")
		g.StreamProgressed(newInstant(now, now), "g")
		assertEqual(t, g.memberProbePeriod(now, testGroup, "s1"), streamingLeaderProbePeriod, "period of the leader with streams")
		assertEqual(t, g.memberProbePeriod(now, testGroup, "s2"), streamingMemberProbePeriod, "period of a member with streams")
	})
	t.Run("the rate of probes of steady servers is bounded", func(t *testing.T) {
		h := NewHealth()
		targets := newProbeTargets(2*int(probeBurst), time.Second)
		for _, pt := range targets {
			h.RecordStatus(0, fuchsiapitch.NewEngineStatus(pt.Server, 1, fuchsiapitch.FencingToken{}, fuchsiapitch.Assignment{}))
		}
		assertEqual(t, len(h.TakeDueProbes(time.Minute, targets)), int(probeBurst), "probes at once")
		assertEqual(t, len(h.TakeDueProbes(time.Minute+time.Second, targets)), int(probesPerSecond), "probes in the next second")
	})
	t.Run("the rate of probes of servers in change is bounded", func(t *testing.T) {
		h := NewHealth()
		targets := newProbeTargets(2*int(changeProbesPerSecond), loadingProbePeriod)
		assertEqual(t, len(h.TakeDueProbes(0, targets)), int(changeProbesPerSecond), "probes at once")
		assertEqual(t, len(h.TakeDueProbes(time.Second, targets)), int(changeProbesPerSecond), "probes in the next second")
	})
	t.Run("probes of loading servers may exceed the rate for steady servers", func(t *testing.T) {
		h := NewHealth()
		targets := newProbeTargets(150, loadingProbePeriod)
		assertEqual(t, len(h.TakeDueProbes(0, targets)), len(targets), "probes at once")
	})
}

func newProbeTargets(count int, period time.Duration) []ProbeTarget {
	targets := make([]ProbeTarget, 0, count)
	for n := range count {
		targets = append(targets, ProbeTarget{Server: fuchsiapitch.ServerID(strconv.Itoa(n)), Period: period})
	}
	return targets
}
