package meter

import (
	"fmt"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Preempted counts a stream that was stopped to make room and queued again.
func (m *Meter) Preempted() { m.set.GetOrCreateCounter("fuchsiapitch_preemptions_total").Inc() }

// Refused counts a request that was refused and not run, at the host that
// decided it.
func (m *Meter) Refused(reason fuchsiapitch.RefusalReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_refusals_total{reason=%q}", reason)).Inc()
}

// Scheduled sets the numbers of slots, running and waiting requests of a service
// and of its stragglers at the dispatcher of this host.
func (m *Meter) Scheduled(service fuchsiapitch.ServiceName, slots, inFlight, queued, stragglers int) {
	for name, value := range map[string]int{
		"slots": slots, "in_flight": inFlight, "queued": queued, "stragglers": stragglers,
	} {
		m.set.GetOrCreateGauge(fmt.Sprintf("fuchsiapitch_dispatcher_%s{service=%q}", name, service), nil).Set(float64(value))
	}
}
