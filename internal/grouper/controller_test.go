package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	tickPeriod = 100 * time.Millisecond
	// runnerProbeTimeout is the time-out of probes in package runner.
	runnerProbeTimeout = 800 * time.Millisecond
)

// fixture runs one Grouper with a fake log and fake engines, which answer
// immediately.
type fixture struct {
	*Grouper
	now          time.Duration
	log          []Record
	engines      map[fuchsiapitch.ServerID]*fakeEngine
	issuedOrders []IssuedOrder
	// withholdReads keeps appended records from being read.
	withholdReads bool
	// lateProbes are the results of probes that have not come yet.
	lateProbes []lateProbe
}

// lateProbe is a probe of a silent engine, which ends at a time.
type lateProbe struct {
	at       time.Duration
	engine   fuchsiapitch.ServerID
	timedOut bool
}

// fakeEngine is an engine that accepts every order.
type fakeEngine struct {
	status fuchsiapitch.EngineStatus
	// unresponsive makes it leave probes unanswered.
	unresponsive    bool
	runningRequests int
	// silentUntil is when it answers what it was sent before, like a process that stands
	// still.
	silentUntil time.Duration
	leaving     bool
	// failingVersion is a version for which it never becomes ready.
	failingVersion string
}

func newFixture(engines ...fuchsiapitch.ServerID) *fixture {
	f := &fixture{Grouper: New(fuchsiapitch.NewHost("a", "", "dc", 1)), engines: make(map[fuchsiapitch.ServerID]*fakeEngine)}
	var servers []fuchsiapitch.BackendServer
	for _, id := range engines {
		f.engines[id] = &fakeEngine{}
		servers = append(servers, fuchsiapitch.NewBackendServer(id, fuchsiapitch.EngineServer, "", "dc"))
	}
	f.ServersListed(servers)
	f.SetHosts([]fuchsiapitch.Host{fuchsiapitch.NewHost("a", "", "dc", 1)}, func(fuchsiapitch.ReplicaID) bool { return true })
	f.configureVersion("1")
	return f
}

func (f *fixture) configureVersion(version string) { f.configure(version, 2) }

func (f *fixture) configure(version string, size int) {
	s := fuchsiapitch.NewService("redactor", fuchsiapitch.ModelService, "counter",
		fuchsiapitch.WithModel("m", version), fuchsiapitch.WithReplicas(2, size))
	f.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{s}, nil, nil))
}

func (f *fixture) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += tickPeriod {
		now := newInstant(f.now, f.now)
		f.endLateProbes(now)
		f.Tick(now)
		a := f.TakeActions()
		for _, r := range a.Appends {
			f.log = append(f.log, r)
			f.AppendEnded(now, r.ID)
			if f.withholdReads {
				continue
			}
			f.RecordsRead(now, []Entry{{Offset: fuchsiapitch.Offset(len(f.log)), Record: r}}, 0)
		}
		for _, b := range a.Probes {
			f.answerProbe(now, b.ID())
		}
		for _, o := range a.Orders {
			f.acceptOrder(now, o)
		}
	}
}

// endLateProbes passes on the results of late probes that are due.
func (f *fixture) endLateProbes(now fuchsiapitch.Instant) {
	due := f.lateProbes
	f.lateProbes = nil
	for _, p := range due {
		switch {
		case p.at > f.now:
			f.lateProbes = append(f.lateProbes, p)
		case p.timedOut:
			f.ServerUnresponsive(now, p.engine)
		default:
			f.answerProbe(now, p.engine)
		}
	}
}

func (f *fixture) answerProbe(now fuchsiapitch.Instant, id fuchsiapitch.ServerID) {
	e := f.engines[id]
	if e.unresponsive {
		f.ServerUnresponsive(now, id)
		return
	}
	if f.now < e.silentUntil {
		end := min(e.silentUntil, f.now+runnerProbeTimeout)
		f.lateProbes = append(f.lateProbes, lateProbe{at: end, engine: id, timedOut: end < e.silentUntil})
		return
	}
	a := e.status
	options := []fuchsiapitch.EngineStatusOption{fuchsiapitch.WithReportedLoad(e.runningRequests, 0)}
	if e.leaving {
		options = append(options, fuchsiapitch.WithEngineLeaving())
	}
	if v := a.Assignment().Version(); v != "" && v != e.failingVersion {
		options = append(options, fuchsiapitch.WithReady())
	}
	f.ServerReported(now, fuchsiapitch.NewEngineStatus(id, 1, a.FencingToken(), a.Assignment(), options...))
}

