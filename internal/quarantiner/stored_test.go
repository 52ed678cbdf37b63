package quarantiner

import (
	"testing"
	"time"
)

// Guards against permits that a restart of all hosts gives out again: those used, and one that was out.
func TestRestoredPermitsStayUsed(t *testing.T) {
	table, now := newQuarantine(t, "h1")
	now += permitDelays[0]
	table.Claim(now, []Part{lethal})
	if !table.GrantPermits(now) {
		t.Fatal("got no permit, want one")
	}
	now += time.Second
	restarted := newTable("h2")
	restarted.Restore(0, table.Quarantines(now))
	assertQuarantined(t, restarted, lethal)
	// The permit that was out counts as used when the quarantine was stored.
	for _, at := range []time.Duration{permitDelays[0], permitDelays[1] - time.Second} {
		restarted.Claim(at, []Part{lethal})
		if restarted.GrantPermits(at) {
			t.Errorf("got a permit %s after the restart, want none before %s", at, permitDelays[1])
		}
	}
	restarted.Claim(permitDelays[1], []Part{lethal})
	if !restarted.GrantPermits(permitDelays[1]) {
		t.Errorf("got no permit after %s, want one", permitDelays[1])
	}
}

// Guards against a pause before a permit that each restart begins anew.
func TestRestoredQuarantineKeepsItsPause(t *testing.T) {
	table, now := newQuarantine(t, "h1")
	restarted := newTable("h2")
	restarted.Restore(0, table.Quarantines(now+permitDelays[0]))
	restarted.Claim(0, []Part{lethal})
	if !restarted.GrantPermits(0) {
		t.Error("got no permit, want the one that was due before the restart")
	}
}

// Guards against a restored part that never comes free, and against an old record that takes a free part again.
func TestRestoredPartComesFree(t *testing.T) {
	table, now := newQuarantine(t, "h1")
	stored := table.Quarantines(now)
	restarted := newTable("h2")
	restarted.Restore(now, stored)
	restarted.RecordAnswer(now+time.Second, now+time.Second, []Part{lethal})
	assertQuarantined(t, restarted)
	stored[0].Age += 2 * time.Second
	restarted.Restore(now+2*time.Second, stored)
	assertQuarantined(t, restarted)
	stored[0].IdleFor = idleLifetime + time.Second
	idle := newTable("h3")
	idle.Restore(now, stored)
	assertQuarantined(t, idle)
}

// Guards against a part that is forgotten when all hosts end before they would have quarantined it, and a sound one
// that is stored for a moment at which all servers end.
func TestImpendingQuarantineIsStored(t *testing.T) {
	const now = 10 * time.Second
	table := newTable("h1")
	table.RecordAnswer(now, now-time.Second, []Part{popular})
	recordCrashes(table, now, 1, minCrashes, lethal, popular)
	assertQuarantined(t, table)
	restarted := newTable("h2")
	restarted.Restore(0, table.Quarantines(now))
	assertQuarantined(t, restarted, lethal)
	table.Review(now + testSettleTime)
	if got := table.Quarantines(now + testSettleTime); len(got) != 1 || got[0].Differs(Quarantine{}) {
		t.Errorf("got %v, want no difference when the quarantine is imposed", got)
	}
	table = newTable("h1")
	recordCrashes(table, now, 1, minCrashes-1, lethal)
	if got := table.Quarantines(now); len(got) > 0 {
		t.Errorf("got %v after %d crashes, want none", got, minCrashes-1)
	}
}
