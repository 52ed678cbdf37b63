package tracker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// delayedStore answers each call after a delay on top of its wait, or never if the delay is negative.
type delayedStore struct {
	// poll is the delay of the long polls, secondCall that of reads without a wait.
	poll, secondCall time.Duration
}

func (delayedStore) Newest(context.Context, string) (platform.Page, error) {
	return platform.Page{NextOffset: 1}, nil
}

func (s delayedStore) Read(ctx context.Context, _ string, from int64, wait time.Duration) (platform.Page, error) {
	delay := s.poll
	if wait == 0 {
		delay = s.secondCall
	}
	if delay < 0 {
		return blockUntilDone(ctx)
	}
	select {
	case <-time.After(wait + delay):
		return platform.Page{Records: []platform.Record{{Key: "k", Value: []byte("v"), Offset: from}}, NextOffset: from + 1, End: from + 1}, nil
	case <-ctx.Done():
		return platform.Page{}, ctx.Err()
	}
}

// pollResult is what a tracker did with one long poll. The times are since its start, and 0 for none.
type pollResult struct {
	recordAfter, silentBefore time.Duration
	secondCalls, failures     int
}

// pollOnce runs a tracker until it has delivered the record of its first long poll.
func pollOnce(t *testing.T, s delayedStore, wait time.Duration) (r pollResult) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	startedAt := time.Now()
	tr := New(s, "t", func(u Update) {
		if len(u.Records) > 0 {
			r.recordAfter = time.Since(startedAt)
			cancel()
		}
	}, WithLongPoll(wait), WithErrorHandler(func(error) { r.failures++ }), WithSecondCallHandler(func() { r.secondCalls++ }),
		WithSilentConnectionHandler(func(before time.Time) { r.silentBefore = before.Sub(startedAt) }))
	if err := tr.Serve(ctx); ctx.Err() == nil {
		t.Errorf("tracker ended: %v", err)
	}
	return r
}

// Guards against news that come seconds late because a long poll hangs on a connection that delivers
// nothing any more, and against responses of a slow store that are given up or asked for twice.
func TestSilentLongPollIsDoubled(t *testing.T) {
	const wait = 3 * time.Second
	tests := map[string]struct {
		store delayedStore
		want  pollResult
	}{
		"connection silent": {
			store: delayedStore{poll: -1},
			want:  pollResult{recordAfter: wait + pollSilenceTimeout, silentBefore: wait + pollSilenceTimeout, secondCalls: 1},
		},
		"store slow": {
			store: delayedStore{poll: pollSilenceTimeout - time.Millisecond},
			want:  pollResult{recordAfter: wait + pollSilenceTimeout - time.Millisecond},
		},
		"store slower than the second call": {
			store: delayedStore{poll: pollSilenceTimeout + 600*time.Millisecond, secondCall: 900 * time.Millisecond},
			want:  pollResult{recordAfter: wait + pollSilenceTimeout + 600*time.Millisecond, secondCalls: 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := pollOnce(t, tt.store, wait); got != tt.want {
					t.Errorf("got %+v, want %+v", got, tt.want)
				}
			})
		})
	}
}

// pollRefusingStore answers reads without a wait and refuses all others.
type pollRefusingStore struct{ delayedStore }

func (s pollRefusingStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error) {
	if wait > 0 {
		return platform.Page{}, &platform.StatusError{Action: "read", Status: 503}
	}
	return s.delayedStore.Read(ctx, topic, from, wait)
}

// Guards against news that never come because the store refuses long polls, although it answers other
// reads.
func TestReadAfterRefusedLongPollDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		records := 0
		tr := New(pollRefusingStore{}, "t", func(u Update) { records += len(u.Records) }, WithLongPoll(3*time.Second))
		if err := tr.Serve(ctx); ctx.Err() == nil {
			t.Errorf("tracker ended: %v", err)
		}
		if want := 5; records < want {
			t.Errorf("got %d records in 10s, want at least %d", records, want)
		}
	})
}
