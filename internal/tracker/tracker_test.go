package tracker

import (
	"bytes"
	"context"
	"encoding/base64"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/pipe"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// scriptedStore returns the next of its responses for each call of Read. Once they are
// used up, reads block until their context ends.
type scriptedStore struct {
	responses         []func(ctx context.Context) (platform.Page, error)
	newestCalls       atomic.Int64
	nextResponseIndex atomic.Int64
}

func (s *scriptedStore) Newest(context.Context, string) (platform.Page, error) {
	return platform.Page{Records: []platform.Record{{Key: "k", Value: []byte("v")}}, NextOffset: 10 * s.newestCalls.Add(1)}, nil
}

func (s *scriptedStore) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Page, error) {
	n := int(s.nextResponseIndex.Add(1))
	if n > len(s.responses) {
		<-ctx.Done()
		return platform.Page{}, ctx.Err()
	}
	return s.responses[n-1](ctx)
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

// Pattern: a host becomes a relay, which reads the servers topic again after a while in which thousands of records
// were appended, more than one page holds. It must be up to date at once, not one interval later for
// each page.
func TestPagesBehindTheEndAreReadWithoutPause(t *testing.T) {
	const pages, interval = 5, 800 * time.Millisecond
	var readAt []time.Duration
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		s := &scriptedStore{}
		for n := range pages {
			s.responses = append(s.responses, func(context.Context) (platform.Page, error) {
				readAt = append(readAt, time.Since(startedAt))
				return platform.Page{NextOffset: int64(10 + 100*(n+1)), End: 10 + 100*pages}, nil
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		serveResult := make(chan error, 1)
		go func() {
			serveResult <- New(s, "t", func(Update) {}, WithInterval(interval)).Serve(ctx)
		}()
		<-serveResult
	})
	if got, want := len(readAt), pages; got != want {
		t.Fatalf("got %d pages read, want %d", got, want)
	}
	if got, want := readAt[pages-1]-readAt[0], time.Duration(0); got != want {
		t.Errorf("got the last page %v after the first, want %v", got, want)
	}
}

// A store that states an end which it does not deliver is not read without pause.
func TestReadsWithoutProgressPause(t *testing.T) {
	reads := 0
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedStore{}
		for range 1000 {
			s.responses = append(s.responses, func(context.Context) (platform.Page, error) {
				reads++
				return platform.Page{NextOffset: 10, End: 99}, nil
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		serveResult := make(chan error, 1)
		go func() { serveResult <- New(s, "t", func(Update) {}, WithInterval(time.Second)).Serve(ctx) }()
		<-serveResult
	})
	if got, want := reads, 10; got > want {
		t.Errorf("got %d reads in 10 s, want at most %d", got, want)
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

// newestFunc is a store whose snapshots are read by a function. Its long polls never return.
type newestFunc func(ctx context.Context, call int) (platform.Page, error)

// countingStore counts the calls of a newestFunc.
type countingStore struct {
	newest newestFunc
	calls  atomic.Int64
}

func (s *countingStore) Newest(ctx context.Context, _ string) (platform.Page, error) {
	return s.newest(ctx, int(s.calls.Add(1)))
}

func (s *countingStore) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (platform.Page, error) {
	return blockUntilDone(ctx)
}

// Guards against a host that waits for a snapshot on a connection that no longer delivers
// data, although a resync says that the store can be read.
func TestResyncCancelsSilentSnapshot(t *testing.T) {
	s := &countingStore{newest: func(ctx context.Context, call int) (platform.Page, error) {
		if call == 1 {
			return blockUntilDone(ctx)
		}
		return platform.Page{}, nil
	}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		updated := make(chan time.Time, 10)
		tr := New(s, "t", func(Update) { updated <- time.Now() }, WithLongPoll(time.Minute))
		serveResult := make(chan error, 1)
		go func() { serveResult <- tr.Serve(ctx) }()
		time.Sleep(100 * time.Millisecond)
		resyncAt := time.Now()
		tr.Resync()
		if got := (<-updated).Sub(resyncAt); got != resyncTimeout {
			t.Errorf("got an update %s after the resync, want after %s", got, resyncTimeout)
		}
		cancel()
		<-serveResult
	})
}

// Guards against reads that are cancelled again and again while a store that serves many
// hosts needs longer than resyncTimeout until the first byte.
func TestResyncCancelsNoTwoReadsInARow(t *testing.T) {
	s := &countingStore{newest: func(ctx context.Context, _ int) (platform.Page, error) {
		select {
		case <-time.After(resyncTimeout + 100*time.Millisecond):
			return platform.Page{}, nil
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		updates := 0
		tr := New(s, "t", func(Update) { updates++ }, WithLongPoll(time.Minute))
		serveResult := make(chan error, 1)
		go func() { serveResult <- tr.Serve(ctx) }()
		for ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
			tr.Resync()
		}
		<-serveResult
		if updates == 0 {
			t.Errorf("got no update after %d reads within 3s, want one by the second read", s.calls.Load())
		}
	})
}

// Guards against hosts that read a configuration a second time, because they are told of
// it while they put it into force.
func TestResyncBetweenReadsReadsNothingAgain(t *testing.T) {
	s := &countingStore{newest: func(context.Context, int) (platform.Page, error) { return platform.Page{}, nil }}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		tr := New(s, "t", func(Update) { time.Sleep(50 * time.Millisecond) }, WithLongPoll(time.Minute))
		serveResult := make(chan error, 1)
		go func() { serveResult <- tr.Serve(ctx) }()
		time.Sleep(20 * time.Millisecond)
		tr.Resync()
		<-serveResult
		if got := s.calls.Load(); got != 1 {
			t.Errorf("got %d snapshots, want 1", got)
		}
	})
}

// The read handler learns of a read that a resync cancelled.
func TestReadHandlerLearnsOfRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPipeClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/log-newest" {
				w.Write([]byte(`{"items":[],"end":1}`))
				return
			}
			<-r.Context().Done()
		}))
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		var results []ReadResult
		tr := New(client, "t", func(Update) {}, WithLongPoll(time.Minute), WithReadHandler(func(r ReadResult) { results = append(results, r) }))
		serveResult := make(chan error, 1)
		go func() { serveResult <- tr.Serve(ctx) }()
		time.Sleep(time.Second)
		tr.Resync()
		<-serveResult
		if len(results) < 3 || results[0].Bytes != 20 || results[0].Err != nil || !results[1].Restarted || results[2].Err != nil {
			t.Errorf("got reads %+v, want one of 20 bytes, one that was restarted and one that succeeded", results)
		}
	})
}

