package coordinator

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// defaultSeedCount is the number of random runs if FUCHSIAPITCH_SEEDS is not set.
const defaultSeedCount = 60

func seedCount(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("FUCHSIAPITCH_SEEDS")
	if text == "" {
		return defaultSeedCount
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestGroupsForm(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(8 * time.Second)
	assertNoViolations(t, sm)
	if got, want := sm.countOpenGroups(), 4; got != want {
		t.Errorf("got %d open groups, want %d", got, want)
	}
}

func TestGroupIsRepaired(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	for _, e := range sm.engines {
		if e.group.Name != "" && rankOf(e.members, e.id) == 1 {
			e.dead = true
			break
		}
	}
	// The member disappears from the list, then a spare replaces it.
	sm.run(simulatedListExpiry + 3*time.Second)
	assertNoViolations(t, sm)
	if got, want := sm.countOpenGroups(), 4; got != want {
		t.Errorf("got %d open groups, want %d", got, want)
	}
}

// Guards against a server in two groups: if a leader stays unreachable after a network
// partition has ended, its members must not join another group while it may still be
// serving.
func TestPartitionedDomainKeepsItsMembers(t *testing.T) {
	for seed := range uint64(20) {
		sm := newSimulation(seed)
		sm.startController()
		sm.run(8 * time.Second)
		sm.partitionedDomain, sm.partitionedUntil = "d0", sm.now+6*time.Second+time.Duration(seed)*37*time.Millisecond
		for _, e := range sm.engines {
			if e.domain == "d0" && e.state == fuchsiapitch.MemberOpen {
				e.unreachableUntil = sm.partitionedUntil + 2*time.Second
			}
		}
		sm.run(12 * time.Second)
		assertNoViolations(t, sm)
	}
}

func TestGroupsUnderTrouble(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sm := newSimulation(seed)
			sm.startController()
			sm.run(6 * time.Second)
			for range 12 {
				sm.injectFault()
				sm.run(time.Duration(sm.rng.Int64N(int64(4 * time.Second))))
			}
			assertNoViolations(t, sm)
		})
	}
}

// Servers appear on the list one after the other at the start. Groups must not be
// formed before the domain is complete.
func TestFirstGroupsWaitForTheDomain(t *testing.T) {
	sm := newSimulation(1)
	for n, id := range sm.engineOrder {
		sm.engines[id].unreachableUntil = time.Duration(n%11) * 150 * time.Millisecond
		sm.engines[id].lastReachableAt = -simulatedListExpiry
	}
	sm.startController()
	sm.run(10 * time.Second)
	assertNoViolations(t, sm)
	models := make(map[string]int)
	for _, e := range sm.engines {
		if e.state == fuchsiapitch.MemberOpen {
			models[e.model]++
		}
	}
	if got, want := models["large"], 2; got != want {
		t.Errorf("got %d groups of the large model, want %d", got, want)
	}
}

// Groups behind a network partition are complete and serving. They must be kept when it
// ends.
func TestGroupsSurviveNetworkPartition(t *testing.T) {
	sm := newSimulation(3)
	sm.startController()
	sm.run(8 * time.Second)
	before := make(map[fuchsiapitch.GroupRef]bool)
	for _, e := range sm.engines {
		before[e.group] = true
	}
	sm.partitionedDomain, sm.partitionedUntil = "d0", sm.now+6*time.Second
	sm.run(10 * time.Second)
	assertNoViolations(t, sm)
	for _, e := range sm.engines {
		if !before[e.group] {
			t.Errorf("got %s in a new group, want the groups from before the partition", e.id)
		}
	}
}

// If all servers of a domain disappear from the list but still respond, their groups
// must be kept.
func TestGroupsOffTheListAreKept(t *testing.T) {
	sm := newSimulation(5)
	sm.startController()
	sm.run(8 * time.Second)
	before := make(map[fuchsiapitch.GroupRef]bool)
	for _, e := range sm.engines {
		before[e.group] = true
	}
	sm.unlistedDomain = "d0"
	sm.run(8 * time.Second)
	sm.unlistedDomain = ""
	sm.run(4 * time.Second)
	assertNoViolations(t, sm)
	for _, e := range sm.engines {
		if !before[e.group] || e.group.Name[0] == 'g' && e.members[0] == e.id && e.state != fuchsiapitch.MemberOpen {
			t.Errorf("got %s in %s (%s), want its open group from before", e.id, e.group.Name, e.state)
		}
	}
}

