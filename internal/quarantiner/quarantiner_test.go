package quarantiner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	lethal Part = 100 + iota
	shared
	popular
)

// testSettleTime is the settle time of the tables under test.
const testSettleTime = 500 * time.Millisecond

func newTable(host fuchsiapitch.HostID) *Table {
	t := New(host)
	t.SetSettleTime(testSettleTime)
	return t
}

func server(n int) Incarnation {
	return Incarnation{Server: fuchsiapitch.ServerID(fmt.Sprintf("s%d", n)), StartedUnixMillis: 1}
}

// recordCrashes records that servers from one number to another end at a time under parts.
func recordCrashes(t *Table, at time.Duration, from, to int, parts ...Part) {
	for n := from; n <= to; n++ {
		t.RecordCrash(at, at, server(n), parts)
	}
}

// newQuarantine returns a table in which the lethal part is quarantined at the returned time.
func newQuarantine(t *testing.T, host fuchsiapitch.HostID) (*Table, time.Duration) {
	t.Helper()
	table := newTable(host)
	for n := range minCrashes {
		recordCrashes(table, time.Duration(10+n)*time.Second, n, n, lethal)
	}
	now := time.Duration(10+minCrashes) * time.Second
	table.Review(now)
	assertQuarantined(t, table, lethal)
	return table, now
}

func assertQuarantined(t *testing.T, table *Table, want ...Part) {
	t.Helper()
	if got := table.QuarantinedParts(); !slices.Equal(got, want) {
		t.Errorf("got quarantined parts %v, want %v", got, want)
	}
}

func assertVerdict(t *testing.T, table *Table, now time.Duration, want Verdict, parts ...Part) {
	t.Helper()
	if got := table.Check(now, parts); got != want {
		t.Errorf("got verdict %d for %v, want %d", got, parts, want)
	}
}

// Guards against a part that ends server after server and is never quarantined, and against one
// that shares its requests and is blamed with it.
func TestThirdCrashQuarantines(t *testing.T) {
	table := newTable("h1")
	for n := range minCrashes {
		at := time.Duration(10+n) * time.Second
		table.RecordAnswer(at-time.Second, at-1500*time.Millisecond, []Part{popular, shared})
		recordCrashes(table, at, n, n, popular, shared, lethal)
		table.Review(at + testSettleTime - time.Millisecond)
		assertQuarantined(t, table)
	}
	now := time.Duration(9+minCrashes)*time.Second + testSettleTime
	table.Review(now)
	assertQuarantined(t, table, lethal)
	assertVerdict(t, table, now, Refused, popular, lethal)
	assertVerdict(t, table, now, Admitted, popular, shared)
}

// Guards against a sound part that is blamed because many servers end for another reason while
// they answer requests with it.
func TestManyCrashesForAnotherReason(t *testing.T) {
	tests := map[string]func(table *Table){
		"an answer that began before": func(table *Table) {
			table.RecordAnswer(9*time.Second, 8500*time.Millisecond, []Part{popular})
			recordCrashes(table, 10*time.Second, 0, 20, popular)
		},
		"an answer that began after": func(table *Table) {
			recordCrashes(table, 10*time.Second, 0, 20, popular)
			table.RecordAnswer(10*time.Second+testSettleTime/2, 10*time.Second+testSettleTime/3, []Part{popular})
		},
		"an answer at another host": func(table *Table) {
			recordCrashes(table, 10*time.Second, 0, 20, popular)
			table.Apply(10*time.Second+testSettleTime/2, Message{Answers: []Answer{{Part: popular, Age: 2 * time.Second}}})
		},
		"crashes one after the other": func(table *Table) {
			for n := range 20 {
				at := 10*time.Second + time.Duration(n)*300*time.Millisecond
				table.RecordAnswer(at-100*time.Millisecond, at-700*time.Millisecond, []Part{popular})
				recordCrashes(table, at, n, n, popular)
				table.Review(at)
			}
		},
	}
	for name, observe := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable("h1")
			observe(table)
			for at := 10 * time.Second; at < 20*time.Second; at += 50 * time.Millisecond {
				table.Review(at)
			}
			assertQuarantined(t, table)
		})
	}
}

