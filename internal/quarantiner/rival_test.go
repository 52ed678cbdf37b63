package quarantiner

import (
	"testing"
	"time"
)

// newRivals returns a table in which a lethal and a sound part have the same evidence, as all hosts
// have after a restart of all, and the time of their quarantine.
func newRivals(t *testing.T) (*Table, time.Duration) {
	t.Helper()
	table := newTable("h1")
	recordCrashes(table, 10*time.Second, 0, minCrashes-1, lethal, shared)
	now := 10*time.Second + testSettleTime
	table.Review(now)
	assertQuarantined(t, table, lethal, shared)
	return table, now
}

// grant lets a request wait for permits and gives out those that are due.
func grant(table *Table, now time.Duration, parts ...Part) {
	table.Claim(now, parts)
	table.GrantPermits(now)
}

// Guards against a lethal part that is passed by a sound one: of many servers that end at once
// under it, the first crashes were forgotten.
func TestManyCrashesOfOnePartAreKept(t *testing.T) {
	table := newTable("h1")
	recordCrashes(table, 10*time.Second, 0, minCrashes-1, lethal, shared)
	recordCrashes(table, 10*time.Second+testSettleTime/2, minCrashes, minCrashes+11, lethal)
	table.Review(10*time.Second + testSettleTime)
	if _, ok := table.quarantines[lethal]; !ok {
		t.Errorf("got quarantined parts %v, want the lethal one among them", table.QuarantinedParts())
	}
}

// Guards against lethal requests that use up the permits of a sound part, so that all sound
// requests with it are refused for as long as lethal ones come.
func TestLethalRequestLeavesPermitsOfRivals(t *testing.T) {
	table, now := newRivals(t)
	assertVerdict(t, table, now, Refused, lethal, shared)
	assertVerdict(t, table, now, Awaiting, shared)
	grant(table, now, shared)
	assertVerdict(t, table, now, Refused, shared, lethal)
	assertVerdict(t, table, now, Permitted, shared)
	table.Use(now, []Part{shared})
	table.RecordAnswer(now+SurvivalTime, now, []Part{shared})
	assertQuarantined(t, table, lethal)
}

// Guards against a lethal part that becomes free, or ends more servers than the permits allow,
// because its requests come without the sound parts beside which they ended servers.
func TestLethalRequestsWithoutRivals(t *testing.T) {
	table, now := newRivals(t)
	sent := 0
	for end := now + time.Hour; now < end; now += 100 * time.Millisecond {
		table.Review(now)
		switch table.Check(now, []Part{lethal}) {
		case Permitted:
			sent++
			table.Use(now, []Part{lethal})
			table.RecordCrash(now, now, server(100+sent), []Part{lethal})
			table.RecordTrialCrash([]Part{lethal})
		case Awaiting:
			table.Claim(now, []Part{lethal})
		case Admitted, Refused:
		}
		table.GrantPermits(now)
	}
	if want := len(permitDelays); sent != want {
		t.Errorf("got %d requests sent in an hour, want %d", sent, want)
	}
	if table.quarantines[lethal] == nil {
		t.Error("got a lethal part that is free, want it quarantined")
	}
}

// Guards against lethal requests that come alone for some time and leave no permit for the first
// sound one.
func TestLastPermitIsLeftToDiscriminatingRequest(t *testing.T) {
	table, now := newRivals(t)
	for n := range len(permitDelays) - 1 {
		now += permitDelays[n]
		grant(table, now, lethal, shared)
		assertVerdict(t, table, now, Permitted, lethal, shared)
		table.Use(now, []Part{lethal, shared})
		table.RecordTrialCrash([]Part{lethal, shared})
	}
	now += permitDelays[len(permitDelays)-1]
	assertVerdict(t, table, now, Refused, lethal, shared)
	grant(table, now, shared)
	assertVerdict(t, table, now, Permitted, shared)
}

