package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const step = 100 * time.Millisecond

// desk is one grouper before a log and engines that answer at once.
type desk struct {
	*Grouper
	now     time.Duration
	stream  []Record
	engines map[fuchsiapitch.ServerID]*deskEngine
	given   []Give
	// withhold keeps what is appended from being read.
	withhold bool
}

// deskEngine is an engine that takes up every order.
type deskEngine struct {
	account fuchsiapitch.Account
	dead    bool
	running int
	refuses string
}

func newDesk(engines ...fuchsiapitch.ServerID) *desk {
	d := &desk{Grouper: New(fuchsiapitch.NewHost("a", "", "dc", 1)), engines: make(map[fuchsiapitch.ServerID]*deskEngine)}
	var servers []fuchsiapitch.BackendServer
	for _, id := range engines {
		d.engines[id] = &deskEngine{}
		servers = append(servers, fuchsiapitch.NewBackendServer(id, fuchsiapitch.EngineServer, "", "dc"))
	}
	d.List(servers)
	d.SetHosts([]fuchsiapitch.Host{fuchsiapitch.NewHost("a", "", "dc", 1)}, func(fuchsiapitch.ReplicaID) bool { return true })
	d.want("1")
	return d
}

func (d *desk) want(version string) { d.wantSize(version, 2) }

func (d *desk) wantSize(version string, size int) {
	s := fuchsiapitch.NewService("redactor", fuchsiapitch.ModelService, "counter",
		fuchsiapitch.WithModel("m", version), fuchsiapitch.WithReplicas(2, size))
	d.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{s}, nil, nil))
}

func (d *desk) run(duration time.Duration) {
	for end := d.now + duration; d.now < end; d.now += step {
		now := instant(d.now, d.now)
		d.Tick(now)
		a := d.Drain()
		for _, r := range a.Appends {
			d.stream = append(d.stream, r)
			d.AppendEnded(now, r.ID)
			if d.withhold {
				continue
			}
			d.Read(now, []Entry{{Offset: fuchsiapitch.Offset(len(d.stream)), Record: r}}, 0)
		}
		for _, b := range a.Probes {
			d.answer(now, b.ID())
		}
		for _, o := range a.Orders {
			d.take(now, o)
		}
	}
}

func (d *desk) answer(now fuchsiapitch.Instant, id fuchsiapitch.ServerID) {
	e := d.engines[id]
	if e.dead {
		d.Silence(now, id)
		return
	}
	a := e.account
	options := []fuchsiapitch.AccountOption{fuchsiapitch.WithLoad(e.running, 0)}
	if v := a.Assignment().Version(); v != "" && v != e.refuses {
		options = append(options, fuchsiapitch.WithReady())
	}
	d.Report(now, fuchsiapitch.NewAccount(id, 1, a.Fence(), a.Assignment(), options...))
}

func (d *desk) take(now fuchsiapitch.Instant, o Give) {
	d.given = append(d.given, o)
	id := o.Server.ID()
	d.engines[id].account = fuchsiapitch.NewAccount(id, 1, o.Order.Fence(), o.Order.Assignment())
	d.OrderEnded(now, id, o.Order.Fence(), nil)
}

func (d *desk) assertVersions(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for _, g := range d.Fold().Groups() {
		got = append(got, g.Version)
	}
	assertEqual(t, got, want, "versions")
}

func (d *desk) assertReplicas(t *testing.T, want int) {
	t.Helper()
	assertEqual(t, len(d.Replicas(instant(d.now, d.now))), want, "replicas")
}

func (d *desk) setRunning(n int) {
	for _, e := range d.engines {
		e.running = n
	}
}

func TestController(t *testing.T) {
	t.Run("forms the groups that the configuration wants", func(t *testing.T) {
		d := newDesk("s1", "s2", "s3", "s4", "s5")
		d.run(5 * time.Second)
		d.assertReplicas(t, 2)
		assertEqual(t, d.Status(instant(d.now, d.now)).Stranded, []Stranded{{Server: "s5", Reason: ReasonUnwanted}}, "stranded")
	})
	t.Run("gives no order before every account is read back", func(t *testing.T) {
		d := newDesk("s1", "s2", "s3", "s4")
		d.engines["s1"].dead = true
		d.run(500 * time.Millisecond)
		assertEqual(t, len(d.given), 0, "orders")
		d.run(5 * time.Second)
		assertEqual(t, len(d.given), 2, "orders after the silence of s1 is confirmed")
	})
	t.Run("replaces a lost member and keeps the group", func(t *testing.T) {
		d := newDesk("s1", "s2", "s3", "s4", "s5")
		d.run(5 * time.Second)
		d.engines["s1"].dead = true
		d.run(5 * time.Second)
		d.assertReplicas(t, 2)
		place, _ := d.Fold().Place("s5")
		g, _ := d.Fold().Group(place)
		assertEqual(t, g.Members, []fuchsiapitch.ServerID{"s5", "s2"}, "members")
	})
	t.Run("assigns a group anew that worked and is no longer ready", func(t *testing.T) {
		d := newDesk("s1", "s2", "s3", "s4")
		d.run(5 * time.Second)
		before := d.Fold().Groups()[0]
		d.engines[before.Members[1]].refuses = "1"
		d.Suspect(before.Members)
		d.run(time.Second)
		after := d.Fold().Groups()[0]
		assertEqual(t, after.Members, before.Members, "members")
		assertEqual(t, before.Fence.Less(after.Fence), true, "has a higher fencing number")
	})
	t.Run("rolls a version out one drained group at a time", func(t *testing.T) {
		d := newDesk("s1", "s2", "s3", "s4")
		d.run(5 * time.Second)
		d.setRunning(1)
		d.want("2")
		d.run(30 * time.Second)
		d.assertVersions(t, "1", "1")
		d.assertReplicas(t, 1)
		d.setRunning(0)
		d.run(30 * time.Second)
		d.assertVersions(t, "2", "2")
		d.assertReplicas(t, 2)
	})
	t.Run("undoes a version that fails its first check", func(t *testing.T) {
		d := newDesk("s1", "s2", "s3", "s4")
		d.run(5 * time.Second)
		for _, e := range d.engines {
			e.refuses = "2"
		}
		d.want("2")
		d.run(30 * time.Second)
		d.assertReplicas(t, 1)
		d.run(firstCheckTime)
		d.assertVersions(t, "1", "1")
		d.assertReplicas(t, 2)
	})
	t.Run("changes the size of groups one drained group at a time", func(t *testing.T) {
		d := newDesk("s1", "s2", "s3", "s4", "s5", "s6")
		d.run(5 * time.Second)
		d.setRunning(1)
		d.wantSize("1", 3)
		d.run(30 * time.Second)
		d.assertReplicas(t, 1)
		d.setRunning(0)
		d.run(30 * time.Second)
		d.assertReplicas(t, 2)
		assertEqual(t, len(d.Fold().Groups()[0].Members), 3, "members")
	})
	t.Run("releases the lease when it stops", func(t *testing.T) {
		d := newDesk("s1", "s2")
		d.run(5 * time.Second)
		d.Stop()
		d.run(2 * time.Second)
		assertEqual(t, d.Holder(), "", "holder")
	})
}
