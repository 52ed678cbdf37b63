package platformassembler

import (
	"fmt"
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fuchsiapitch/fuchsiapitch/internal/apportioner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// poolStatus says what the replicas that serve the same requests can begin in time, and which
// part of the requests is admitted.
type poolStatus struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	// Rate and Demand are requests per second at all hosts.
	Rate         float64 `json:"rate"`
	Demand       float64 `json:"demand"`
	Slots        int     `json:"slots"`
	InFlight     int     `json:"in-flight"`
	Planned      float64 `json:"planned-in-flight"`
	ReadShare    float64 `json:"read-share"`
	FirstEventMS int64   `json:"first-event-ms"`
	ObjectiveMS  int64   `json:"objective-ms"`
	// Admitted are the admitted parts by rank; absent if all requests are admitted.
	Admitted map[string]admittedStatus `json:"admitted,omitempty"`
}

type admittedStatus struct {
	New      float64 `json:"new"`
	Returned float64 `json:"returned"`
}

// customerStatus is a customer that sends more than its usual, in requests per second.
type customerStatus struct {
	Key   string  `json:"key"`
	Rate  float64 `json:"rate"`
	Usual float64 `json:"usual"`
}

func encodePools(pools []coordinator.PoolView) []poolStatus {
	encoded := make([]poolStatus, 0, len(pools))
	for _, p := range pools {
		s := p.State
		status := poolStatus{
			Service: string(p.Service), Model: p.Model, Rate: s.Rate, Demand: s.Demand, Slots: s.Load.Slots, InFlight: s.Load.InFlight, Planned: s.Planned,
			ReadShare: s.ReadShare, FirstEventMS: s.FirstEvent.Milliseconds(), ObjectiveMS: s.Objective.Milliseconds(),
		}
		for rank, share := range s.Shares {
			if status.Admitted == nil {
				status.Admitted = make(map[string]admittedStatus)
			}
			status.Admitted[strconv.Itoa(rank)] = admittedStatus{New: share.New, Returned: share.Returned}
		}
		encoded = append(encoded, status)
	}
	return encoded
}

func encodeExcess(customers []apportioner.Excess) []customerStatus {
	encoded := make([]customerStatus, 0, len(customers))
	for _, c := range customers {
		encoded = append(encoded, customerStatus{Key: fmt.Sprintf("%08x", uint32(c.Customer)), Rate: c.Rate, Usual: c.Usual})
	}
	return encoded
}

// writePoolMetrics writes the metrics of admission.
func writePoolMetrics(w io.Writer, v coordinator.View) {
	for _, p := range v.Pools {
		labels := fmt.Sprintf("{service=%q,model=%q}", p.Service, p.Model)
		metrics.WriteGaugeFloat64(w, "fuchsiapitch_pool_rate"+labels, p.State.Rate)
		metrics.WriteGaugeFloat64(w, "fuchsiapitch_pool_demand"+labels, p.State.Demand)
		metrics.WriteGaugeFloat64(w, "fuchsiapitch_pool_first_event_seconds"+labels, p.State.FirstEvent.Seconds())
		overloaded := uint64(0)
		if len(p.State.Shares) > 0 {
			overloaded = 1
		}
		metrics.WriteGaugeUint64(w, "fuchsiapitch_pool_overloaded"+labels, overloaded)
	}
	metrics.WriteGaugeUint64(w, "fuchsiapitch_customers_over_usual", uint64(len(v.ExcessCustomers)))
}
