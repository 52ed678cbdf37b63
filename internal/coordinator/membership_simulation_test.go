package coordinator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// simulatedHostLatency is the one-way latency between two simulated hosts.
	simulatedHostLatency = 1400 * time.Microsecond
	// simulatedStoreLatency is the response time of the simulated store.
	simulatedStoreLatency = 4 * time.Millisecond
	// simulatedTickInterval is the interval between the ticks of a simulated host.
	simulatedTickInterval = 50 * time.Millisecond
	// simulatedListInterval is the interval at which a simulated host reads the server
	// list.
	simulatedListInterval = 800 * time.Millisecond
	// simulatedNeedInterval is the interval at which a simulated host that does not need the list asks
	// whether it does.
	simulatedNeedInterval = 250 * time.Millisecond
	// simulatedHostsInterval is the interval at which it reads the registered hosts.
	simulatedHostsInterval = 500 * time.Millisecond
	// simulatedStartSpread is the time within which all simulated hosts start.
	simulatedStartSpread = 300 * time.Millisecond
)

// plainService is the service of the servers that a hostCluster lists.
const plainService = "app"

// hostCluster runs the coordinators of many hosts against a simulated network and store.
// Its backend servers are only listed.
type hostCluster struct {
	rng   *rand.Rand
	now   time.Duration
	hosts []*simulatedHost
	// byAddress maps the address of each host to it.
	byAddress map[string]*simulatedHost
	calls     callHeap
	// loss is the probability that a datagram is lost.
	loss float64
	// claims are the claims in the store, the oldest first.
	claims []ClaimRead
	// registered are the hosts in the store.
	registered []Peer
	// messages counts the datagrams that were sent, listReads the reads of the list, and firstListReads
	// those that are the first of their host.
	messages, listReads, firstListReads int
	// servers is the server list, and listVersion the number of its changes.
	servers     []fuchsiapitch.ServerReport
	listVersion int64
	// onGrant is called with each grant, and onRefuse with each refusal unless it is nil.
	onGrant  func(*simulatedHost, Grant)
	onRefuse func(*simulatedHost, Refuse)
	// onEffect is called with the other effects unless it is nil. isCut reports whether a host
	// is cut off from the others; nil for no host.
	onEffect func(*simulatedHost, Effect)
	isCut    func(*simulatedHost) bool
	// goingBack replaces claims by those of a store that goes back, unless it is nil.
	goingBack *goingBackClaims
	// isCutBetween reports whether two hosts are cut off from each other; nil for none.
	isCutBetween func(a, b *simulatedHost) bool
}

// simulatedHost is one host of a hostCluster.
type simulatedHost struct {
	coordinator *Coordinator
	self        Peer
	incarnation int64
	startedAt   time.Duration
	stopped     bool
	hasReadList bool
}

// scheduledCall is a function to be called at a time.
type scheduledCall struct {
	at  time.Duration
	seq int
	run func()
}

// callHeap orders scheduled calls by time, and then by their sequence.
type callHeap []scheduledCall

func (h callHeap) Len() int { return len(h) }

func (h callHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].seq < h[b].seq
}

func (h callHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *callHeap) Push(c any) { *h = append(*h, c.(scheduledCall)) }

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newHostCluster returns a cluster of hosts that all start within simulatedStartSpread,
// spread over the given number of data centres.
func newHostCluster(seed uint64, hosts, dataCentres int) *hostCluster {
	hc := &hostCluster{rng: rand.New(rand.NewPCG(seed, 2)), byAddress: make(map[string]*simulatedHost), listVersion: 1}
	hc.listServers(6)
	for n := range hosts {
		id := fmt.Sprintf("h%03d", n)
		dataCentre := fuchsiapitch.DataCentreName(fmt.Sprintf("dc%d", n%dataCentres))
		h := &simulatedHost{self: Peer{ID: fuchsiapitch.HostID(id), Address: id, DataCentre: dataCentre, Capacity: 20 + 180*(n/dataCentres%6/5)}}
		h.startedAt = time.Duration(hc.rng.Int64N(int64(simulatedStartSpread)))
		h.incarnation = 1
		h.coordinator = New(h.self, h.incarnation, WithDataCentre(dataCentre))
		hc.hosts = append(hc.hosts, h)
		hc.byAddress[h.self.Address] = h
		hc.at(h.startedAt, func() { hc.start(h) })
	}
	return hc
}

