package deduplicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

var start = time.Unix(1_800_000_000, 0)

func claimOf(name string, request fuchsiapitch.RequestID, stamp time.Time) Claim {
	return Claim{Key: NewKey("family", "mostrador", name), Request: request, BodyHash: 1, Stamp: stamp, Expiry: stamp.Add(time.Minute)}
}

func assertStanding(t *testing.T, got Verdict, want Standing) {
	t.Helper()
	if got.Standing != want {
		t.Errorf("got standing %d, want %d", got.Standing, want)
	}
}

func TestFold(t *testing.T) {
	first := claimOf("k", "r1", start)
	shard := first.Key.Shard()
	t.Run("the first claim wins, also when it is folded twice", func(t *testing.T) {
		d := New()
		for _, request := range []fuchsiapitch.RequestID{"r1", "r2", "r1"} {
			d.Fold(shard, Group{Claims: []Claim{claimOf("k", request, start)}})
		}
		if !d.Holds(first.Key, "r1") || d.Holds(first.Key, "r2") {
			t.Error("got another winner than the first claim")
		}
	})
	t.Run("a released key is free and its late duplicate does not take it", func(t *testing.T) {
		d := New()
		d.Fold(shard, Group{Claims: []Claim{first}})
		d.Fold(shard, Group{Completions: []Completion{{Key: first.Key, Request: "r1", Outcome: fuchsiapitch.OutcomeNotRun}}})
		d.Fold(shard, Group{Claims: []Claim{first}})
		assertStanding(t, d.Look(start, first.Key, 2), Free)
		d.Fold(shard, Group{Claims: []Claim{claimOf("k", "r2", start)}})
		if !d.Holds(first.Key, "r2") {
			t.Error("got no winner of the released key")
		}
	})
	t.Run("a release counts only where it stands in the log", func(t *testing.T) {
		d := New()
		d.Fold(shard, Group{Claims: []Claim{first}})
		d.Complete(Completion{Key: first.Key, Request: "r1", Outcome: fuchsiapitch.OutcomeNotRun})
		d.Fold(shard, Group{Claims: []Claim{claimOf("k", "r2", start)}})
		if d.Holds(first.Key, "r2") {
			t.Error("got a winner that stands before the release")
		}
	})
	t.Run("a completion of another request changes nothing", func(t *testing.T) {
		d := New()
		d.Fold(shard, Group{Claims: []Claim{first}})
		d.Fold(shard, Group{Completions: []Completion{{Key: first.Key, Request: "r2", Outcome: fuchsiapitch.OutcomeNotRun}}})
		assertStanding(t, d.Look(start, first.Key, 1), InProgress)
	})
	t.Run("a key is remembered for its retention by the stamps of the log", func(t *testing.T) {
		for age, want := range map[time.Duration]Standing{Retention: Unclear, Retention + time.Second: Free} {
			d := New()
			d.Fold(shard, Group{Claims: []Claim{first}})
			d.Fold(shard, Group{Claims: []Claim{sibling(first.Key, start.Add(age))}})
			assertStanding(t, d.Look(start.Add(age), first.Key, 1), want)
		}
	})
	t.Run("a claim with an old stamp is void", func(t *testing.T) {
		d := New()
		d.Fold(shard, Group{Claims: []Claim{sibling(first.Key, start.Add(2*stampTolerance)), first}})
		assertStanding(t, d.Look(start, first.Key, 1), Free)
	})
	t.Run("stored answers are bounded and keys are kept", func(t *testing.T) {
		d := New()
		body := make([]byte, 64<<10)
		for i := range 200 {
			c := claimOf(fmt.Sprint(i), fuchsiapitch.RequestID(fmt.Sprint("r", i)), start)
			d.Fold(c.Key.Shard(), Group{Claims: []Claim{c}})
			d.Complete(Completion{Key: c.Key, Request: c.Request, Outcome: fuchsiapitch.OutcomeSucceeded, Answer: &Answer{Body: body}})
		}
		kept := 0
		for i := range 200 {
			switch d.Look(start, NewKey("family", "mostrador", fmt.Sprint(i)), 1).Standing {
			case Answered:
				kept += len(body)
			case Unclear:
			default:
				t.Errorf("got key %d forgotten", i)
			}
		}
		if kept > ShardCount*answerBytesLimit {
			t.Errorf("got %d bytes of answers, want at most %d", kept, ShardCount*answerBytesLimit)
		}
	})
	t.Run("too many keys are refused, not forgotten", func(t *testing.T) {
		d := New()
		for i := range ShardCount * keyLimit * 2 {
			c := claimOf(fmt.Sprint(i), "r", start)
			if d.Look(start, c.Key, 1).Standing == Free {
				d.Fold(c.Key.Shard(), Group{Claims: []Claim{c}})
			}
		}
		if got := d.Keys(); got != ShardCount*keyLimit {
			t.Errorf("got %d keys, want %d", got, ShardCount*keyLimit)
		}
		assertStanding(t, d.Look(start, NewKey("family", "mostrador", "0"), 1), InProgress)
	})
}

// sibling returns a claim of another key of the same shard.
func sibling(key Key, stamp time.Time) Claim {
	for i := 0; ; i++ {
		if c := claimOf(fmt.Sprint("sibling", i), "r9", stamp); c.Key.Shard() == key.Shard() {
			return c
		}
	}
}

func TestOutbox(t *testing.T) {
	claim := claimOf("k", "r1", start)
	shard := claim.Key.Shard()
	send := func(t *testing.T, o *Outbox, now time.Duration) Append {
		t.Helper()
		appends := o.Due(now, 1)
		if len(appends) != 1 {
			t.Fatalf("got %d appends, want 1", len(appends))
		}
		return appends[0]
	}
	t.Run("a record whose answer was lost is never held for lost later", func(t *testing.T) {
		o := &Outbox{}
		o.Claim(claim)
		a := send(t, o, 0)
		o.Ended(0, shard, a.Record, Uncertain)
		again := send(t, o, repeatTime)
		if again.Record != a.Record {
			t.Errorf("got record %s, want %s", again.Record, a.Record)
		}
		if got := o.Ended(repeatTime, shard, a.Record, Lost); len(got) != 0 {
			t.Errorf("got claims %v said to be lost, which may have landed", got)
		}
		o.Folded(shard, a.Record)
		if o.Pending() != 0 {
			t.Errorf("got %d pending after the record was read back", o.Pending())
		}
	})
	t.Run("completions survive a log outage", func(t *testing.T) {
		o := &Outbox{}
		o.Complete(Completion{Key: claim.Key, Request: "r1", Outcome: fuchsiapitch.OutcomeSucceeded})
		a := send(t, o, 0)
		o.Ended(0, shard, a.Record, Lost)
		if a = send(t, o, repeatTime); len(a.Group.Completions) != 1 {
			t.Errorf("got %v, want the completion again", a.Group)
		}
	})
	t.Run("a host keeps to its share of the log", func(t *testing.T) {
		o := &Outbox{}
		appends := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			o.Claim(claim)
			for _, a := range o.Due(now, 8) {
				appends++
				o.Ended(now, a.Shard, a.Record, Landed)
			}
		}
		if limit := int(10*time.Second/(8*appendInterval)) + appendBurst + 1; appends > limit || appends < limit/2 {
			t.Errorf("got %d appends in 10 s, want about %d", appends, limit)
		}
	})
}
