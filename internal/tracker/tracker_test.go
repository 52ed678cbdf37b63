package tracker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// scriptedStore returns the next of its responses for each call of Read. Once they are
// used up, reads block until their context ends.
type scriptedStore struct {
	responses         []func(ctx context.Context) (platform.Page, error)
	newestCalls       int
	nextResponseIndex int
}

func (s *scriptedStore) Newest(context.Context, string) (platform.Page, error) {
	s.newestCalls++
	return platform.Page{Records: []platform.Record{{Key: "k", Value: []byte("v")}}, NextOffset: int64(10 * s.newestCalls)}, nil
}

func (s *scriptedStore) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Page, error) {
	if s.nextResponseIndex >= len(s.responses) {
		<-ctx.Done()
		return platform.Page{}, ctx.Err()
	}
	s.nextResponseIndex++
	return s.responses[s.nextResponseIndex-1](ctx)
}

func blockUntilDone(ctx context.Context) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

// runTracker runs a tracker for a duration, calls duringRun once the tracker has been
// started, and returns the numbers of snapshots and of failed reads.
func runTracker(t *testing.T, store *scriptedStore, d time.Duration, duringRun func(*Tracker)) (snapshots, failures int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		tr := New(store, "t", func(u Update) {
			if u.IsSnapshot {
				snapshots++
			}
		}, WithLongPoll(15*time.Second), WithErrorHandler(func(error) { failures++ }))
		serveResult := make(chan error, 1)
		go func() { serveResult <- tr.Serve(ctx) }()
		duringRun(tr)
		<-serveResult
	})
	return snapshots, failures
}

// After a read from an offset that the store no longer retains, the tracker reads a
// new snapshot.
func TestExpiredOffsetReadsNewSnapshot(t *testing.T) {
	s := &scriptedStore{responses: []func(context.Context) (platform.Page, error){
		func(context.Context) (platform.Page, error) { return platform.Page{}, &platform.OffsetExpiredError{} },
	}}
	if got, _ := runTracker(t, s, time.Second, func(*Tracker) {}); got != 2 {
		t.Errorf("got %d snapshots, want 2", got)
	}
}

// A read to which the store never responds times out and is reported as failed.
func TestReadWithoutResponseTimesOut(t *testing.T) {
	s := &scriptedStore{responses: []func(context.Context) (platform.Page, error){blockUntilDone, blockUntilDone}}
	if _, got := runTracker(t, s, 20*time.Second, func(*Tracker) {}); got == 0 {
		t.Error("got no failed read, want a time-out of the read to which the store does not respond")
	}
}

// Resync cancels a read that hangs, and the tracker reads a new snapshot without
// reporting a failure.
func TestResyncCancelsRead(t *testing.T) {
	s := &scriptedStore{responses: []func(context.Context) (platform.Page, error){blockUntilDone, blockUntilDone}}
	got, failures := runTracker(t, s, 2*time.Second, func(tr *Tracker) {
		time.Sleep(time.Second)
		tr.Resync()
	})
	if got != 2 || failures > 1 {
		t.Errorf("got %d snapshots and %d failures, want 2 snapshots and at most 1 failure, at the end of the run", got, failures)
	}
}