// Pattern: servers are cut off from the store while they work, so that their entries lapse, and
// then the controller is lost. The next one has never heard of these servers. The groups whose
// leaders are listed must serve on.
func TestNewControllerKeepsGroupsWithUnlistedMembers(t *testing.T) {
	newCutSimulation := func(t *testing.T) (*simulation, map[fuchsiapitch.GroupRef]*simulatedEngine) {
		t.Helper()
		sm := newSimulation(5)
		sm.startController()
		sm.run(8 * time.Second)
		leaders := make(map[fuchsiapitch.GroupRef]*simulatedEngine)
		for _, id := range sm.engineOrder {
			if e := sm.engines[id]; e.state == fuchsiapitch.MemberOpen {
				leaders[e.group] = e
				sm.engines[e.members[len(e.members)-1]].unlisted = true
			}
		}
		if got, want := len(leaders), 4; got != want {
			t.Fatalf("got %d open groups, want %d", got, want)
		}
		sm.run(2 * time.Second)
		sm.coordinators[0] = nil
		sm.startController()
		return sm, leaders
	}
	t.Run("working members", func(t *testing.T) {
		sm, leaders := newCutSimulation(t)
		sm.run(3 * time.Second)
		assertNoViolations(t, sm)
		announced := make(map[fuchsiapitch.GroupRef]bool)
		for _, g := range sm.coordinators[1].groupStatuses() {
			announced[g.Ref] = g.Open
		}
		for ref, leader := range leaders {
			if leader.group != ref || leader.state != fuchsiapitch.MemberOpen || !announced[ref] {
				t.Errorf("got group %s in state %s, announced as open %v, want it open", ref.Name, leader.state, announced[ref])
			}
			sm.engines[leader.members[len(leader.members)-1]].unlisted = false
		}
		sm.run(4 * time.Second)
		for ref := range leaders {
			if g, ok := sm.coordinators[1].groups[ref]; !ok || slices.Contains(g.members, "") {
				t.Errorf("got group %s without all members after they are listed again, want it whole", ref.Name)
			}
		}
	})
	t.Run("lost members", func(t *testing.T) {
		sm, leaders := newCutSimulation(t)
		sm.run(2 * time.Second)
		for _, leader := range leaders {
			sm.engines[leader.members[len(leader.members)-1]].dead = true
		}
		sm.run(14 * time.Second)
		assertOpenGroups(t, sm, "d0", 1, 1)
		assertOpenGroups(t, sm, "d1", 1, 1)
	})
}

// Pattern: the leaders of groups are cut off from the store while they work, with so many other servers
// that the rest of the domain is too few. A server that is off the list gets no requests. The group must
// serve again with another leader, and the one that is cut off as a member.
func TestGroupGetsLeaderThatIsListed(t *testing.T) {
	sm := newSimulation(5)
	sm.startController()
	sm.run(8 * time.Second)
	cut := 0
	for _, id := range sm.engineOrder {
		e := sm.engines[id]
		if e.state == fuchsiapitch.MemberOpen || e.group.Name == "" || e.group.Name[0] == 'w' {
			e.unlisted = true
			cut++
		}
	}
	if got, want := cut, 8; got < want {
		t.Fatalf("got %d servers off the list, want %d leaders and spares", got, want)
	}
	sm.run(8 * time.Second)
	assertOpenGroups(t, sm, "d0", 1, 1)
	assertOpenGroups(t, sm, "d1", 1, 1)
	for _, id := range sm.engineOrder {
		if e := sm.engines[id]; e.state == fuchsiapitch.MemberOpen && e.unlisted {
			t.Errorf("got %s as the leader of %s, want a listed one", id, e.group.Name)
		}
	}
}

