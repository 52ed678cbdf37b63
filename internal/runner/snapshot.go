package runner

import (
	"context"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// configurationFetchTimeout limits the wait for another host's configuration.
const configurationFetchTimeout = 2 * time.Second

// fetchConfiguration fetches the configuration changes since an offset from
// another entry host. It submits them as an event, with an empty snapshot if
// the fetch fails.
func (r *Runner) fetchConfiguration(ctx context.Context, e reducer.FetchConfiguration) {
	configurationFetched := reducer.ConfigurationFetched{Host: e.Host.ID()}
	if r.dependencies.SnapshotFetcher != nil {
		timeoutContext, cancel := context.WithTimeout(ctx, configurationFetchTimeout)
		defer cancel()
		if snapshot, err := r.dependencies.SnapshotFetcher.FetchSnapshot(timeoutContext, e.Host, e.Since); err == nil {
			configurationFetched.Snapshot = snapshot
		}
	}
	r.Submit(ctx, configurationFetched)
}
