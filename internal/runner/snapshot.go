package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

const (
	// minFetchTimeout and maxFetchTimeout limit the time in which another host's
	// configuration has to arrive.
	minFetchTimeout = 2 * time.Second
	maxFetchTimeout = time.Minute
)

// fetchLimit allows one fetch of the configuration at a time, and adapts the time
// limit to the link: a time-out doubles it, and a snapshot sets it to twice the time
// that its fetch took. A short limit gives up a silent host early.
type fetchLimit struct {
	mutex   sync.Mutex
	running bool
	timeout time.Duration
}

// begin returns the time limit of a new fetch, or false if one is running.
func (l *fetchLimit) begin() (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.running {
		return 0, false
	}
	l.running = true
	return max(l.timeout, minFetchTimeout), true
}

// end ends a fetch that took a time.
func (l *fetchLimit) end(elapsed time.Duration, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running = false
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		l.timeout = min(max(2*elapsed, minFetchTimeout), maxFetchTimeout)
	}
}

// fetchConfiguration fetches the configuration changes since an offset from
// another entry host. It submits them as an event, with an empty snapshot if
// the fetch fails. It does nothing while another fetch runs, which a second one
// would only slow down; the reducer repeats a fetch that has not ended.
func (r *Runner) fetchConfiguration(ctx context.Context, e reducer.FetchConfiguration) {
	configurationFetched := reducer.ConfigurationFetched{Host: e.Host.ID()}
	if r.dependencies.SnapshotFetcher != nil {
		timeout, ok := r.fetchLimit.begin()
		if !ok {
			return
		}
		start := time.Now()
		snapshot, err := r.fetchSnapshot(ctx, e, timeout)
		r.fetchLimit.end(time.Since(start), err)
		if err != nil && ctx.Err() == nil {
			r.logger.Warn().Str("host", string(e.Host.ID())).Int64("limit-ms", timeout.Milliseconds()).Err(err).Msg("could not fetch configuration from host")
		}
		configurationFetched.Snapshot = snapshot
	}
	r.Submit(ctx, configurationFetched)
}

// fetchSnapshot fetches a snapshot within a time limit. Its error is a
// context.DeadlineExceeded if the time is over.
func (r *Runner) fetchSnapshot(ctx context.Context, e reducer.FetchConfiguration, timeout time.Duration) (configurer.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	snapshot, err := r.dependencies.SnapshotFetcher.FetchSnapshot(ctx, e.Host, e.Since)
	if err == nil {
		return snapshot, nil
	}
	if ctx.Err() != nil {
		return configurer.Snapshot{}, ctx.Err()
	}
	return configurer.Snapshot{}, err
}
