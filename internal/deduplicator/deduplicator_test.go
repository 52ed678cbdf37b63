package deduplicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

var startTime = time.Unix(1_800_000_000, 0)

func newClaim(name string, request fuchsiapitch.RequestID, claimedAt time.Time) Claim {
	return Claim{Key: NewKey("family", "mostrador", name), RequestID: request, BodyHash: 1, ClaimedAt: claimedAt, RequestExpiresAt: claimedAt.Add(time.Minute)}
}

func assertKeyState(t *testing.T, got LookupResult, want KeyState) {
	t.Helper()
	if got.State != want {
		t.Errorf("got key state %d, want %d", got.State, want)
	}
}

func TestFold(t *testing.T) {
	first := newClaim("k", "r1", startTime)
	shard := first.Key.Shard()
	t.Run("the first claim wins, also when it is applied twice", func(t *testing.T) {
		d := New()
		for _, request := range []fuchsiapitch.RequestID{"r1", "r2", "r1"} {
			d.Apply(shard, Batch{Claims: []Claim{newClaim("k", request, startTime)}})
		}
		if !d.IsHeldBy(first.Key, "r1") || d.IsHeldBy(first.Key, "r2") {
			t.Error("the request of the first claim does not hold the key alone")
		}
	})
	t.Run("a released key is free and its late duplicate does not take it", func(t *testing.T) {
		d := New()
		d.Apply(shard, Batch{Claims: []Claim{first}})
		d.Apply(shard, Batch{Completions: []Completion{{Key: first.Key, RequestID: "r1", Outcome: fuchsiapitch.OutcomeNotRun}}})
		d.Apply(shard, Batch{Claims: []Claim{first}})
		assertKeyState(t, d.Lookup(startTime, first.Key, 2), Free)
		d.Apply(shard, Batch{Claims: []Claim{newClaim("k", "r2", startTime)}})
		if !d.IsHeldBy(first.Key, "r2") {
			t.Error("the second request does not hold the released key")
		}
	})
	t.Run("a release counts only where it stands in the log", func(t *testing.T) {
		d := New()
		d.Apply(shard, Batch{Claims: []Claim{first}})
		d.CompleteLocal(Completion{Key: first.Key, RequestID: "r1", Outcome: fuchsiapitch.OutcomeNotRun})
		d.Apply(shard, Batch{Claims: []Claim{newClaim("k", "r2", startTime)}})
		if d.IsHeldBy(first.Key, "r2") {
			t.Error("a claim that precedes the release in the log holds the key")
		}
	})
	t.Run("a completion of another request changes nothing", func(t *testing.T) {
		d := New()
		d.Apply(shard, Batch{Claims: []Claim{first}})
		d.Apply(shard, Batch{Completions: []Completion{{Key: first.Key, RequestID: "r2", Outcome: fuchsiapitch.OutcomeNotRun}}})
		assertKeyState(t, d.Lookup(startTime, first.Key, 1), InProgress)
	})
	t.Run("a key is kept for its retention by the timestamps of the log", func(t *testing.T) {
		for age, want := range map[time.Duration]KeyState{KeyRetention: OutcomeUnknown, KeyRetention + time.Second: Free} {
			d := New()
			d.Apply(shard, Batch{Claims: []Claim{first}})
			d.Apply(shard, Batch{Claims: []Claim{newClaimInSameShard(first.Key, startTime.Add(age))}})
			assertKeyState(t, d.Lookup(startTime.Add(age), first.Key, 1), want)
		}
	})
	t.Run("a claim with an old stamp is void", func(t *testing.T) {
		d := New()
		d.Apply(shard, Batch{Claims: []Claim{newClaimInSameShard(first.Key, startTime.Add(2*maxClaimLag)), first}})
		assertKeyState(t, d.Lookup(startTime, first.Key, 1), Free)
	})
	t.Run("stored responses are bounded and keys are kept", func(t *testing.T) {
		d := New()
		body := make([]byte, 64<<10)
		for i := range 200 {
			c := newClaim(fmt.Sprint(i), fuchsiapitch.RequestID(fmt.Sprint("r", i)), startTime)
			d.Apply(c.Key.Shard(), Batch{Claims: []Claim{c}})
			d.CompleteLocal(Completion{Key: c.Key, RequestID: c.RequestID, Outcome: fuchsiapitch.OutcomeSucceeded, Response: &Response{Body: body}})
		}
		kept := 0
		for i := range 200 {
			switch d.Lookup(startTime, NewKey("family", "mostrador", fmt.Sprint(i)), 1).State {
			case ResponseStored:
				kept += len(body)
			case OutcomeUnknown:
			default:
				t.Errorf("key %d is no longer stored", i)
			}
		}
		if kept > ShardCount*maxResponseBytesPerShard {
			t.Errorf("got %d bytes of responses, want at most %d", kept, ShardCount*maxResponseBytesPerShard)
		}
	})
	t.Run("too many keys are refused, not forgotten", func(t *testing.T) {
		d := New()
		for i := range ShardCount * maxKeysPerShard * 2 {
			c := newClaim(fmt.Sprint(i), "r", startTime)
			if d.Lookup(startTime, c.Key, 1).State == Free {
				d.Apply(c.Key.Shard(), Batch{Claims: []Claim{c}})
			}
		}
		if got := d.KeyCount(); got != ShardCount*maxKeysPerShard {
			t.Errorf("got %d keys, want %d", got, ShardCount*maxKeysPerShard)
		}
		assertKeyState(t, d.Lookup(startTime, NewKey("family", "mostrador", "0"), 1), InProgress)
	})
}