// Load: from some moment on the callers of the small model are far more than its groups serve, and none ask for
// the large one. After a burst nothing has changed; if it lasts, one large group gives way, once.
func TestGroupsFollowDemandThatLasts(t *testing.T) {
	press := func(sm *simulation, d time.Duration, requests int) {
		for end := sm.now + d; sm.now < end; {
			sm.run(250 * time.Millisecond)
			sm.apply(0, HeartbeatReceived{Heartbeat: Heartbeat{
				From: Peer{ID: "zz"}, Incarnation: 1, Queues: []Queue{{Service: "llm", Model: "small", Length: requests}},
			}})
		}
	}
	sm := newSimulation(7)
	sm.startController()
	sm.run(8 * time.Second)
	large := func() int {
		return sm.countOpenGroupsByModel("d0")["large"] + sm.countOpenGroupsByModel("d1")["large"]
	}
	small := func() int {
		return sm.countOpenGroupsByModel("d0")["small"] + sm.countOpenGroupsByModel("d1")["small"]
	}
	press(sm, 6*time.Second, 200)
	press(sm, 20*time.Second, 10)
	if got, want := []int{large(), small()}, []int{2, 2}; !slices.Equal(got, want) {
		t.Fatalf("got %v large and small groups after a burst, want %v", got, want)
	}
	press(sm, 25*time.Second, 200)
	assertNoViolations(t, sm)
	if got, want := large(), 1; got != want {
		t.Errorf("got %d large groups, want %d", got, want)
	}
	if got, least := small(), 4; got < least {
		t.Errorf("got %d small groups, want at least %d", got, least)
	}
}

// killServers kills up to count servers of a domain that are members of a group of the
// model, or of no group if it is "".
func (sm *simulation) killServers(domain, model string, count int) {
	for _, id := range sm.engineOrder {
		e := sm.engines[id]
		memberModel := ""
		if len(e.members) > 1 {
			memberModel = e.model
		}
		if count > 0 && !e.dead && e.domain == domain && memberModel == model {
			e.dead = true
			count--
		}
	}
}

func (sm *simulation) countOpenGroupsByModel(domain string) map[string]int {
	models := make(map[string]int)
	for _, e := range sm.engines {
		if e.state == fuchsiapitch.MemberOpen && !e.dead && e.domain == domain {
			models[e.model]++
		}
	}
	return models
}

func assertOpenGroups(t *testing.T, sm *simulation, domain string, large, small int) {
	t.Helper()
	assertNoViolations(t, sm)
	got := sm.countOpenGroupsByModel(domain)
	if got["large"] != large || got["small"] != small {
		t.Errorf("got open groups %v in %s, want %d large and %d small", got, domain, large, small)
	}
}

// killMostServers leaves a domain without a group and with too few servers for a large
// group.
func (sm *simulation) killMostServers(domain string) {
	sm.killServers(domain, "large", 3)
	sm.killServers(domain, "small", 1)
	sm.killServers(domain, "", 2)
}

// Free servers that are too few for the model that lacks groups must form a group of
// another model after strandedTimeout.
func TestSurvivorsAreNotStranded(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	assertOpenGroups(t, sm, "d0", 1, 1)
	sm.killMostServers("d0")
	sm.run(simulatedListExpiry + strandedTimeout + 6*time.Second)
	assertOpenGroups(t, sm, "d0", 0, 1)
}

// loseStore makes the list show the servers of now until the end of the simulation, in
// the middle of the traffic.
func (sm *simulation) loseStore() {
	sm.coordinators[0].hasReceivedRequests = true
	sm.frozenList, sm.listFrozenUntil = sm.serverList(), sm.now+time.Hour
}

// The same holds while the store is away, so that the lost servers stay on the list.
func TestSurvivorsAreNotStrandedWithoutStore(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	assertOpenGroups(t, sm, "d0", 1, 1)
	sm.loseStore()
	sm.killMostServers("d0")
	sm.suspectAllServers(int(strandedTimeout / time.Second))
	assertOpenGroups(t, sm, "d0", 0, 0)
	sm.suspectAllServers(int((simulatedListExpiry + 6*time.Second) / time.Second))
	assertOpenGroups(t, sm, "d0", 0, 1)
}

