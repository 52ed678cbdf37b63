package meter

import (
	"fmt"
	"time"
)

// Granted counts a place that was given to a request, and the wait for it.
func (m *Meter) Granted(wait time.Duration) {
	m.set.GetOrCreateHistogram("fuchsiapitch_queue_wait_seconds").Update(wait.Seconds())
}

// RefusedPlace counts a request that got no place.
func (m *Meter) RefusedPlace(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_place_refusals_total{reason=%q}", reason)).Inc()
}

// Withdrawn counts a place whose group was taken apart.
func (m *Meter) Withdrawn() { m.set.GetOrCreateCounter("fuchsiapitch_withdrawn_places_total").Inc() }

// Attempted counts a request sent to a server.
func (m *Meter) Attempted(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_attempts_total{outcome=%q}", outcome)).Inc()
}

// Ordered counts an order to a server.
func (m *Meter) Ordered(kind, answer string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_orders_total{order=%q,answer=%q}", kind, answer)).Inc()
}

// Reported counts a question for a server's report.
func (m *Meter) Reported(answered bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_reports_total{answered=\"%t\"}", answered)).Inc()
}

// Formed records the time from the plan of a group to its opening.
func (m *Meter) Formed(took time.Duration) {
	m.set.GetOrCreateHistogram("fuchsiapitch_formation_seconds").Update(took.Seconds())
}

// Detected records the silence of a group until it was taken apart.
func (m *Meter) Detected(silence time.Duration) {
	m.set.GetOrCreateHistogram("fuchsiapitch_detection_seconds").Update(silence.Seconds())
}

// StoreCalled counts a read of the platform's store.
func (m *Meter) StoreCalled(topic string, failed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_store_reads_total{topic=%q,failed=\"%t\"}", topic, failed)).Inc()
}

// Running states the requests in flight at the host.
func (m *Meter) Running(count func() float64) {
	m.set.NewGauge("fuchsiapitch_requests_in_flight", count)
}

// Versioned states the version of the configuration in force.
func (m *Meter) Versioned(version func() float64) {
	m.set.NewGauge("fuchsiapitch_configuration_version", version)
}
