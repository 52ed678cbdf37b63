package experimenter

import (
	"fmt"
	"runtime"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

const (
	// heldRequestCount is the number of concurrent requests that are held to
	// measure the memory of one.
	heldRequestCount = 900
	// servedRequestCount is the number of requests that are served to measure
	// the processor time of one.
	servedRequestCount = 5000
	// measuredReplicaCount is the number of replicas of the measured host.
	measuredReplicaCount = 15
	// slotsPerReplica is the concurrency of each replica.
	slotsPerReplica = 64
)

// requestCost is the cost of one request to the reducer of a host that both
// receives and dispatches it.
type requestCost struct {
	// processorTime is the processor time of a request from arrival to end.
	processorTime time.Duration
	// heldHeapBytes is the heap memory of one held request.
	heldHeapBytes float64
}

// measureReducerCost serves many requests one after another to measure the
// processor time of one, and then holds many at once to measure the memory of
// one.
func measureReducerCost() requestCost {
	s := newStateWithReplicas()
	now := time.Duration(0)
	started := time.Now()
	for n := range servedRequestCount {
		now += time.Millisecond
		serveRequest(s, now, n)
	}
	cost := requestCost{processorTime: time.Since(started) / servedRequestCount}
	before := liveHeapBytes()
	for n := range heldRequestCount {
		s.Apply(instantAt(now), reducer.RequestReceived{Request: newRequest("held", n)})
	}
	cost.heldHeapBytes = heapGrowth(before) / heldRequestCount
	runtime.KeepAlive(s)
	return cost
}

func newStateWithReplicas() *reducer.State {
	s := reducer.New(fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "dc-1", 1))
	service := fuchsiapitch.NewService(capacityService, fuchsiapitch.ModelService, "chat", fuchsiapitch.WithConcurrency(slotsPerReplica))
	rank := fuchsiapitch.NewRank("chat", 0, time.Minute, time.Second, 1, 0)
	var replicas []fuchsiapitch.Replica
	for n := range measuredReplicaCount {
		id := fmt.Sprintf("group-%d", n)
		server := fuchsiapitch.NewBackendServer(fuchsiapitch.ServerID(id), fuchsiapitch.EngineServer, "127.0.0.1:2", "dc-1")
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(id), capacityService, server, slotsPerReplica, "1"))
	}
	s.Apply(instantAt(0), reducer.FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank}),
		Replicas:      replicas,
	})
	return s
}

func instantAt(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

func newRequest(name string, n int) fuchsiapitch.Request {
	id := fuchsiapitch.RequestID(fmt.Sprintf("%s-%d", name, n))
	return fuchsiapitch.NewRequest(id, capacityService, "glass", "chat", fuchsiapitch.WithTimeLimit(time.Hour),
		fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream(), fuchsiapitch.WithEstimatedCost(400, 2000), fuchsiapitch.WithPrefixHash(uint64(n)))
}

// serveRequest drives one request through its lifecycle: arrival, start of the
// response, four progress reports and end.
func serveRequest(s *reducer.State, now time.Duration, n int) {
	at, request := instantAt(now), newRequest("served", n)
	for _, e := range s.Apply(at, reducer.RequestReceived{Request: request}) {
		start, ok := e.(reducer.StartAttempt)
		if !ok {
			continue
		}
		s.Apply(at, reducer.AttemptResponseStarted{Request: request.ID(), Attempt: start.Attempt, Latency: time.Millisecond})
		for range 4 {
			s.Apply(at, reducer.AttemptProgressed{Request: request.ID(), Attempt: start.Attempt, NewTokens: 10, Elapsed: 250 * time.Millisecond})
		}
		s.Apply(at, reducer.AttemptEnded{Request: request.ID(), Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded, TokensDelivered: 40})
	}
}