// Guards against an answer or a crash that becomes younger with each host that passes it on, because
// messages take time, until it speaks for a part that ends servers or keeps a sound one
// refused.
func TestNewsKeepsItsAge(t *testing.T) {
	h := hosts{newTable("h1"), newTable("h2"), newTable("h3")}
	const latency = 20 * time.Millisecond
	h[0].RecordAnswer(10*time.Second, 9*time.Second, []Part{popular})
	recordCrashes(h[0], 10*time.Second, 0, 0, popular)
	h[1].Apply(10*time.Second, Message{Quarantines: []Quarantine{{Part: lethal}}})
	for now := 10 * time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
		for _, sender := range h {
			m := sender.Message(now, true, 1)
			for _, receiver := range h {
				receiver.Apply(now+latency, m)
			}
		}
	}
	for _, table := range h {
		if r, ok := table.records[popular]; ok && r.answeredAt > 9*time.Second+ageTolerance {
			t.Errorf("host %s: got an answer that began at %s, want 9s", table.self, r.answeredAt)
		}
		if q := table.quarantines[lethal]; q == nil || q.lastCrashAt > 10*time.Second+ageTolerance {
			t.Errorf("host %s: got quarantine %+v, want one with a crash at 10s", table.self, q)
		}
	}
}

// Guards against a part that was answered until it began to end servers, and is not blamed for
// long.
func TestPartTurnsLethal(t *testing.T) {
	table := newTable("h1")
	table.RecordAnswer(10*time.Second, 9500*time.Millisecond, []Part{lethal})
	for n := range minCrashes {
		recordCrashes(table, 10*time.Second+time.Duration(n)*crashSpread/2, n, n, lethal)
	}
	table.Review(10*time.Second + crashSpread + testSettleTime)
	assertQuarantined(t, table, lethal)
}

// Guards against a rarer part that is blamed for the crashes of a quarantined one, because its
// requests were at the same servers.
func TestExplainedCrashesBlameNoOtherPart(t *testing.T) {
	table := newTable("h1")
	recordCrashes(table, 10*time.Second, 0, 2, lethal)
	table.Review(11 * time.Second)
	assertQuarantined(t, table, lethal)
	recordCrashes(table, 12*time.Second, 3, 9, lethal, shared)
	table.Review(14 * time.Second)
	assertQuarantined(t, table, lethal)
}

// Guards against a part that stays refused although it ends no server.
func TestAnswerEndsQuarantine(t *testing.T) {
	table, now := newQuarantine(t, "h1")
	assertVerdict(t, table, now, Refused, lethal)
	now += permitDelays[0]
	assertVerdict(t, table, now, Awaiting, lethal)
	table.Claim(now, []Part{lethal})
	table.GrantPermits(now)
	assertVerdict(t, table, now, Permitted, lethal)
	assertVerdict(t, table, now, Awaiting, lethal)
	table.Use(now, []Part{lethal})
	assertVerdict(t, table, now, Refused, lethal)
	table.RecordAnswer(now+time.Second, now, []Part{lethal})
	assertQuarantined(t, table)
	assertVerdict(t, table, now+time.Second, Admitted, lethal)
}

// Guards against a response that began before the last crash and ends a quarantine.
func TestOlderAnswerDoesNotEndQuarantine(t *testing.T) {
	table, now := newQuarantine(t, "h1")
	table.RecordAnswer(now, 9*time.Second, []Part{lethal})
	assertQuarantined(t, table, lethal)
}

// Guards against a request by a permit that tells nothing, because it has another quarantined
// part too, and against a permit that is lost with a request that is not sent.
func TestPermit(t *testing.T) {
	table, now := newQuarantine(t, "h1")
	recordCrashes(table, now, 10, 12, shared)
	now += permitDelays[0]
	table.Review(now)
	assertQuarantined(t, table, lethal, shared)
	assertVerdict(t, table, now, Refused, lethal, shared)
	table.Claim(now, []Part{lethal})
	table.GrantPermits(now)
	assertVerdict(t, table, now, Refused, lethal, shared)
	assertVerdict(t, table, now, Permitted, lethal)
	table.Cancel([]Part{lethal})
	assertVerdict(t, table, now, Permitted, lethal)
}

// hosts are tables that exchange messages.
type hosts []*Table

// exchange lets all hosts hear each other.
func (h hosts) exchange(now time.Duration) {
	for _, sender := range h {
		m := sender.Message(now, false, 1)
		for _, receiver := range h {
			if receiver != sender {
				receiver.Apply(now, m)
			}
		}
	}
}

// Guards against a part that ends more servers than the permits allow, over all hosts and
// however long it is asked for.
func TestPermitsAreLimitedOverAllHosts(t *testing.T) {
	h := hosts{newTable("h1"), newTable("h2"), newTable("h3")}
	for n := range minCrashes {
		recordCrashes(h[n], 10*time.Second, n, n, lethal)
	}
	h.exchange(10 * time.Second)
	now := 11 * time.Second
	sent := 0
	leader := 0
	for ; now < 2*time.Hour; now += 500 * time.Millisecond {
		// Another host leads after each minute, and one has lost what it knew.
		leader = int(now/time.Minute) % len(h)
		if now%(5*time.Minute) == 0 {
			lost := (leader + 1) % len(h)
			h[lost] = newTable(h[lost].self)
		}
		h.exchange(now)
		for _, table := range h {
			table.Review(now)
			switch table.Check(now, []Part{popular, lethal}) {
			case Admitted, Permitted:
				sent++
				table.Use(now, []Part{popular, lethal})
				table.RecordCrash(now+100*time.Millisecond, now+100*time.Millisecond, server(100+sent), []Part{popular, lethal})
			case Awaiting:
				table.Claim(now, []Part{popular, lethal})
			case Refused:
			}
		}
		h[leader].GrantPermits(now)
	}
	if want := len(permitDelays); sent != want {
		t.Errorf("got %d requests sent in two hours, want %d", sent, want)
	}
	for _, table := range h {
		assertQuarantined(t, table, lethal)
	}
}