// listServers lists a number of servers of a plain service.
func (hc *hostCluster) listServers(count int) {
	hc.servers = nil
	for n := range count {
		id := fmt.Sprintf("app%d", n)
		hc.servers = append(hc.servers, fuchsiapitch.ServerReport{ID: fuchsiapitch.ServerID(id), Service: plainService, Address: id, Slots: simulatedSlots})
	}
}

func (hc *hostCluster) at(t time.Duration, run func()) {
	heap.Push(&hc.calls, scheduledCall{at: t, seq: hc.messages + len(hc.calls), run: run})
}

// start starts a host: it registers, reads the store and begins to tick.
func (hc *hostCluster) start(h *simulatedHost) {
	hc.registered = append(hc.registered, h.self)
	hc.apply(h, ConfigurationChanged{Routes: plainRoutes()})
	hc.at(hc.now+simulatedStoreLatency, func() { hc.readHosts(h) })
	hc.at(hc.now+simulatedStoreLatency, func() { hc.readList(h) })
	hc.at(hc.now+simulatedTickInterval, func() { hc.tick(h) })
}

// plainRoutes returns a configuration with plainService alone.
func plainRoutes() *fuchsiapitch.RouteTable {
	return fuchsiapitch.NewRouteTable(1, nil, []fuchsiapitch.ServiceProfile{{Name: plainService}}, nil, false, fuchsiapitch.ClientLimits{})
}

func (hc *hostCluster) tick(h *simulatedHost) {
	if h.stopped {
		return
	}
	hc.apply(h, Ticked{})
	hc.at(hc.now+simulatedTickInterval, func() { hc.tick(h) })
}

// readList delivers the server list and the newest claim to a host.
func (hc *hostCluster) readList(h *simulatedHost) {
	if h.stopped {
		return
	}
	if h.coordinator.NeedsServerList(hc.now - h.startedAt) {
		hc.listReads++
		if !h.hasReadList {
			h.hasReadList = true
			hc.firstListReads++
		}
		hc.apply(h, ServersListed{Servers: hc.servers, Offset: hc.listVersion})
		if hc.goingBack != nil {
			hc.goingBack.deliverNewest(h)
		} else if len(hc.claims) > 0 {
			hc.apply(h, hc.claims[len(hc.claims)-1])
		}
		hc.at(hc.now+simulatedListInterval, func() { hc.readList(h) })
		return
	}
	hc.at(hc.now+simulatedNeedInterval, func() { hc.readList(h) })
}

// readHosts delivers the registered hosts to a host.
func (hc *hostCluster) readHosts(h *simulatedHost) {
	if h.stopped {
		return
	}
	if h.coordinator.NeedsHostList(hc.now - h.startedAt) {
		hc.apply(h, PeersListed{Peers: hc.registered})
	}
	hc.at(hc.now+simulatedHostsInterval, func() { hc.readHosts(h) })
}

// apply applies an event to a host's coordinator and carries out the effects.
func (hc *hostCluster) apply(h *simulatedHost, e Event) {
	for _, effect := range h.coordinator.Apply(hc.now-h.startedAt, e) {
		switch f := effect.(type) {
		case SendHeartbeat:
			for _, address := range f.Addresses {
				hc.send(h, address, HeartbeatReceived{Heartbeat: f.Heartbeat})
			}
		case SendDigest:
			for _, r := range f.Recipients {
				d := f.Digest
				d.EchoedSequence = r.EchoedSequence
				if r.NeedsGroups {
					d.Sender.Groups = f.Groups
				}
				if r.NeedsDirectory {
					d.Directory = f.Directory
				}
				hc.send(h, r.Address, DigestReceived{Digest: d})
			}
		case Grant:
			hc.onGrant(h, f)
		case Refuse:
			if hc.onRefuse != nil {
				hc.onRefuse(h, f)
			}
		case ClaimControl:
			hc.at(hc.now+simulatedStoreLatency, func() { hc.claim(h, f.PreviousClaim) })
		default:
			if hc.onEffect != nil {
				hc.onEffect(h, effect)
			}
		}
	}
}

