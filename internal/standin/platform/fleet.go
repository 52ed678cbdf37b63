package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

// Fleet is a set of backend servers that announce themselves in a store.
type Fleet struct {
	store          *Store
	registry       *engine.Registry
	mutex          sync.Mutex
	servers        map[string]*Server
	stopAnnouncing chan struct{}
	announcingDone chan struct{}
	violations     []string
	ordersToDelay  int
	notices        *noticeChecker
	lethal         *lethalChecker
	lastCrash      time.Time
	silences       []Silence
	operation      *operationChecker
}

// orderDelay is the time between the arrival and the execution of a delayed order.
const orderDelay = 200 * time.Millisecond

// DelayOrders delays the execution of the next n orders by orderDelay. Their connections
// are closed without a response.
func (f *Fleet) DelayOrders(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ordersToDelay = n
}

// consumeOrderDelay reports whether the order that has arrived is to be delayed, and
// decrements the counter that DelayOrders set.
func (f *Fleet) consumeOrderDelay() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.ordersToDelay == 0 {
		return false
	}
	f.ordersToDelay--
	return true
}

// StartFleet starts a fleet without servers. The returned function stops it.
func StartFleet(store *Store) (*Fleet, func()) {
	f := &Fleet{store: store, registry: engine.NewRegistry(), servers: make(map[string]*Server), stopAnnouncing: make(chan struct{}), announcingDone: make(chan struct{}), notices: newNoticeChecker(), lethal: newLethalChecker(), operation: newOperationChecker()}
	go f.announceServers()
	return f, func() {
		close(f.stopAnnouncing)
		<-f.announcingDone
		for _, s := range f.allServers() {
			s.shutDown()
		}
	}
}

// StartServer starts a server of a service and adds it to the fleet: a model engine if it
// has a fabric domain, else a plain server.
func (f *Fleet) StartServer(id, service, domain string) (*Server, error) {
	s := &Server{
		fleet: f, id: id, service: service, fabricDomain: domain, zone: defaultZone, startedUnixMillis: time.Now().UnixMilli(), ledger: application.NewLedger(),
		streamCancels: make(map[int64]context.CancelFunc), pauseEnds: make(map[string]time.Time),
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.servers[id] = s
	return s, nil
}

// Violations returns the violations of invariants that the servers detected, and those that
// Requester names.
func (f *Fleet) Violations() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.violations)
}

func (f *Fleet) recordViolation(violation string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.violations = append(f.violations, violation)
}

func (f *Fleet) recordCrash() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastCrash = time.Now()
}

func (f *Fleet) allServers() []*Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		list = append(list, s)
	}
	return list
}

// Server returns a server by its identifier, or nil if there is none.
func (f *Fleet) Server(id string) *Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers[id]
}

// OpenLeaders returns the leaders of the groups that accept requests.
func (f *Fleet) OpenLeaders() []*Server {
	var leaders []*Server
	for _, s := range f.allServers() {
		if state, lost := s.stateAndLoss(); state == stateOpen && !lost {
			leaders = append(leaders, s)
		}
	}
	return leaders
}

// CompleteGroups returns the number of groups that accept requests and have lost no
// member.
func (f *Fleet) CompleteGroups() int {
	n := 0
	for _, leader := range f.OpenLeaders() {
		group, epoch := leader.groupAndEpoch()
		isComplete := true
		for _, id := range leader.Members() {
			isComplete = isComplete && f.Server(id).isMemberOf(group, epoch)
		}
		if isComplete {
			n++
		}
	}
	return n
}

// announceServers periodically writes the entries of all servers that are listed.
func (f *Fleet) announceServers() {
	defer close(f.announcingDone)
	ticker := time.NewTicker(entryInterval)
	defer ticker.Stop()
	for {
		for _, s := range f.allServers() {
			s.announce()
		}
		select {
		case <-f.stopAnnouncing:
			return
		case <-ticker.C:
		}
	}
}
