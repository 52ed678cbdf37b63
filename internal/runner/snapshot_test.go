package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// repeatInterval is the time after which the reducer repeats a fetch that has not ended.
const repeatInterval = 3 * time.Second

// slowFetcher transfers each snapshot in a fixed time, divided among the transfers that
// run at once.
type slowFetcher struct {
	transferTime   time.Duration
	running, calls atomic.Int64
	maxRunning     atomic.Int64
}

func (f *slowFetcher) FetchSnapshot(ctx context.Context, _ fuchsiapitch.Host, _ fuchsiapitch.Offset) (configurer.Snapshot, error) {
	const step = 100 * time.Millisecond
	f.calls.Add(1)
	f.maxRunning.Store(max(f.maxRunning.Load(), f.running.Add(1)))
	defer f.running.Add(-1)
	for done := time.Duration(0); done < f.transferTime; done += step / time.Duration(f.running.Load()) {
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return configurer.Snapshot{}, ctx.Err()
		}
	}
	return configurer.Snapshot{Offset: 7}, nil
}

// fetchRepeatedly fetches as the reducer does until a snapshot arrives, at most for a
// time limit. It returns the time until then.
func fetchRepeatedly(ctx context.Context, r *Runner, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		r.execute(ctx, reducer.FetchConfiguration{Host: fuchsiapitch.NewHost("h2", "", "dc-a", 0)})
		select {
		case e := <-r.queue:
			if e.event.(reducer.ConfigurationFetched).Snapshot.Offset > 0 {
				return time.Since(start), true
			}
		case <-time.After(repeatInterval):
		}
	}
	return limit, false
}

// A snapshot that takes longer than the first time limit is fetched in the end, and
// the repeated fetches are not themselves the load that delays it.
func TestSlowSnapshotIsFetched(t *testing.T) {
	for _, transferTime := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(transferTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &slowFetcher{transferTime: transferTime}
				r := New(nil, Dependencies{SnapshotFetcher: f})
				ctx, cancel := context.WithCancel(t.Context())
				defer r.workers.wait()
				defer cancel()
				elapsed, fetched := fetchRepeatedly(ctx, r, 5*time.Minute)
				if !fetched || elapsed > 5*transferTime {
					t.Errorf("got snapshot %v after %v and %d fetches, want it within %v", fetched, elapsed, f.calls.Load(), 5*transferTime)
				}
				if got := f.maxRunning.Load(); got != 1 {
					t.Errorf("got %d fetches at once, want 1", got)
				}
			})
		})
	}
}

// A host that does not respond does not delay the fetch from another one for longer
// than the first time limit.
func TestSilentHostIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &slowFetcher{transferTime: time.Hour}
		r := New(nil, Dependencies{SnapshotFetcher: f})
		ctx, cancel := context.WithCancel(t.Context())
		defer r.workers.wait()
		defer cancel()
		start := time.Now()
		r.execute(ctx, reducer.FetchConfiguration{})
		e := (<-r.queue).event.(reducer.ConfigurationFetched)
		if got, want := time.Since(start), minFetchTimeout; got != want || e.Snapshot.Offset != 0 {
			t.Errorf("got offset %d after %v, want 0 after %v", e.Snapshot.Offset, got, want)
		}
	})
}
