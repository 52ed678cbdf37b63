// Package meter counts what an entry host does, for the metrics endpoint.
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

// Set returns the underlying set, for gauges of other packages.
func (m *Meter) Set() *metrics.Set { return m.set }

// WriteTo writes the metrics in the text format of Prometheus.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// EventSeconds returns the time that the reducer has taken so far.
func (m *Meter) EventSeconds() float64 {
	return m.set.GetOrCreateFloatCounter("fuchsiapitch_event_seconds_total").Get()
}

// Applied counts an event and the time that the reducer took for it.
func (m *Meter) Applied(d time.Duration) {
	m.set.GetOrCreateCounter("fuchsiapitch_events_total").Inc()
	m.set.GetOrCreateFloatCounter("fuchsiapitch_event_seconds_total").Add(d.Seconds())
}

// Violated counts a violated invariant.
func (m *Meter) Violated(invariant string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_invariant_violations_total{invariant=%q}", invariant)).Inc()
}

// Ended counts the end of a request at the host that received it.
func (m *Meter) Ended(service fuchsiapitch.ServiceName, rank fuchsiapitch.RankName, outcome fuchsiapitch.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_requests_total{service=%q,rank=%q,outcome=%q}", service, rank, outcome)).Inc()
}

// FirstToken records the time from receipt to the first token or answer.
func (m *Meter) FirstToken(service fuchsiapitch.ServiceName, rank fuchsiapitch.RankName, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("fuchsiapitch_first_token_seconds{service=%q,rank=%q}", service, rank)).Update(d.Seconds())
}

// Tokens returns the counter of the tokens of a service given to callers.
func (m *Meter) Tokens(service fuchsiapitch.ServiceName) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_tokens_total{service=%q}", service))
}
