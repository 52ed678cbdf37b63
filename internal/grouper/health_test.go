package grouper

import (
	"strconv"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

var pair = Group{
	ID: "g", Service: "a", Members: []fuchsiapitch.ServerID{"s1", "s2"}, Model: "m", Version: "1",
	Fence: fuchsiapitch.NewFence(3, 1),
}

func account(id fuchsiapitch.ServerID, g Group, options ...fuchsiapitch.AccountOption) fuchsiapitch.Account {
	return fuchsiapitch.NewAccount(id, 1, g.Fence, g.Assignment(), options...)
}

func staying(fuchsiapitch.ServerID) bool { return false }

func wholePair() *Health {
	h := NewHealth()
	h.Report(0, account("s1", pair, fuchsiapitch.WithReady()))
	h.Report(0, account("s2", pair, fuchsiapitch.WithReady()))
	return h
}

func TestCheck(t *testing.T) {
	older, other := pair, pair
	older.Fence = fuchsiapitch.NewFence(2, 9)
	other.Version = "2"
	cases := map[string]struct {
		change func(*Health)
		want   Fault
	}{
		"a group whose members all report it is whole": {func(*Health) {}, 0},
		"a member that does not answer breaks it":      {func(h *Health) { h.Silence(1, "s2") }, MemberSilent},
		"a member that leaves breaks it": {func(h *Health) {
			h.Report(1, account("s2", pair, fuchsiapitch.WithReady(), fuchsiapitch.WithAccountLeaving()))
		}, MemberLeaving},
		"a member of an older term breaks it":      {func(h *Health) { h.Report(1, account("s2", older, fuchsiapitch.WithReady())) }, MemberStray},
		"a member with another version breaks it":  {func(h *Health) { h.Report(1, account("s2", other, fuchsiapitch.WithReady())) }, MemberStray},
		"a member that is not ready breaks it":     {func(h *Health) { h.Report(1, account("s2", pair)) }, MemberLoading},
		"a member that never answered breaks it":   {func(h *Health) { delete(h.servers, "s2"); h.Silence(1, "s2") }, MemberSilent},
		"a member that never reported breaks it":   {func(h *Health) { delete(h.servers, "s2") }, MemberUnproved},
		"one lost probe does not outweigh streams": {func(h *Health) { h.Progress(1, "g"); h.Silence(1, "s2") }, 0},
		"a confirmed silence outweighs streams":    {func(h *Health) { h.Progress(1, "g"); h.Silence(1, "s2"); h.Silence(1, "s2") }, MemberSilent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := wholePair()
			c.change(h)
			assertEqual(t, h.Check(1, pair, staying), c.want, "fault")
		})
	}
	t.Run("a group without any recent proof of life is not whole", func(t *testing.T) {
		assertEqual(t, wholePair().Check(proofTime, pair, staying), MemberSilent, "fault")
	})
}

func TestSteady(t *testing.T) {
	h := wholePair()
	for n := range 4 {
		h.Silence(time.Minute, "s1")
		h.Silence(time.Minute, "s1")
		h.Report(time.Minute, account("s1", pair))
		back := firstSteadyTime << n
		assertEqual(t, h.Steady(time.Minute+back-1, "s1"), false, "steady before its time")
		assertEqual(t, h.Steady(time.Minute+back, "s1"), true, "steady after its time")
	}
}

func TestDue(t *testing.T) {
	t.Run("a server whose group streams is seldom probed", func(t *testing.T) {
		g := New(fuchsiapitch.NewHost("a", "", "dc", 1))
		g.SetHosts(nil, func(fuchsiapitch.ReplicaID) bool { return true })
		g.health = wholePair()
		now := 2 * idleProbePeriod
		assertEqual(t, g.watchPeriod(now, pair, "s2"), idleProbePeriod, "period without streams")
		g.Progress(instant(now, now), "g")
		assertEqual(t, g.watchPeriod(now, pair, "s1"), busyLeaderPeriod, "period of the leader with streams")
		assertEqual(t, g.watchPeriod(now, pair, "s2"), busyMemberPeriod, "period of a member with streams")
	})
	t.Run("the rate of probes of steady servers is bounded", func(t *testing.T) {
		h := NewHealth()
		watches := watchServers(2*int(probeBurst), time.Second)
		for _, w := range watches {
			h.Report(0, fuchsiapitch.NewAccount(w.Server, 1, fuchsiapitch.Fence{}, fuchsiapitch.Assignment{}))
		}
		assertEqual(t, len(h.Due(time.Minute, watches)), int(probeBurst), "probes at once")
		assertEqual(t, len(h.Due(time.Minute+time.Second, watches)), int(probesPerSecond), "probes in the next second")
	})
	t.Run("the rate of probes of servers in change is bounded", func(t *testing.T) {
		h := NewHealth()
		watches := watchServers(2*int(changeProbesPerSecond), loadingProbePeriod)
		assertEqual(t, len(h.Due(0, watches)), int(changeProbesPerSecond), "probes at once")
		assertEqual(t, len(h.Due(time.Second, watches)), int(changeProbesPerSecond), "probes in the next second")
	})
	t.Run("forming many groups is not held up by the limit of steady times", func(t *testing.T) {
		h := NewHealth()
		watches := watchServers(150, loadingProbePeriod)
		assertEqual(t, len(h.Due(0, watches)), len(watches), "probes at once")
	})
}

func watchServers(count int, period time.Duration) []Watch {
	watches := make([]Watch, 0, count)
	for n := range count {
		watches = append(watches, Watch{Server: fuchsiapitch.ServerID(strconv.Itoa(n)), Period: period})
	}
	return watches
}
