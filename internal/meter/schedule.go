package meter

import (
	"fmt"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// CountPreemption counts a stream that was preempted to free capacity and queued again.
func (m *Meter) CountPreemption() { m.set.GetOrCreateCounter("fuchsiapitch_preemptions_total").Inc() }

// CountRefusal counts a request that was refused without being run. It is called on
// the host that refused it.
func (m *Meter) CountRefusal(reason fuchsiapitch.RefusalReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("fuchsiapitch_refusals_total{reason=%q}", reason)).Inc()
}

// SetDispatcherGauges sets the gauges of a service at the dispatcher of this host: the
// numbers of its slots, of its running and queued requests, and of its stragglers,
// which are replicas much slower than the others.
func (m *Meter) SetDispatcherGauges(service fuchsiapitch.ServiceName, slots, inFlight, queued, stragglers int) {
	for name, value := range map[string]int{
		"slots": slots, "in_flight": inFlight, "queued": queued, "stragglers": stragglers,
	} {
		m.set.GetOrCreateGauge(fmt.Sprintf("fuchsiapitch_dispatcher_%s{service=%q}", name, service), nil).Set(float64(value))
	}
}
