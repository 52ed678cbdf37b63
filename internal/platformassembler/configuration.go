package platformassembler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// catchUpInterval is the time between two comparisons with the other hosts. A host that
	// is behind in two of them in a row may take the configuration of another one.
	catchUpInterval = 500 * time.Millisecond
	// catchUpPeriod is how long after its start, or after the store has gone back, a host takes
	// a later configuration from other hosts although the store answers. The operator writes it
	// again within seconds.
	catchUpPeriod = 10 * time.Second
	// silentReadPatience is how long a host that is behind waits for a read of the store that is
	// silent. It covers the transfer of a large configuration to the hosts that are served before.
	silentReadPatience = 1500 * time.Millisecond
	// configurationPath is the path at which other hosts get the configuration alone.
	configurationPath = "/configuration"
	// maxConfigurationTransfers bounds the hosts to which this one sends its configuration at the
	// same time, so that they do not fill its link. The others ask again.
	maxConfigurationTransfers = 4
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

// configurationLag measures for how long other live hosts have had a later configuration while that of
// this host has not changed. It is safe for concurrent use.
type configurationLag struct {
	mutex sync.Mutex
	// since is the zero time if no host has a later one, version that of this host.
	since   time.Time
	version int64
}

// observe records the version of this host and whether another live host has a later one, and returns
// for how long that has been so.
func (l *configurationLag) observe(now time.Time, version int64, isBehind bool) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	hasChanged := version != l.version
	l.version = version
	switch {
	case !isBehind:
		l.since = time.Time{}
		return 0
	case hasChanged || l.since.IsZero():
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

// catchUp compares the configuration with those of the other hosts, and takes a later one from a
// host that has it if the store does not deliver it: the store may refuse this host, be silent, or
// have gone back.
func (h *Host) catchUp(ctx context.Context) error {
	wasBehind := false
	for ctx.Err() == nil {
		select {
		case <-time.After(catchUpInterval):
		case <-ctx.Done():
			continue
		}
		peer, isBehind := h.findLaterConfiguration()
		lag := h.configurationLag.observe(time.Now(), int64(h.configurationVersion()), isBehind)
		if lag > 0 {
			h.logLag(peer, lag)
		}
		if isBehind && wasBehind && h.shouldFollowPeer(lag) {
			if err := h.fetchConfiguration(ctx, peer.Address); err != nil {
				h.log.Info().Err(err).Msg("failed to fetch the configuration of another host")
			}
		}
		wasBehind = isBehind
	}
	return ctx.Err()
}

// shouldFollowPeer reports whether this host, which is behind others, takes their configuration. It
// does not while no read has failed and its own one may deliver the configuration soon: the response
// is arriving, or a store that serves many hosts has not got to it.
func (h *Host) shouldFollowPeer(lag time.Duration) bool {
	status := h.configurationTracker.Status()
	hasFailed := status.FailedReads > 0 || h.serverListReadFailedAt.Load() != nil && h.driver.NeedsServerList()
	return hasFailed || !status.IsReceiving && (h.era.isCatchingUp() || lag >= silentReadPatience)
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

// serveConfiguration sends the configuration in force to another host. It responds with 503 if there
// is none, or while it sends it to others.
func (h *Host) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	defer h.configurationTransfers.Add(-1)
	if h.configurationTransfers.Add(1) > maxConfigurationTransfers {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.stateMutex.Lock()
	value := h.state.Configuration
	h.stateMutex.Unlock()
	if len(value) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	if err := writeWithDeadline(w, value); err != nil {
		h.log.Info().Err(err).Msg("another host did not receive the configuration")
	}
}

// fetchConfiguration applies the configuration of another host.
func (h *Host) fetchConfiguration(ctx context.Context, address string) error {
	value, err := h.requestFromPeer(ctx, address, configurationPath)
	if err != nil {
		return err
	}
	h.applyConfiguration(value, hostSource)
	return nil
}