// newClaimInSameShard returns a claim of another key in the shard of a key.
func newClaimInSameShard(key Key, claimedAt time.Time) Claim {
	for i := 0; ; i++ {
		if c := newClaim(fmt.Sprint("sibling", i), "r9", claimedAt); c.Key.Shard() == key.Shard() {
			return c
		}
	}
}

func TestOutbox(t *testing.T) {
	claim := newClaim("k", "r1", startTime)
	shard := claim.Key.Shard()
	requireAppend := func(t *testing.T, o *Outbox, now time.Duration) Append {
		t.Helper()
		appends := o.DueAppends(now, 1)
		if len(appends) != 1 {
			t.Fatalf("got %d appends, want 1", len(appends))
		}
		return appends[0]
	}
	t.Run("a record whose answer was lost is never held for lost later", func(t *testing.T) {
		o := &Outbox{}
		o.QueueClaim(claim)
		a := requireAppend(t, o, 0)
		o.HandleAppendResult(0, shard, a.RecordID, MaybeAppended)
		again := requireAppend(t, o, appendRetryDelay)
		if again.RecordID != a.RecordID {
			t.Errorf("got record %s, want %s", again.RecordID, a.RecordID)
		}
		if got := o.HandleAppendResult(appendRetryDelay, shard, a.RecordID, NotAppended); len(got) != 0 {
			t.Errorf("got claims %v reported as not appended, which may be in the log", got)
		}
		o.ConfirmRecord(shard, a.RecordID)
		if o.PendingCount() != 0 {
			t.Errorf("got %d pending after the record was applied", o.PendingCount())
		}
	})
	t.Run("completions survive a log outage", func(t *testing.T) {
		o := &Outbox{}
		o.QueueCompletion(Completion{Key: claim.Key, RequestID: "r1", Outcome: fuchsiapitch.OutcomeSucceeded})
		a := requireAppend(t, o, 0)
		o.HandleAppendResult(0, shard, a.RecordID, NotAppended)
		if a = requireAppend(t, o, appendRetryDelay); len(a.Batch.Completions) != 1 {
			t.Errorf("got %v, want the completion to be retried", a.Batch)
		}
	})
	t.Run("a host keeps to its share of the log", func(t *testing.T) {
		o := &Outbox{}
		appends := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			o.QueueClaim(claim)
			for _, a := range o.DueAppends(now, 8) {
				appends++
				o.HandleAppendResult(now, a.Shard, a.RecordID, Appended)
			}
		}
		if limit := int(10*time.Second/(8*appendInterval)) + appendBurst + 1; appends > limit || appends < limit/2 {
			t.Errorf("got %d appends in 10 s, want about %d", appends, limit)
		}
	})
}