// Guards against two hosts that each hold one of the permits that a request needs, and wait for
// the other one.
func TestClaimGetsAllPermitsOrNone(t *testing.T) {
	table := newTable("h1")
	recordCrashes(table, 10*time.Second, 0, minCrashes-1, lethal, shared, popular)
	now := 10*time.Second + testSettleTime
	table.Review(now)
	assertQuarantined(t, table, lethal, shared, popular)
	grant(table, now, shared)
	table.Apply(now, Message{Claims: []Claim{{Host: "h0", Parts: []Part{shared, popular}, IsDiscriminating: true}}})
	table.GrantPermits(now)
	if got := table.quarantines[popular].holder; got != "" {
		t.Errorf("got holder %q of a permit whose request needs another one, want none", got)
	}
	table.Withdraw([]Part{shared})
	table.Review(now)
	table.GrantPermits(now)
	for _, p := range []Part{shared, popular} {
		if got, want := string(table.quarantines[p].holder), "h0"; got != want {
			t.Errorf("part %s: got holder %q, want %q", p, got, want)
		}
	}
}

// Guards against a sound request that is sent to the same server as a lethal one, and is blamed for
// its end.
func TestRivalsAreNotTriedAtOnce(t *testing.T) {
	table, now := newRivals(t)
	grant(table, now, lethal)
	assertVerdict(t, table, now, Permitted, lethal)
	table.Use(now, []Part{lethal})
	grant(table, now, shared)
	assertVerdict(t, table, now, Awaiting, shared)
	now += trialInterval
	grant(table, now, shared)
	assertVerdict(t, table, now, Permitted, shared)
}

// Guards against a permit that is lost with a request that reached no server.
func TestUnreachableServerReturnsPermit(t *testing.T) {
	table, now := newRivals(t)
	for range 2 * len(permitDelays) {
		grant(table, now, shared)
		assertVerdict(t, table, now, Permitted, shared)
		table.Use(now, []Part{shared})
		table.Return([]Part{shared})
	}
	assertVerdict(t, table, now, Permitted, shared)
}

// Guards against a permit that stays for long with a host at which no request waits any more.
func TestUnclaimedPermitIsDeclined(t *testing.T) {
	table, now := newRivals(t)
	other := newTable("h2")
	other.Apply(now, table.Message(now, false, 1))
	other.Claim(now, []Part{shared})
	table.Apply(now, other.Message(now, false, 2))
	table.GrantPermits(now)
	other.Withdraw([]Part{shared})
	other.Apply(now, table.Message(now, false, 3))
	other.Review(now)
	table.Apply(now, other.Message(now, false, 4))
	grant(table, now, shared)
	assertVerdict(t, table, now, Permitted, shared)
}

// Guards against a claim that hosts tell each other for good after its request has ended.
func TestClaimEndsAtAllHosts(t *testing.T) {
	h := hosts{newTable("h1"), newTable("h2"), newTable("h3")}
	recordCrashes(h[0], 10*time.Second, 0, minCrashes-1, lethal, shared)
	now := 10*time.Second + testSettleTime
	h.exchange(now)
	h[0].Claim(now, []Part{shared})
	for end := now + 2*claimLifetime; now < end; now += 100 * time.Millisecond {
		for _, sender := range h {
			m := sender.Message(now, true, 1)
			for _, receiver := range h {
				receiver.Apply(now, m)
			}
		}
	}
	for _, table := range h {
		if got := table.currentClaims(now); len(got) > 0 {
			t.Errorf("host %s: got claim %+v, want none", table.self, got[0])
		}
	}
}

// Guards against a sound part that is blamed alone, because of a crash more that has another
// reason or that two hosts know by different incarnations.
func TestOneCrashMoreIsNoEvidence(t *testing.T) {
	for name, observe := range map[string]func(table *Table){
		"another crash": func(table *Table) {
			recordCrashes(table, 10*time.Second, 0, minCrashes-1, lethal, shared)
			recordCrashes(table, 10*time.Second, 20, 20, shared)
		},
		"a crash that is not settled": func(table *Table) {
			recordCrashes(table, 10*time.Second, 20, 20, shared)
			recordCrashes(table, 10*time.Second, 0, minCrashes-2, lethal, shared)
			recordCrashes(table, 10*time.Second+testSettleTime/2, minCrashes, minCrashes, lethal, shared)
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable("h1")
			observe(table)
			table.Review(10*time.Second + testSettleTime)
			assertQuarantined(t, table, lethal, shared)
		})
	}
}
