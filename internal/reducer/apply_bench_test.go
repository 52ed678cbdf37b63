package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// BenchmarkApply measures the time per event while 100 and 4000 requests are
// queued.
func BenchmarkApply(b *testing.B) {
	for _, queuedCount := range []int{100, 4000} {
		b.Run(fmt.Sprintf("%d-waiting", queuedCount), func(b *testing.B) {
			s := New(self)
			service := fuchsiapitch.NewService("vidrio-llm", fuchsiapitch.ModelService, "kiln")
			ranks := []fuchsiapitch.Rank{fuchsiapitch.NewRank("kiln", 0, 0, 0, 1, 0)}
			server := fuchsiapitch.NewBackendServer("s1", fuchsiapitch.EngineServer, "127.0.0.1:2", "gt-xela")
			s.Apply(at(0), FleetOverridden{
				Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, ranks),
				Replicas:      []fuchsiapitch.Replica{fuchsiapitch.NewReplica("g1", "vidrio-llm", server, 1, "1")},
			})
			now := time.Duration(1)
			receive := func(n int) []Effect {
				return s.Apply(at(now), RequestReceived{Request: newKilnRequest(fuchsiapitch.RequestID(fmt.Sprintf("k%06d", n)))})
			}
			running, _ := receive(0)[0].(StartAttempt)
			for n := range queuedCount {
				receive(n + 1)
			}
			b.ResetTimer()
			for n := range b.N {
				now += time.Millisecond
				receive(queuedCount + n + 1)
				effects := s.Apply(at(now), AttemptEnded{Request: running.Request, Attempt: running.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded, TokensDelivered: 1})
				running, _ = effects[len(effects)-1].(StartAttempt)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/2, "ns/event")
		})
	}
}
