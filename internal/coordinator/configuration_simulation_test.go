package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// simulatedArrivalInterval is the mean time between two requests.
	simulatedArrivalInterval = 40 * time.Millisecond
	// simulatedBodyTime is the longest time from the match of a request to its arrival at
	// the coordinator.
	simulatedBodyTime = 300 * time.Millisecond
	// simulatedWarmUpTime is the time after which the simulated groups are open.
	simulatedWarmUpTime = 12 * time.Second
)

// simulatedServices are the plain services of a simulation with requests.
var simulatedServices = []fuchsiapitch.ServiceName{"app", "desk"}

// simulatedRequest is one request of a simulation with requests.
type simulatedRequest struct {
	arrival RequestArrived
	// decidedAt is when the request was granted a slot or refused, 0 for not yet. server
	// is where it runs since then, "" if it was refused.
	decidedAt time.Duration
	server    fuchsiapitch.ServerID
	// endsAt is when its response is complete.
	endsAt time.Duration
}

// simulatedTraffic sends requests to the first coordinator of a simulation while its
// configuration changes.
type simulatedTraffic struct {
	*simulation
	requests   map[Ticket]*simulatedRequest
	lastTicket Ticket
	version    int64
	// configured are the services of the configuration in force.
	configured []fuchsiapitch.ServiceName
	// lastBytes are the times of the last bytes of the servers.
	lastBytes map[fuchsiapitch.ServerID]time.Duration
	// refusals counts the refusals of requests whose service is configured, revocations
	// the slots that were revoked, and served the complete responses.
	refusals, revocations, served int
}

// newSimulatedTraffic returns a simulation whose groups are open, and whose plain servers
// have the given number of slots.
func newSimulatedTraffic(t *testing.T, seed uint64, plainSlots int) *simulatedTraffic {
	t.Helper()
	st := &simulatedTraffic{simulation: newSimulation(seed), requests: make(map[Ticket]*simulatedRequest), lastBytes: make(map[fuchsiapitch.ServerID]time.Duration)}
	for _, s := range simulatedServices {
		for n := range 2 {
			id := fmt.Sprintf("%s%d", s, n)
			st.plainServers = append(st.plainServers, fuchsiapitch.ServerReport{ID: fuchsiapitch.ServerID(id), Service: s, Address: id, Slots: plainSlots})
		}
	}
	st.onEffect = st.record
	st.lastByteTimes = func() map[fuchsiapitch.ServerID]time.Duration { return st.lastBytes }
	st.startController()
	st.configure(append(slices.Clone(simulatedServices), "llm"), 26)
	st.run(simulatedWarmUpTime)
	if got, want := st.countOpenGroups(), 4; got != want {
		t.Fatalf("got %d open groups, want %d", got, want)
	}
	return st
}

// configure puts a configuration with the given services in force.
func (st *simulatedTraffic) configure(services []fuchsiapitch.ServiceName, slots int) {
	st.version++
	st.configured = services
	var profiles []fuchsiapitch.ServiceProfile
	for _, s := range services {
		profile := fuchsiapitch.ServiceProfile{Name: s}
		if s == "llm" {
			engine, _ := newDefaultRoutes().Service("llm")
			profile = engine
			profile.Engine.Slots = slots
		}
		profiles = append(profiles, profile)
	}
	st.apply(0, ConfigurationChanged{Routes: fuchsiapitch.NewRouteTable(st.version, nil, profiles, nil, false, fuchsiapitch.ClientLimits{})})
}

// changeConfiguration puts a random configuration or random limits in force.
func (st *simulatedTraffic) changeConfiguration() {
	if st.rng.IntN(5) == 0 {
		st.apply(0, LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: time.Duration(5+st.rng.IntN(10)) * time.Second})
		return
	}
	var services []fuchsiapitch.ServiceName
	for _, s := range append(slices.Clone(simulatedServices), "llm") {
		if st.rng.IntN(3) > 0 {
			services = append(services, s)
		}
	}
	st.configure(services, 20+st.rng.IntN(10))
}

// send matches a request by the configuration in force. It arrives at the coordinator
// once its body has been read.
func (st *simulatedTraffic) send() {
	if len(st.configured) == 0 {
		return
	}
	st.lastTicket++
	service := st.configured[st.rng.IntN(len(st.configured))]
	deadline := st.now + time.Duration(600+st.rng.IntN(7400))*time.Millisecond
	e := RequestArrived{Ticket: st.lastTicket, Service: service, FirstByteBy: st.now + 300*time.Millisecond, Deadline: deadline}
	if service == "llm" {
		e.Model, e.InputTokens, e.MaxPause = []string{"large", "small"}[st.rng.IntN(2)], 200+st.rng.IntN(2000), 250*time.Millisecond
	}
	st.pendingCalls = append(st.pendingCalls, pendingCall{dueAt: st.now + time.Duration(st.rng.Int64N(int64(simulatedBodyTime))), coordinatorIndex: -1, run: func() {
		if st.now < e.Deadline {
			st.requests[e.Ticket] = &simulatedRequest{arrival: e}
			st.apply(0, e)
		}
	}})
}

