package runner

import (
	"context"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// fetchTimeout bounds the wait for the configuration of another host.
const fetchTimeout = 2 * time.Second

// fetchState asks another entry host for its configuration and reports the
// empty state when there is no answer.
func (r *Runner) fetchState(ctx context.Context, e reducer.FetchConfiguration) {
	fetched := reducer.ConfigurationFetched{Host: e.Host.ID()}
	if r.outside.Snapshots != nil {
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		if snapshot, err := r.outside.Snapshots.FetchSnapshot(call, e.Host, e.Since); err == nil {
			fetched.Snapshot = snapshot
		}
	}
	r.Submit(ctx, fetched)
}
