package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func TestApplicationReplicas(t *testing.T) {
	newGrouper := func() *Grouper {
		g := New(fuchsiapitch.NewHost("a", "", "dc", 1))
		s := fuchsiapitch.NewService("desk", fuchsiapitch.ApplicationService, "counter")
		g.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{s}, nil, nil))
		server := func(id fuchsiapitch.ServerID, options ...fuchsiapitch.BackendServerOption) fuchsiapitch.BackendServer {
			options = append(options, fuchsiapitch.WithApplicationService("desk"))
			return fuchsiapitch.NewBackendServer(id, fuchsiapitch.ApplicationServer, "", "dc", options...)
		}
		g.ServersListed([]fuchsiapitch.BackendServer{server("d1"), server("d2"), server("d3", fuchsiapitch.WithServerLeaving())})
		return g
	}
	assertReplicas := func(t *testing.T, g *Grouper, now time.Duration, want ...fuchsiapitch.ReplicaID) {
		t.Helper()
		var got []fuchsiapitch.ReplicaID
		for _, r := range g.RoutableReplicas(newInstant(now, now)) {
			got = append(got, r.ID())
		}
		assertEqual(t, got, want, "replicas")
	}
	t.Run("a server that is to leave takes no requests", func(t *testing.T) {
		assertReplicas(t, newGrouper(), 0, "d1", "d2")
	})
	t.Run("a server that cannot be reached is avoided for a while", func(t *testing.T) {
		g := newGrouper()
		g.ApplicationUnreachable(newInstant(0, 0), "d1")
		assertReplicas(t, g, 0, "d2")
		assertReplicas(t, g, initialUnreachableBackoff, "d1", "d2")
		g.ApplicationUnreachable(newInstant(initialUnreachableBackoff, initialUnreachableBackoff), "d1")
		assertReplicas(t, g, 2*initialUnreachableBackoff, "d2")
		g.ApplicationAnswered("d1")
		assertReplicas(t, g, 2*initialUnreachableBackoff, "d1", "d2")
	})
	t.Run("with no server reachable all are tried", func(t *testing.T) {
		g := newGrouper()
		g.ApplicationUnreachable(newInstant(0, 0), "d1")
		g.ApplicationUnreachable(newInstant(0, 0), "d2")
		assertReplicas(t, g, 0, "d1", "d2")
	})
}
