package relayer

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of a new duration in the moving averages,
	// deviationFactor the number of deviations by which the estimate exceeds the mean: the
	// values of RFC 6298 for round trips.
	meanWeight, deviationWeight = 1.0 / 8, 1.0 / 4
	deviationFactor             = 4
	// maxEstimatedRoutes bounds the routes whose durations are remembered.
	maxEstimatedRoutes = 4096
)

// durationEstimator estimates how long the requests on a route last, from those that have
// been served.
type durationEstimator struct {
	mutex  sync.Mutex
	routes map[string]*durationEstimate
}

// durationEstimate holds the moving averages of the durations on a route and of their
// absolute deviation from the mean.
type durationEstimate struct{ mean, deviation time.Duration }

// record adds the duration of a request that was served.
func (d *durationEstimator) record(route string, duration time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e, ok := d.routes[route]
	if !ok {
		if d.routes == nil || len(d.routes) >= maxEstimatedRoutes {
			d.routes = make(map[string]*durationEstimate)
		}
		d.routes[route] = &durationEstimate{mean: duration, deviation: duration / 2}
		return
	}
	difference := duration - e.mean
	e.deviation += time.Duration(deviationWeight * float64(difference.Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(difference))
}

// estimate returns the time in which nearly all requests on a route end. It is false if no
// request on it has been served.
func (d *durationEstimator) estimate(route string) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	e, ok := d.routes[route]
	if !ok {
		return 0, false
	}
	return e.mean + deviationFactor*e.deviation, true
}
