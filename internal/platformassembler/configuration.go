package platformassembler

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// catchUpPeriod is how long after its start, or after the store has gone back, a host
	// takes a later configuration from other hosts than the store shows. The operator writes
	// it again within seconds.
	catchUpPeriod = 10 * time.Second
	// catchUpInterval is the time between two comparisons with the other hosts. A host that
	// is behind in two of them in a row fetches the state of another one.
	catchUpInterval = 500 * time.Millisecond
)

// Sources of a configuration, in metrics and log lines.
const (
	storeSource = "store"
	hostSource  = "host"
)

// configurationVersion returns the version of the configuration in force, 0 for none.
func (h *Host) configurationVersion() float64 {
	if t := h.relayer.Routes(); t != nil {
		return float64(t.Version())
	}
	return 0
}

// applyOperatorTopic processes what was read of the operator's topic.
func (h *Host) applyOperatorTopic(u tracker.Update) {
	h.applyEvacuations(u)
	for _, r := range u.Records {
		if r.Key == platform.ConfigurationKey && !r.IsTombstone() {
			h.applyConfiguration(r.Value, storeSource)
		}
	}
}

// applyConfiguration puts a configuration into force unless it is invalid or not newer
// than the current one.
func (h *Host) applyConfiguration(value []byte, source string) {
	table, err := platform.DecodeConfiguration(value)
	switch {
	case err != nil:
		h.meter.CountConfiguration(source, "invalid")
		h.log.Error().Err(err).Str("source", source).Msg("ignoring invalid configuration")
	case h.configure(table, value):
		h.meter.CountConfiguration(source, "in-force")
		h.log.Info().Int64("version", table.Version()).Str("source", source).Msg("configuration is in force")
	default:
		h.meter.CountConfiguration(source, "not-newer")
	}
}

// configure puts a configuration into force, in the relayer, in the coordinator and in the
// state for other hosts, unless it is not newer than the current one. It reports whether it
// is in force now. The mutex keeps the three in step when two sources deliver at once.
func (h *Host) configure(table *fuchsiapitch.RouteTable, value []byte) bool {
	h.stateMutex.Lock()
	defer h.stateMutex.Unlock()
	if !h.relayer.Configure(table) {
		return false
	}
	h.state.Configuration = value
	h.driver.Apply(coordinator.ConfigurationChanged{Routes: table})
	return true
}

// configurationLag measures for how long other live hosts have had a later configuration. It is
// safe for concurrent use.
type configurationLag struct {
	mutex sync.Mutex
	// since is the zero time if no host has a later one.
	since time.Time
}

// observe records whether another live host has a later configuration, and returns for how long
// that has been so.
func (l *configurationLag) observe(now time.Time, isBehind bool) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case !isBehind:
		l.since = time.Time{}
		return 0
	case l.since.IsZero():
		l.since = now
	}
	return now.Sub(l.since)
}

// duration returns the lag that was observed last.
func (l *configurationLag) duration(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.since.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}

// catchUp compares the configuration with those of the other hosts. While the store may have gone
// back, it takes a later one from the host that has it.
func (h *Host) catchUp(ctx context.Context) error {
	wasBehind := false
	for ctx.Err() == nil {
		select {
		case <-time.After(catchUpInterval):
		case <-ctx.Done():
			continue
		}
		peer, isBehind := h.findLaterConfiguration()
		lag := h.configurationLag.observe(time.Now(), isBehind)
		if isBehind && wasBehind {
			h.logLag(peer, lag)
			if h.era.isCatchingUp() {
				if err := h.fetchState(ctx, peer.Address); err != nil {
					h.log.Info().Err(err).Msg("failed to fetch the state of another host")
				}
			}
		}
		wasBehind = isBehind
	}
	return ctx.Err()
}

// findLaterConfiguration returns a live host with the latest configuration, and whether that is
// later than the one of this host. It returns false if this host has none.
func (h *Host) findLaterConfiguration() (coordinator.PeerView, bool) {
	routes := h.relayer.Routes()
	if routes == nil {
		return coordinator.PeerView{}, false
	}
	peer, ok := pickStateSource(h.driver.View().Peers)
	return peer, ok && peer.ConfigurationVersion > routes.Version()
}

// logLag logs that another host has a later configuration, and what this host gets from the store.
func (h *Host) logLag(peer coordinator.PeerView, lag time.Duration) {
	status := h.configurationTracker.Status()
	h.log.Warn().Float64("version", h.configurationVersion()).Int64("later-version", peer.ConfigurationVersion).Str("peer", string(peer.ID)).
		Int64("lag-ms", lag.Milliseconds()).Int64("since-answer-ms", status.SinceAnswer.Milliseconds()).Int("failed-reads", status.FailedReads).
		Msg("another host has a later configuration")
}