// slowStore is the handler of a store whose responses have the given size and are sent
// in chunks, one in each interval.
type slowStore struct {
	chunks   int
	interval time.Duration
}

func (s *slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/log-newest" {
		<-r.Context().Done()
		return
	}
	value := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{'v'}, s.chunks<<10))
	body := []byte(`{"items":[{"key":"k","value":"` + value + `","offset":0}],"end":1}`)
	pipe.WriteSlowly(w, body, s.chunks, s.interval)
}

// newPipeClient returns a client of a store that is served over in-memory connections
// until the test ends.
func newPipeClient(t *testing.T, handler http.Handler) *platform.StoreClient {
	t.Helper()
	transport, stop := pipe.Serve(handler)
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Errorf("got error %v at shutdown, want none", err)
		}
	})
	return platform.NewStoreClient("store", transport)
}

// Guards against hosts that respond with 404 on new routes, because each heartbeat with a
// later version makes them restart the read of a large configuration.
func TestResyncDoesNotRestartReadInProgress(t *testing.T) {
	const resyncInterval = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		client := newPipeClient(t, &slowStore{chunks: 60, interval: 10 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		updates := 0
		tr := New(client, "t", func(Update) { updates++ }, WithLongPoll(5*time.Second))
		serveResult := make(chan error, 1)
		go func() { serveResult <- tr.Serve(ctx) }()
		for ctx.Err() == nil {
			time.Sleep(resyncInterval)
			tr.Resync()
		}
		<-serveResult
		if updates == 0 {
			t.Errorf("got no update within 3s, want one after each response of 600ms")
		}
	})
}

// A response that takes long to transfer is not cut off while its bytes arrive.
func TestSlowTransferDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newPipeClient(t, &slowStore{chunks: 60, interval: 50 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		updates := 0
		tr := New(client, "t", func(Update) { updates++ }, WithLongPoll(5*time.Second))
		serveResult := make(chan error, 1)
		go func() { serveResult <- tr.Serve(ctx) }()
		<-serveResult
		if updates == 0 {
			t.Errorf("got no update within 10s, want one after the response of 3s")
		}
	})
}

// Guards against a host that goes on with an old configuration, because its long poll hangs on a
// connection that delivers nothing any more although new connections do.
func TestReconnectRepeatsSilentLongPoll(t *testing.T) {
	tests := map[string]struct {
		before    time.Duration
		wantPolls int
	}{
		"a poll from before the failure": {before: time.Second, wantPolls: 2},
		"a poll that started after it":   {before: 0, wantPolls: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var polls atomic.Int64
			poll := func(ctx context.Context) (platform.Page, error) {
				polls.Add(1)
				return blockUntilDone(ctx)
			}
			s := &scriptedStore{responses: []func(context.Context) (platform.Page, error){poll, poll, poll}}
			snapshots, failures := runTracker(t, s, 1200*time.Millisecond, func(tr *Tracker) {
				startedAt := time.Now()
				time.Sleep(time.Second)
				tr.Reconnect(startedAt.Add(tt.before))
			})
			if got := int(polls.Load()); got != tt.wantPolls || snapshots != 1 || failures > 1 {
				t.Errorf("got %d polls, %d snapshots and %d failures, want %d polls, 1 snapshot and at most 1 failure, at the end of the run", got, snapshots, failures, tt.wantPolls)
			}
		})
	}
}
