package runner

import (
	"context"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// configurationFetchTimeout limits the wait for another host's configuration.
const configurationFetchTimeout = 2 * time.Second

// fetchConfiguration asks another entry host for its configuration changes
// since an offset. It submits an event with an empty snapshot when the request
// fails.
func (r *Runner) fetchConfiguration(ctx context.Context, e reducer.FetchConfiguration) {
	fetched := reducer.ConfigurationFetched{Host: e.Host.ID()}
	if r.dependencies.ConfigurationSource != nil {
		timeoutContext, cancel := context.WithTimeout(ctx, configurationFetchTimeout)
		defer cancel()
		if snapshot, err := r.dependencies.ConfigurationSource.FetchSnapshot(timeoutContext, e.Host, e.Since); err == nil {
			fetched.Snapshot = snapshot
		}
	}
	r.Submit(ctx, fetched)
}