// send delivers an event of a host to the host at an address, unless the datagram is lost or one
// of them is cut off.
func (hc *hostCluster) send(sender *simulatedHost, address string, e Event) {
	hc.messages++
	receiver, ok := hc.byAddress[address]
	if !ok || hc.rng.Float64() < hc.loss {
		return
	}
	if hc.isCut != nil && (hc.isCut(sender) || hc.isCut(receiver)) {
		return
	}
	if hc.isCutBetween != nil && hc.isCutBetween(sender, receiver) {
		return
	}
	hc.at(hc.now+simulatedHostLatency, func() {
		if !receiver.stopped && hc.now >= receiver.startedAt {
			hc.apply(receiver, e)
		}
	})
}

// claim appends a claim of a host unless the store holds a newer one than the previous
// one, and delivers the newest claim to the host.
func (hc *hostCluster) claim(h *simulatedHost, previous int64) {
	if hc.goingBack != nil {
		hc.goingBack.claim(h, previous)
		return
	}
	if int64(len(hc.claims)) <= previous {
		hc.claims = append(hc.claims, ClaimRead{Number: int64(len(hc.claims)) + 1, Holder: h.self.ID, Incarnation: h.incarnation})
	}
	newest := hc.claims[len(hc.claims)-1]
	hc.at(hc.now+simulatedStoreLatency, func() {
		if !h.stopped {
			hc.apply(h, newest)
		}
	})
}

// runUntil runs the cluster until a time.
func (hc *hostCluster) runUntil(end time.Duration) {
	for len(hc.calls) > 0 && hc.calls[0].at <= end {
		c := heap.Pop(&hc.calls).(scheduledCall)
		hc.now = c.at
		c.run()
	}
	hc.now = end
}

// controllers returns the hosts that consider themselves the controller.
func (hc *hostCluster) controllers() []*simulatedHost {
	var found []*simulatedHost
	for _, h := range hc.hosts {
		if !h.stopped && h.coordinator.isController(hc.now-h.startedAt) {
			found = append(found, h)
		}
	}
	return found
}

// Pattern: hundreds of hosts, of which each hears another one only every few seconds.
// Control must stay where it is as long as its holder lives, and must move soon after the
// holder has ended.
func TestControlStaysWithManyHosts(t *testing.T) {
	for _, hosts := range []int{8, 295} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			hc := newHostCluster(uint64(hosts), hosts, 5)
			hc.loss = 0.01
			hc.runUntil(5 * time.Second)
			assertOneController(t, hc)
			claims := len(hc.claims)
			hc.runUntil(9 * time.Second)
			if got, want := len(hc.claims), claims; got != want {
				t.Errorf("got %d claims after 9 s, want the %d of the first 5 s", got, want)
			}
			assertOneController(t, hc)
		})
	}
}

func assertOneController(t *testing.T, hc *hostCluster) {
	t.Helper()
	controllers := hc.controllers()
	if got, want := len(controllers), 1; got != want {
		t.Errorf("got %d controllers at %v, want %d", got, hc.now, want)
		return
	}
	if got, want := controllers[0].self.Capacity, hc.highestCapacity(); got != want {
		t.Errorf("got a controller of capacity %d, want %d", got, want)
	}
}

// highestCapacity returns the capacity of the strongest live host.
func (hc *hostCluster) highestCapacity() int {
	highest := 0
	for _, h := range hc.hosts {
		if !h.stopped {
			highest = max(highest, h.self.Capacity)
		}
	}
	return highest
}