// Guards against hosts that were cut off and know nothing of a quarantine, and against one that
// brings back a quarantine that has ended.
func TestHostReturnsAfterCut(t *testing.T) {
	h := hosts{newTable("h1"), newTable("h2")}
	recordCrashes(h[0], 10*time.Second, 0, 2, lethal, popular)
	h[0].Review(11 * time.Second)
	h.exchange(30 * time.Second)
	t.Run("it learns a quarantine", func(t *testing.T) {
		assertQuarantined(t, h[1], lethal, popular)
	})
	t.Run("it learns the end of a quarantine", func(t *testing.T) {
		h[0].RecordAnswer(41*time.Second, 40*time.Second, []Part{popular})
		assertQuarantined(t, h[0], lethal)
		for at := 60 * time.Second; at < 61*time.Second; at += 100 * time.Millisecond {
			h.exchange(at)
		}
		assertQuarantined(t, h[0], lethal)
		assertQuarantined(t, h[1], lethal)
	})
}

// Guards against a lethal part that is left out because the requests at a server have too many
// parts to remember, or to tell other hosts.
func TestLethalPartAmongManyParts(t *testing.T) {
	const answeredParts, newParts = 2 * maxPartsPerCrash, maxPartsPerCrash / 2
	for name, isAnswered := range map[string]bool{"answered parts": true, "new parts": false} {
		t.Run(name, func(t *testing.T) {
			h := hosts{newTable("h1"), newTable("h2")}
			next := Part(1)
			const last = Part(1<<64 - 1)
			for n := range minCrashes {
				at := time.Duration(10+n) * time.Second
				var parts []Part
				own := newParts
				if isAnswered {
					own = answeredParts
				}
				for range own {
					next++
					parts = append(parts, next)
				}
				if isAnswered {
					for _, table := range h {
						table.RecordAnswer(at, at, parts)
					}
				}
				recordCrashes(h[0], at, n, n, append(parts, last)...)
				h.exchange(at)
			}
			now := time.Duration(9+minCrashes)*time.Second + testSettleTime
			for _, table := range h {
				table.Review(now)
				assertQuarantined(t, table, last)
			}
		})
	}
}

// Guards against memory and messages that grow with the number of parts.
func TestManyPartsAreBounded(t *testing.T) {
	table := newTable("h1")
	now := 10 * time.Second
	for n := range 3 * maxAnswered {
		table.RecordAnswer(now, now, []Part{Part(n)})
	}
	if got, want := len(table.answered)+len(table.formerlyAnswered), 2*maxAnswered; got > want {
		t.Errorf("got %d answered parts, want at most %d", got, want)
	}
	next := Part(1 << 32)
	for n := range 500 {
		var parts []Part
		for range 100 {
			next++
			parts = append(parts, next)
		}
		recordCrashes(table, now, 3*n, 3*n+2, parts...)
	}
	table.Review(now + testSettleTime)
	if got := len(table.records); got > maxRecords {
		t.Errorf("got %d records, want at most %d", got, maxRecords)
	}
	if got := len(table.quarantines); got > maxQuarantines {
		t.Errorf("got %d quarantines, want at most %d", got, maxQuarantines)
	}
	m := table.Message(now+testSettleTime, true, 7)
	parts := 0
	for _, c := range m.Crashes {
		parts += len(c.Parts)
	}
	if parts > maxAnnouncedCrashes*maxAnnouncedParts || len(m.Answers) > maxAnnouncedAnswers || len(m.Quarantines) > maxAnnouncedQuarantines || len(m.Claims) > maxAnnouncedClaims {
		t.Errorf("got a message with %d parts, %d answers, %d quarantines and %d claims, want bounded lists", parts, len(m.Answers), len(m.Quarantines), len(m.Claims))
	}
	table.Review(now + crashMemory + idleLifetime + time.Second)
	if got := len(table.records) + len(table.quarantines) + len(table.crashes); got != 0 {
		t.Errorf("got %d records, quarantines and crashes after a long time, want none", got)
	}
}