// Free servers must wait for a lost server that the platform brings back while the store
// is away.
func TestSurvivorsWaitForLostServerWithoutStore(t *testing.T) {
	for _, awayTime := range []time.Duration{returnTimeout - time.Second, returnTimeout + strandedTimeout/2} {
		t.Run(awayTime.String(), func(t *testing.T) {
			sm := newSimulation(1)
			sm.startController()
			sm.run(12 * time.Second)
			sm.loseStore()
			sm.killServers("d0", "", 2)
			for _, e := range sm.engines {
				if e.domain == "d0" && e.model == "large" && rankOf(e.members, e.id) == 1 && len(e.members) == 6 {
					e.isolatedUntil = sm.now + awayTime
				}
			}
			sm.suspectAllServers(int(awayTime / time.Second))
			assertOpenGroups(t, sm, "d0", 0, 1)
			sm.suspectAllServers(3)
			assertOpenGroups(t, sm, "d0", 1, 1)
		})
	}
}

// Free servers that are too few for the model that lacks groups must stay spares if the
// requests are for that model.
func TestSurvivorsStaySpares(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	for n := range Ticket(20) {
		sm.apply(0, RequestArrived{Ticket: n + 1, Service: "llm", Model: "large", FirstByteBy: time.Hour, Deadline: time.Hour})
	}
	sm.killMostServers("d0")
	sm.run(simulatedListExpiry + strandedTimeout + 6*time.Second)
	assertOpenGroups(t, sm, "d0", 0, 0)
}

// A small group must retire to make room for a missing large one.
func TestSmallGroupRetiresForMissingLargeGroup(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	sm.killServers("d0", "large", 3)
	sm.run(simulatedListExpiry + 2*time.Second)
	assertOpenGroups(t, sm, "d0", 0, 1)
	sm.run(strandedTimeout + 6*time.Second)
	assertOpenGroups(t, sm, "d0", 1, 0)
}

// newSmallSimulation returns a simulation in which each domain has one open group of
// each model and one spare.
func newSmallSimulation() *simulation {
	sm := newSimulationOf(1, newRoutesOf(
		fuchsiapitch.Model{Name: "large", GroupSize: 3, InitialLoadShare: 0.5, TimeFactor: 1, ColdLoadTime: simulatedLoadTime, WarmLoadTime: simulatedWarmLoadTime},
		fuchsiapitch.Model{Name: "small", GroupSize: 2, InitialLoadShare: 0.5, TimeFactor: 1, ColdLoadTime: simulatedLoadTime, WarmLoadTime: simulatedWarmLoadTime},
	), 6)
	sm.startController()
	sm.run(5 * time.Second)
	return sm
}

// Servers whose staged model is on the list must not be ordered to stage it again.
func TestStagedServersAreNotStagedAgain(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(8 * time.Second)
	before := sm.stageOrders
	sm.apply(0, RequestArrived{Ticket: 1, Service: "llm", Model: "large", Deadline: time.Minute})
	sm.run(simulatedLoadTime + stagingMargin + 2*time.Second)
	if got, want := sm.stageOrders, before; got != want {
		t.Errorf("got %d stage orders, want the %d from the start", got, want)
	}
}

// A server that answers a stage order with OrderDone has the model staged, so its join
// time must be short.
func TestOrderDoneMarksModelStaged(t *testing.T) {
	c := New(Peer{ID: "a"}, 1)
	c.Apply(0, ConfigurationChanged{Routes: newDefaultRoutes()})
	c.Apply(0, ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "s", Service: "llm", StartedUnixMillis: 1}}})
	s := c.servers["s"]
	s.stagingModel, s.expectedStagingEnd = "small", 10*time.Second
	c.Apply(time.Second, OrderResultReceived{Result: fuchsiapitch.OrderDone, Order: fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderStage, Server: "s", Model: "small"}})
	if got, want := c.joinTime(s, "small"), simulatedWarmLoadTime; got != want {
		t.Errorf("got join time %s, want %s", got, want)
	}
}

