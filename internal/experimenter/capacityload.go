package experimenter

import (
	"fmt"
	"runtime"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

const (
	// capacityHeld is the number of requests held to measure the memory of one.
	capacityHeld = 900
	// capacityCycles is the number of requests served to measure the time of one.
	capacityCycles = 5000
	// capacityReplicas is the number of replicas of the host that is measured.
	capacityReplicas = 15
	// capacitySlots is the number of slots of each.
	capacitySlots = 64
)

// requestCost is what one request costs the reducer of the host that receives
// and dispatches it.
type requestCost struct {
	// processor is the time for the whole life of one request.
	processor time.Duration
	// heap is the memory of one held request in bytes.
	heap float64
}

// measureRequestCost drives a reducer through the lives of many requests.
func measureRequestCost() requestCost {
	s := newLoadedState()
	now := time.Duration(0)
	started := time.Now()
	for n := range capacityCycles {
		now += time.Millisecond
		serveOnce(s, now, n)
	}
	cost := requestCost{processor: time.Since(started) / capacityCycles}
	before := heapBytes()
	for n := range capacityHeld {
		s.Apply(capacityInstant(now), reducer.RequestReceived{Request: capacityRequest("held", n)})
	}
	cost.heap = grown(before) / capacityHeld
	runtime.KeepAlive(s)
	return cost
}

func newLoadedState() *reducer.State {
	s := reducer.New(fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "dc-1", 1))
	service := fuchsiapitch.NewService(capacityService, fuchsiapitch.ModelService, "chat", fuchsiapitch.WithConcurrency(capacitySlots))
	rank := fuchsiapitch.NewRank("chat", 0, time.Minute, time.Second, 1, 0)
	var replicas []fuchsiapitch.Replica
	for n := range capacityReplicas {
		id := fmt.Sprintf("group-%d", n)
		server := fuchsiapitch.NewBackendServer(fuchsiapitch.ServerID(id), fuchsiapitch.EngineServer, "127.0.0.1:2", "dc-1")
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(id), capacityService, server, capacitySlots, "1"))
	}
	s.Apply(capacityInstant(0), reducer.FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank}),
		Replicas:      replicas,
	})
	return s
}

func capacityInstant(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

func capacityRequest(name string, n int) fuchsiapitch.Request {
	id := fuchsiapitch.RequestID(fmt.Sprintf("%s-%d", name, n))
	return fuchsiapitch.NewRequest(id, capacityService, "glass", "chat", fuchsiapitch.WithTimeLimit(time.Hour),
		fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream(), fuchsiapitch.WithEstimatedCost(400, 2000), fuchsiapitch.WithPrefixHash(uint64(n)))
}

// serveOnce takes one request through its life: start, first token, four
// reports of progress and the end.
func serveOnce(s *reducer.State, now time.Duration, n int) {
	at, request := capacityInstant(now), capacityRequest("served", n)
	for _, e := range s.Apply(at, reducer.RequestReceived{Request: request}) {
		start, ok := e.(reducer.StartAttempt)
		if !ok {
			continue
		}
		s.Apply(at, reducer.AttemptResponseStarted{Request: request.ID(), Attempt: start.Attempt, Latency: time.Millisecond})
		for range 4 {
			s.Apply(at, reducer.AttemptProgressed{Request: request.ID(), Attempt: start.Attempt, Tokens: 10, Elapsed: 250 * time.Millisecond})
		}
		s.Apply(at, reducer.AttemptEnded{Request: request.ID(), Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded, Tokens: 40})
	}
}
