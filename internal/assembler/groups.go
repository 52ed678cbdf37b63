package assembler

import (
	"context"

	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// updateGroupMetrics sets the metrics of the groups from the state. It leaves them
// unchanged when the state cannot be read within inspectTimeout.
func (e *EntryHost) updateGroupMetrics(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	counters := make(chan grouper.Counters, 1)
	if e.runner.Inspect(ctx, func(s *reducer.State) { counters <- s.GroupCounters() }) != nil {
		return
	}
	c := <-counters
	set := e.meter.Set()
	set.GetOrCreateFloatCounter("fuchsiapitch_group_downtime_seconds_total").Set(c.GroupDowntime.Seconds())
	set.GetOrCreateFloatCounter("fuchsiapitch_controller_terms_total").Set(float64(c.TermsHeld))
	set.GetOrCreateFloatCounter("fuchsiapitch_controller_orders_total").Set(float64(c.OrdersIssued))
	set.GetOrCreateGauge("fuchsiapitch_stranded_accelerators", nil).Set(float64(c.StrandedServers))
}