// A group must not retire for a model that has enough groups, because its own model
// would then lack one.
func TestNoRetirementForModelWithEnoughGroups(t *testing.T) {
	sm := newSmallSimulation()
	sm.run(20 * time.Second)
	assertOpenGroups(t, sm, "d0", 1, 1)
	for ref, g := range sm.coordinators[0].groups {
		if g.createdAt > 5*time.Second {
			t.Errorf("got %s formed at %s, want the groups from the start", ref.Name, g.createdAt)
		}
	}
}

// A leader that refuses the order to leave its old group must be ordered again, because
// its members are needed.
func TestRefusedLeaveOrderIsRepeated(t *testing.T) {
	sm := newSmallSimulation()
	sm.leavesToRefuse = 2
	for _, g := range sm.coordinators[0].groups {
		g.retiring = g.model == "large"
	}
	sm.run(4 * time.Second)
	assertOpenGroups(t, sm, "d0", 1, 1)
	assertOpenGroups(t, sm, "d1", 1, 1)
}

// If lost servers are replaced before strandedTimeout, the remaining servers must form
// a group of the former model with them.
func TestReplacedServersFormGroupOfFormerModel(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	sm.killServers("d0", "large", 3)
	sm.run(simulatedListExpiry)
	for n := range 3 {
		sm.addEngine("d0", fmt.Sprintf("late%d", n))
	}
	sm.run(strandedTimeout + 6*time.Second)
	assertOpenGroups(t, sm, "d0", 1, 1)
}

// Guards against address reuse: a new server takes the address of a lost member while
// the list shows both. Reports of the new server must not be taken for reports of the
// lost one.
func TestAddressIsTakenOver(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	var members []fuchsiapitch.ServerID
	for _, e := range sm.engines {
		if e.domain == "d0" && len(e.members) == 6 {
			members = e.members
		}
	}
	// Five members of the group remain, and no server is free to replace the sixth.
	sm.killServers("d0", "", 2)
	sm.engines[members[2]].dead = true
	sm.run(simulatedListExpiry + time.Second)
	lost := sm.engines[members[4]]
	lost.dead = true
	sm.reuseAddress(lost)
	sm.run(9 * time.Second)
	assertNoViolations(t, sm)
}

// A restarted server that identifies itself must be used before the list shows the
// restart.
func TestRestartedServerIsUsedBeforeListShowsRestart(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	sm.frozenList, sm.listFrozenUntil = sm.serverList(), sm.now+time.Minute
	for _, id := range sm.engineOrder {
		if e := sm.engines[id]; e.domain == "d0" {
			sm.restart(e)
		}
	}
	sm.suspectAllServers(8)
	assertOpenGroups(t, sm, "d0", 1, 1)
}

// suspectAllServers runs the simulation for a number of seconds in which another host
// suspects all servers, so that the controller probes the members of open groups.
func (sm *simulation) suspectAllServers(seconds int) {
	for range seconds {
		sm.apply(0, HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "other"}, Suspects: sm.engineOrder}})
		sm.run(time.Second)
	}
}

// All servers restart at once with nothing staged. The concurrent loads must go to
// whole groups, and to groups of both models.
func TestLoadsGoToWholeGroups(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(15 * time.Second)
	sm.apply(0, RequestArrived{Ticket: 1, Service: "llm", Model: "large", Deadline: time.Minute})
	for _, id := range sm.engineOrder {
		sm.engines[id].stagedModels = nil
		sm.restart(sm.engines[id])
	}
	sm.stageOrders = 0
	sm.suspectAllServers(7)
	assertNoViolations(t, sm)
	if got, want := sm.stageOrders, 0; got != want {
		t.Errorf("got %d stage orders while groups wait for loads, want %d", got, want)
	}
	models := make(map[string]int)
	for _, d := range []string{"d0", "d1"} {
		for m, n := range sm.countOpenGroupsByModel(d) {
			models[m] += n
		}
	}
	if models["large"] < 1 || models["small"] < 1 {
		t.Errorf("got open groups %v after 7 s, want one of each model", models)
	}
}
