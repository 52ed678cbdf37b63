// Package rebalancer shifts shares of the servers between the models of one service after a shift of
// demand that lasts. It is pure: it reads no clock.
//
// Each model has a configured share. A group that moves to another model serves nobody while its
// requests end and its servers load, and bursts are shorter than that. So a share moves only after
// one model has lacked room, and another has had it to spare, for longer than any burst and several times
// as long as the change takes; and after a move both rest, so that groups do not go back and forth.
package rebalancer

import "time"

const (
	// memory is the time constant of the averages of pressure.
	memory = 1500 * time.Millisecond
	// lackingPressure is the average pressure from which on a model lacks room, sparePressure the one up
	// to which another has room to spare once it has given up a group.
	lackingPressure, sparePressure = 0.85, 0.65
	// minLasting is the shortest time for which a shift must have lasted. It exceeds the bursts of
	// three to six seconds that callers name.
	minLasting = 8 * time.Second
	// changesPaidFor is how many times as long as one change a shift must have lasted: one that has
	// lasted so long is expected to last as long again.
	changesPaidFor = 2
	// rest is the time after a move in which no other is made.
	rest = 20 * time.Second
)

// Pool describes the groups of one model. It is a plain record.
type Pool struct {
	Model string
	// Servers is the number of servers in its groups, GroupSize that in each of them.
	Servers, GroupSize int
	// Pressure is the demand divided by what the open groups take at once. 0 for no demand.
	Pressure float64
	// ChangeTime is how long servers of another model take until a group of this one serves.
	ChangeTime time.Duration
}

// Move is a shift of a share from one model to another. It is a plain record.
type Move struct{ From, To string }

// Rebalancer holds the averages and shifts of one service. The zero value is ready for use. It is not
// safe for concurrent use.
type Rebalancer struct {
	averages   map[string]float64
	observedAt time.Duration
	// pending is the move that the averages call for since pendingSince.
	pending      Move
	pendingSince time.Duration
	// shifts are what has been added to the shares of the models.
	shifts  map[string]float64
	movedAt time.Duration
}

// Share returns the share of a model with the given configured share.
func (r *Rebalancer) Share(model string, configured float64) float64 {
	return max(0, configured+r.shifts[model])
}

// Observe records the state of all models. It reports whether it has shifted a share, and how.
func (r *Rebalancer) Observe(now time.Duration, pools []Pool) (Move, bool) {
	r.average(now, pools)
	from, to, ok := r.choose(pools)
	move := Move{From: from.Model, To: to.Model}
	switch {
	case !ok:
		r.pending = Move{}
		return Move{}, false
	case move != r.pending:
		r.pending, r.pendingSince = move, now
		return Move{}, false
	case now-r.pendingSince < max(minLasting, changesPaidFor*to.ChangeTime), r.movedAt > 0 && now-r.movedAt < rest:
		return Move{}, false
	}
	servers := 0
	for _, p := range pools {
		servers += p.Servers
	}
	share := float64(from.GroupSize) / float64(servers)
	if r.shifts == nil {
		r.shifts = make(map[string]float64)
	}
	r.shifts[from.Model] -= share
	r.shifts[to.Model] += share
	r.pending, r.movedAt = Move{}, now
	return move, true
}

// average updates the averages. After a gap, such as another host's time as the controller, they start
// anew.
func (r *Rebalancer) average(now time.Duration, pools []Pool) {
	elapsed := now - r.observedAt
	if r.averages == nil || elapsed > memory {
		r.averages, r.pending = make(map[string]float64), Move{}
	}
	weight := min(1, float64(elapsed)/float64(memory))
	for _, p := range pools {
		if a, ok := r.averages[p.Model]; ok {
			r.averages[p.Model] = a + weight*(p.Pressure-a)
		} else {
			r.averages[p.Model] = p.Pressure
		}
	}
	r.observedAt = now
}

// choose returns the model that gives up a group and the one that gets its servers: the one that lacks the
// most room, and the one with the most to spare that can do without a group.
func (r *Rebalancer) choose(pools []Pool) (from, to Pool, ok bool) {
	lowest, highest := sparePressure, lackingPressure
	for _, p := range pools {
		pressure := r.averages[p.Model]
		if pressure >= highest {
			to, highest = p, pressure
		}
		if left := p.Servers - p.GroupSize; left > 0 && p.GroupSize > 0 {
			if after := pressure * float64(p.Servers) / float64(left); after < lowest {
				from, lowest = p, after
			}
		}
	}
	return from, to, from.Model != "" && to.Model != ""
}
