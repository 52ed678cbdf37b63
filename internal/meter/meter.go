// Package meter holds the metrics of an entry host for its Prometheus endpoint.
package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Meter is the set of metrics of one entry host.
type Meter struct {
	set *metrics.Set
}

// New returns an empty set of metrics.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Set returns the underlying set, to which other packages add gauges.
func (m *Meter) Set() *metrics.Set { return m.set }

// Write writes the metrics of the host and of the process in the Prometheus text
// format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// ReducerSeconds returns the total time in seconds that the reducer has spent on
// applying events.
func (m *Meter) ReducerSeconds() float64 {
	return m.set.GetOrCreateFloatCounter("fuchsiapitch_event_seconds_total").Get()
}

// ObserveReducerEvent counts an event and adds the time that the reducer spent on it.
func (m *Meter) ObserveReducerEvent(duration time.Duration) {
	m.set.GetOrCreateCounter("fuchsiapitch_events_total").Inc()
	m.set.GetOrCreateFloatCounter("fuchsiapitch_event_seconds_total").Add(duration.Seconds())
}

// CountInvariantViolation counts a violation of an invariant.
func (m *Meter) CountInvariantViolation(invariant string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_invariant_violations_total{invariant=%q}", invariant)).Inc()
}

// CountRequest counts a finished request at the host that received it.
func (m *Meter) CountRequest(service fuchsiapitch.ServiceName, rank fuchsiapitch.RankName, outcome fuchsiapitch.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_requests_total{service=%q,rank=%q,outcome=%q}", service, rank, outcome)).Inc()
}

// ObserveFirstToken records the time from the receipt of a request to the first token
// or to the first bytes of another response.
func (m *Meter) ObserveFirstToken(service fuchsiapitch.ServiceName, rank fuchsiapitch.RankName, latency time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("fuchsiapitch_first_token_seconds{service=%q,rank=%q}", service, rank)).Update(latency.Seconds())
}

// TokenCounter returns the counter of the tokens that a service has sent to clients.
func (m *Meter) TokenCounter(service fuchsiapitch.ServiceName) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_tokens_total{service=%q}", service))
}