func (f *fixture) acceptOrder(now fuchsiapitch.Instant, o IssuedOrder) {
	f.issuedOrders = append(f.issuedOrders, o)
	id := o.Server.ID()
	f.engines[id].status = fuchsiapitch.NewEngineStatus(id, 1, o.Order.FencingToken(), o.Order.Assignment())
	f.OrderEnded(now, id, o.Order.FencingToken(), nil)
}

func (f *fixture) assertVersions(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for _, g := range f.Committed().Groups() {
		got = append(got, g.Version)
	}
	assertEqual(t, got, want, "versions")
}

func (f *fixture) assertReplicas(t *testing.T, want int) {
	t.Helper()
	assertEqual(t, len(f.RoutableReplicas(newInstant(f.now, f.now))), want, "replicas")
}

func (f *fixture) setRunningRequests(n int) {
	for _, e := range f.engines {
		e.runningRequests = n
	}
}

func TestController(t *testing.T) {
	t.Run("forms the groups that the configuration wants", func(t *testing.T) {
		f := newFixture("s1", "s2", "s3", "s4", "s5")
		f.run(5 * time.Second)
		f.assertReplicas(t, 2)
		assertEqual(t, f.Status(newInstant(f.now, f.now)).Stranded, []Stranded{{Server: "s5", Reason: ReasonUnwanted}}, "stranded")
	})
	t.Run("gives no order before every account is read back", func(t *testing.T) {
		f := newFixture("s1", "s2", "s3", "s4")
		f.engines["s1"].unresponsive = true
		f.run(500 * time.Millisecond)
		assertEqual(t, len(f.issuedOrders), 0, "orders")
		f.run(5 * time.Second)
		assertEqual(t, len(f.issuedOrders), 2, "orders after the silence of s1 is confirmed")
	})
	t.Run("replaces a lost member and keeps the group", func(t *testing.T) {
		f := newFixture("s1", "s2", "s3", "s4", "s5")
		f.run(5 * time.Second)
		f.engines["s1"].unresponsive = true
		f.run(5 * time.Second)
		f.assertReplicas(t, 2)
		groupID, _ := f.Committed().GroupOf("s5")
		g, _ := f.Committed().Group(groupID)
		assertEqual(t, g.Members, []fuchsiapitch.ServerID{"s5", "s2"}, "members")
	})
	t.Run("assigns a group anew that worked and is no longer ready", func(t *testing.T) {
		f := newFixture("s1", "s2", "s3", "s4")
		f.run(5 * time.Second)
		before := f.Committed().Groups()[0]
		f.engines[before.Members[1]].failingVersion = "1"
		f.RequestProbes(before.Members)
		f.run(time.Second)
		after := f.Committed().Groups()[0]
		assertEqual(t, after.Members, before.Members, "members")
		assertEqual(t, before.FencingToken.Less(after.FencingToken), true, "has a higher fencing token")
	})
	t.Run("rolls a version out one drained group at a time", func(t *testing.T) {
		f := newFixture("s1", "s2", "s3", "s4")
		f.run(5 * time.Second)
		f.setRunningRequests(1)
		f.configureVersion("2")
		f.run(30 * time.Second)
		f.assertVersions(t, "1", "1")
		f.assertReplicas(t, 1)
		f.setRunningRequests(0)
		f.run(30 * time.Second)
		f.assertVersions(t, "2", "2")
		f.assertReplicas(t, 2)
	})
	t.Run("undoes a version that fails its first check", func(t *testing.T) {
		f := newFixture("s1", "s2", "s3", "s4")
		f.run(5 * time.Second)
		for _, e := range f.engines {
			e.failingVersion = "2"
		}
		f.configureVersion("2")
		f.run(30 * time.Second)
		f.assertReplicas(t, 1)
		f.run(rolloutTimeout)
		f.assertVersions(t, "1", "1")
		f.assertReplicas(t, 2)
	})
	t.Run("changes the size of groups one drained group at a time", func(t *testing.T) {
		f := newFixture("s1", "s2", "s3", "s4", "s5", "s6")
		f.run(5 * time.Second)
		f.setRunningRequests(1)
		f.configure("1", 3)
		f.run(30 * time.Second)
		f.assertReplicas(t, 1)
		f.setRunningRequests(0)
		f.run(30 * time.Second)
		f.assertReplicas(t, 2)
		assertEqual(t, len(f.Committed().Groups()[0].Members), 3, "members")
	})
	t.Run("releases the lease when it stops", func(t *testing.T) {
		f := newFixture("s1", "s2")
		f.run(5 * time.Second)
		f.Stop()
		f.run(2 * time.Second)
		assertEqual(t, f.Holder(), "", "holder")
	})
}
