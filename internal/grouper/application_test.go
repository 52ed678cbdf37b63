package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func TestApplicationReplicas(t *testing.T) {
	newDesk := func() *Grouper {
		g := New(fuchsiapitch.NewHost("a", "", "dc", 1))
		s := fuchsiapitch.NewService("desk", fuchsiapitch.ApplicationService, "counter")
		g.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{s}, nil, nil))
		server := func(id fuchsiapitch.ServerID, options ...fuchsiapitch.BackendServerOption) fuchsiapitch.BackendServer {
			options = append(options, fuchsiapitch.WithService("desk"))
			return fuchsiapitch.NewBackendServer(id, fuchsiapitch.ApplicationServer, "", "dc", options...)
		}
		g.List([]fuchsiapitch.BackendServer{server("d1"), server("d2"), server("d3", fuchsiapitch.WithLeaving())})
		return g
	}
	assertReplicas := func(t *testing.T, g *Grouper, now time.Duration, want ...fuchsiapitch.ReplicaID) {
		t.Helper()
		var got []fuchsiapitch.ReplicaID
		for _, r := range g.Replicas(instant(now, now)) {
			got = append(got, r.ID())
		}
		assertEqual(t, got, want, "replicas")
	}
	t.Run("a server that is to leave takes no requests", func(t *testing.T) {
		assertReplicas(t, newDesk(), 0, "d1", "d2")
	})
	t.Run("a server that cannot be reached is avoided for a while", func(t *testing.T) {
		g := newDesk()
		g.Avoid(instant(0, 0), "d1")
		assertReplicas(t, g, 0, "d2")
		assertReplicas(t, g, firstAvoidTime, "d1", "d2")
		g.Avoid(instant(firstAvoidTime, firstAvoidTime), "d1")
		assertReplicas(t, g, 2*firstAvoidTime, "d2")
		g.Trust("d1")
		assertReplicas(t, g, 2*firstAvoidTime, "d1", "d2")
	})
	t.Run("with no server reachable all are tried", func(t *testing.T) {
		g := newDesk()
		g.Avoid(instant(0, 0), "d1")
		g.Avoid(instant(0, 0), "d2")
		assertReplicas(t, g, 0, "d1", "d2")
	})
}