// Pattern: hundreds of hosts that all need the server list. Few of them read it, and a
// change of it reaches every live host within the time in which a leaving server must get
// no more requests.
func TestFewHostsReadTheList(t *testing.T) {
	const hosts, dataCentres = 295, 5
	hc := newHostCluster(3, hosts, dataCentres)
	hc.loss = 0.01
	hc.runUntil(5 * time.Second)
	reads := hc.listReads
	hc.runUntil(7 * time.Second)
	readsEach := int(2 * time.Second / simulatedListInterval)
	if got, want := hc.listReads-reads, (relaysPerDataCentre*dataCentres+1)*(readsEach+1); got > want {
		t.Errorf("got %d reads in 2 s, want at most %d", got, want)
	}
	t.Run("a leaving server", func(t *testing.T) {
		hc.setLeaving("app3")
		hc.runUntil(hc.now + 1500*time.Millisecond)
		assertLeaving(t, hc, "app3")
	})
	t.Run("a leaving server after the loss of all relays of a data centre", func(t *testing.T) {
		stopped := 0
		for _, h := range hc.hosts {
			if h.self.DataCentre == "dc1" && h.self.Capacity > 20 {
				h.stopped = true
				stopped++
			}
		}
		if stopped < relaysPerDataCentre {
			t.Fatalf("got %d strong hosts, want at least %d", stopped, relaysPerDataCentre)
		}
		hc.setLeaving("app4")
		hc.runUntil(hc.now + 4*time.Second)
		assertLeaving(t, hc, "app4")
	})
}

// Load: all of hundreds of hosts start at once, as after a loss of power, and each needs the servers, ten
// for each host with 300 bytes on the list. The store sends 80 MB a second. What hosts read of
// it, at first the whole list, stays below that, and soon every host knows the servers.
func TestFewHostsReadTheListAtTheStart(t *testing.T) {
	const storeBytesPerSecond, listBytesPerHost = 80_000_000, 3000
	for _, size := range []struct {
		hosts, dataCentres int
		knownAfter         time.Duration
	}{{295, 3, 2500 * time.Millisecond}, {295, 5, 2500 * time.Millisecond}, {91, 3, time.Second}, {8, 3, 200 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d hosts in %d data centres", size.hosts, size.dataCentres), func(t *testing.T) {
			hc := newHostCluster(4, size.hosts, size.dataCentres)
			hc.loss = 0.01
			for _, h := range hc.hosts {
				hc.registered = append(hc.registered, h.self)
			}
			const window = 500 * time.Millisecond
			for hc.now < simulatedStartSpread+size.knownAfter {
				before := hc.firstListReads
				hc.runUntil(hc.now + window)
				read := (hc.firstListReads - before) * size.hosts * listBytesPerHost
				if got, want := read, int(window.Seconds()*storeBytesPerSecond); got > want {
					t.Errorf("got %d bytes read in the %v before %v, want at most %d", got, window, hc.now, want)
				}
			}
			unaware := 0
			for _, h := range hc.hosts {
				if !h.coordinator.KnowsServers() || len(h.coordinator.servers) < len(hc.servers) {
					unaware++
				}
			}
			if got, want := unaware, 0; got != want {
				t.Errorf("got %d hosts without servers at %v, want %d", got, hc.now, want)
			}
		})
	}
}

// setLeaving lists a server as leaving.
func (hc *hostCluster) setLeaving(id fuchsiapitch.ServerID) {
	servers := slices.Clone(hc.servers)
	for n := range servers {
		if servers[n].ID == id {
			servers[n].Leaving = true
		}
	}
	hc.servers = servers
	hc.listVersion++
}

// assertLeaving checks that every live host knows that a server is leaving.
func assertLeaving(t *testing.T, hc *hostCluster, id fuchsiapitch.ServerID) {
	t.Helper()
	unaware := 0
	for _, h := range hc.hosts {
		if s, ok := h.coordinator.servers[id]; !h.stopped && (!ok || !s.report.Leaving) {
			unaware++
		}
	}
	if got, want := unaware, 0; got != want {
		t.Errorf("got %d hosts that do not know that %s leaves, want %d", got, id, want)
	}
}