// record processes the decisions of the coordinator.
func (st *simulatedTraffic) record(_ int, effect Effect) {
	switch e := effect.(type) {
	case Grant:
		if r, ok := st.decide(e.Ticket); ok {
			duration := time.Duration(20+st.rng.IntN(200)) * time.Millisecond
			if e.IsEngine {
				duration = time.Duration(300+st.rng.IntN(2000)) * time.Millisecond
			}
			r.server, r.endsAt = e.Server, st.now+duration
		}
	case Refuse:
		if r, ok := st.decide(e.Ticket); ok {
			delete(st.requests, e.Ticket)
			if slices.Contains(st.configured, r.arrival.Service) {
				st.refusals++
			}
		}
	case Revoke:
		st.revocations++
		if r, ok := st.requests[e.Ticket]; !ok || r.server == "" {
			st.violations = append(st.violations, fmt.Sprintf("slot of ticket %d, which does not run, is revoked at %s", e.Ticket, st.now))
		}
	}
}

// decide returns the request of a decision, which must be the first one.
func (st *simulatedTraffic) decide(t Ticket) (*simulatedRequest, bool) {
	r, ok := st.requests[t]
	if !ok || r.decidedAt > 0 {
		st.violations = append(st.violations, fmt.Sprintf("ticket %d is decided twice at %s", t, st.now))
		return nil, false
	}
	r.decidedAt = st.now
	return r, true
}

// sounds reports whether bytes of a server arrive.
func (st *simulatedTraffic) sounds(id fuchsiapitch.ServerID) bool {
	e, ok := st.engines[id]
	return !ok || st.isReachable(e) && st.now >= e.silentUntil
}

// advance advances the simulation by one step, and then the requests.
func (st *simulatedTraffic) advance() {
	st.step()
	for _, t := range sortedKeys(st.requests) {
		r, ok := st.requests[t]
		switch {
		case !ok: // It was refused when another one ended.
		case r.decidedAt == 0 && st.now > r.arrival.Deadline+simulatedTickInterval:
			st.violations = append(st.violations, fmt.Sprintf("ticket %d for %s waits since %s beyond its deadline at %s", t, r.arrival.Service, r.arrival.Deadline, st.now))
			delete(st.requests, t)
		case r.decidedAt == 0:
		case st.sounds(r.server) && st.now >= r.endsAt:
			st.served++
			delete(st.requests, t)
			st.apply(0, TicketReleased{Ticket: t})
		case st.now >= r.arrival.Deadline:
			delete(st.requests, t)
			st.apply(0, TicketReleased{Ticket: t, Failed: true})
		case st.sounds(r.server):
			st.lastBytes[r.server] = st.now
			st.apply(0, ResponseStarted{Ticket: t})
		}
	}
}

// isolateEngine makes one engine unreachable or silent, or restarts it.
func (st *simulatedTraffic) isolateEngine() {
	e := st.engines[st.engineOrder[st.rng.IntN(len(st.engineOrder))]]
	switch st.rng.IntN(4) {
	case 0:
		e.isolatedUntil = st.now + time.Duration(st.rng.Int64N(int64(5*time.Second)))
	case 1:
		e.unreachableUntil = st.now + time.Duration(st.rng.Int64N(int64(3*time.Second)))
	case 2:
		st.restart(e)
	case 3:
		e.silentUntil = st.now + time.Duration(st.rng.Int64N(int64(5*time.Second)))
	}
}

// runTraffic sends requests and changes the configuration for a duration. If withFaults is
// true, engines become unreachable or restart meanwhile.
func (st *simulatedTraffic) runTraffic(d time.Duration, withFaults bool) {
	nextChange, nextFault := st.now, st.now
	for end := st.now + d; st.now < end && len(st.violations) == 0; {
		if st.rng.Int64N(int64(simulatedArrivalInterval/simulationStep)) == 0 {
			st.send()
		}
		if st.now >= nextChange {
			nextChange = st.now + time.Duration(20+st.rng.IntN(600))*time.Millisecond
			st.changeConfiguration()
		}
		if withFaults && st.now >= nextFault {
			nextFault = st.now + time.Duration(st.rng.IntN(2000))*time.Millisecond
			st.isolateEngine()
		}
		st.advance()
	}
}

// Guards against a request that gets neither a slot nor a refusal, or two decisions, while
// configurations remove, add and change services in quick succession. Without faults, no
// request of a configured service is refused and no slot is revoked.
func TestRequestsDuringConfigurationChanges(t *testing.T) {
	for seed := range seedCount(t) / 5 {
		for _, withFaults := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, faults %v", seed, withFaults), func(t *testing.T) {
				slots := 6
				if withFaults {
					slots = 1 // Requests wait.
				}
				st := newSimulatedTraffic(t, seed, slots)
				st.runTraffic(30*time.Second, withFaults)
				for end := st.now + 9*time.Second; st.now < end; {
					st.advance()
				}
				assertNoViolations(t, st.simulation)
				if got, want := len(st.requests), 0; got != want {
					t.Errorf("got %d requests in progress at the end, want %d", got, want)
				}
				if withFaults {
					return
				}
				if got, want := st.refusals, 0; got != want {
					t.Errorf("got %d refusals of requests whose service is configured, want %d", got, want)
				}
				if got, want := st.revocations, 0; got != want {
					t.Errorf("got %d slots revoked, want %d", got, want)
				}
				if got := st.served; got == 0 {
					t.Error("got no request served, want some")
				}
			})
		}
	}
}
