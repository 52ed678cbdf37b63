package router

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const service = fuchsiapitch.ServiceName("redactor")

func instantAt(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

func newHosts(count int) []fuchsiapitch.Host {
	var hosts []fuchsiapitch.Host
	for n := range count {
		hosts = append(hosts, fuchsiapitch.NewHost(fuchsiapitch.HostID(fmt.Sprintf("host-%d", n)), "127.0.0.1:1", "cartago", 1))
	}
	return hosts
}

func newReplicas(count, slots int) []fuchsiapitch.Replica {
	var replicas []fuchsiapitch.Replica
	for n := range count {
		id := fuchsiapitch.ReplicaID(fmt.Sprintf("g%d", n))
		server := fuchsiapitch.NewBackendServer(fuchsiapitch.ServerID(id), fuchsiapitch.EngineServer, "127.0.0.1:2", "cartago")
		replicas = append(replicas, fuchsiapitch.NewReplica(id, service, server, slots, "1"))
	}
	return replicas
}

func newRequest(id int, prefix uint64) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(fuchsiapitch.RequestID(fmt.Sprint(id)), service, "iglesia", "counter", fuchsiapitch.WithPrefixHash(prefix))
}

func noLoad(fuchsiapitch.HostID) Load { return Load{} }

func choose(t *testing.T, table *RoutingTable, r fuchsiapitch.Request, excluded map[fuchsiapitch.HostID]bool, load func(fuchsiapitch.HostID) Load) fuchsiapitch.HostID {
	t.Helper()
	h, ok := table.Choose(r, excluded, load)
	if !ok {
		t.Fatal("got no dispatcher, want one")
	}
	return h.ID()
}

func TestChoose(t *testing.T) {
	table := NewRoutingTable(newHosts(6), newReplicas(30, 8), BoundedAffinity)
	t.Run("equal prefixes go to one dispatcher, and to a second one when it is overloaded", func(t *testing.T) {
		preferred := choose(t, table, newRequest(1, 42), nil, noLoad)
		if got := choose(t, table, newRequest(2, 42), nil, noLoad); got != preferred {
			t.Errorf("got %s, want %s again", got, preferred)
		}
		preferredOverloaded := func(h fuchsiapitch.HostID) Load {
			if h == preferred {
				return Load{Slots: 8, Requests: 80}
			}
			return Load{Slots: 8, Requests: 4}
		}
		second := choose(t, table, newRequest(3, 42), nil, preferredOverloaded)
		if second == preferred {
			t.Errorf("got the overloaded dispatcher %s, want another", second)
		}
		if got := choose(t, table, newRequest(4, 42), map[fuchsiapitch.HostID]bool{preferred: true}, noLoad); got != second {
			t.Errorf("got %s without %s, want %s", got, preferred, second)
		}
	})
	t.Run("prefixes are distributed in proportion to the slots", func(t *testing.T) {
		counts := make(map[fuchsiapitch.HostID]int)
		const requests = 20000
		for n := range requests {
			counts[choose(t, table, newRequest(n, uint64(n+1)*0x9e3779b97f4a7c15), nil, noLoad)]++
		}
		for _, h := range newHosts(6) {
			want := float64(requests*len(table.OwnedReplicas(h.ID()))) / 30
			if got := float64(counts[h.ID()]); math.Abs(got-want) > 0.15*want+50 {
				t.Errorf("got %.0f requests at %s, want about %.0f", got, h.ID(), want)
			}
		}
	})
	t.Run("a lost host moves only its own prefixes", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			hosts := newHosts(6)
			lost := hosts[rapid.IntRange(0, 5).Draw(t, "lost")].ID()
			r := newRequest(1, rapid.Uint64Min(1).Draw(t, "prefix"))
			before, _ := table.Choose(r, nil, noLoad)
			after, ok := table.Choose(r, map[fuchsiapitch.HostID]bool{lost: true}, noLoad)
			if !ok || after.ID() == lost || (before.ID() != lost && after.ID() != before.ID()) {
				t.Fatalf("got %s after the loss of %s, before %s", after.ID(), lost, before.ID())
			}
		})
	})
}

func TestOverflow(t *testing.T) {
	remoteHost := newHosts(1)[0]
	remotes := []RemoteDataCentre{{Host: remoteHost, Load: Load{Slots: 10, Requests: 1}}}
	aboveEnterLoad, betweenLoads, belowLeaveLoad := Load{Slots: 10, Requests: 20}, Load{Slots: 10, Requests: 12}, Load{Slots: 10, Requests: 5}
	assertOverflows := func(t *testing.T, o *Overflow, now time.Duration, local Load, remotes []RemoteDataCentre, want bool) {
		t.Helper()
		if _, got := o.ChooseRemote(instantAt(now), service, local, remotes); got != want {
			t.Errorf("got overflow %t at %v with %v, want %t", got, now, local, want)
		}
	}
	t.Run("it starts after a lasting load and ends after a lasting recovery", func(t *testing.T) {
		o := NewOverflow()
		assertOverflows(t, o, 0, aboveEnterLoad, remotes, false)
		assertOverflows(t, o, time.Second, betweenLoads, remotes, false)
		assertOverflows(t, o, 2*time.Second, aboveEnterLoad, remotes, false)
		assertOverflows(t, o, 3*time.Second, aboveEnterLoad, remotes, false)
		assertOverflows(t, o, 4*time.Second, aboveEnterLoad, remotes, true)
		assertOverflows(t, o, 5*time.Second, betweenLoads, remotes, true)
		assertOverflows(t, o, 6*time.Second, belowLeaveLoad, remotes, true)
		assertOverflows(t, o, 10*time.Second, belowLeaveLoad, remotes, true)
		assertOverflows(t, o, 11*time.Second, belowLeaveLoad, remotes, false)
		assertOverflows(t, o, 12*time.Second, betweenLoads, remotes, false)
	})
	t.Run("without local slots it starts at once", func(t *testing.T) {
		assertOverflows(t, NewOverflow(), 0, Load{}, remotes, true)
		assertOverflows(t, NewOverflow(), 0, Load{}, nil, false)
	})
	t.Run("a refusal past the target starts it at once", func(t *testing.T) {
		o := NewOverflow()
		o.RecordRefusal(instantAt(0), service)
		assertOverflows(t, o, time.Millisecond, betweenLoads, remotes, true)
	})
	t.Run("a loaded remote data centre gets no requests", func(t *testing.T) {
		o := NewOverflow()
		o.RecordRefusal(instantAt(0), service)
		loadedRemotes := []RemoteDataCentre{{Host: remoteHost, Load: Load{Slots: 10, Requests: 9}}}
		assertOverflows(t, o, time.Millisecond, aboveEnterLoad, loadedRemotes, false)
		if h, ok := o.ChooseAfterRefusal(loadedRemotes); ok {
			t.Errorf("got remote host %s, want none", h.ID())
		}
		if _, ok := o.ChooseAfterRefusal(remotes); !ok {
			t.Error("got no remote host, want that of the idle data centre")
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	table := NewRoutingTable(newHosts(58), newReplicas(110, 42), BoundedAffinity)
	for n := range b.N {
		table.Choose(newRequest(0, uint64(n)), nil, noLoad)
	}
}
