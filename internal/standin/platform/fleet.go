package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
)

// Fleet is a set of backend servers and the store that lists them.
type Fleet struct {
	store    *Store
	registry *engine.Registry
	mutex    sync.Mutex
	servers  map[string]*Server
	stop     chan struct{}
	done     chan struct{}
	broken   []string
	late     int
}

// lateTime is the time after which an order without an answer is carried out.
const lateTime = 200 * time.Millisecond

// DelayOrders has the next orders carried out late and not answered.
func (f *Fleet) DelayOrders(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.late = n
}

func (f *Fleet) takeDelay() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.late == 0 {
		return false
	}
	f.late--
	return true
}

// NewFleet returns an empty fleet and a function that ends it.
func NewFleet(store *Store) (*Fleet, func()) {
	f := &Fleet{store: store, registry: engine.NewRegistry(), servers: make(map[string]*Server), stop: make(chan struct{}), done: make(chan struct{})}
	go f.announce()
	return f, func() {
		close(f.stop)
		<-f.done
		for _, s := range f.all() {
			s.end()
		}
	}
}

// Add starts a server of a service, a model engine if it has a fabric domain.
func (f *Fleet) Add(id, service, domain string) (*Server, error) {
	s := &Server{
		fleet: f, id: id, service: service, domain: domain, born: time.Now().UnixMilli(), runs: application.NewLedger(),
		cuts: make(map[int64]context.CancelFunc),
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.servers[id] = s
	return s, nil
}

// Broken returns what the servers saw that must never be.
func (f *Fleet) Broken() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.broken)
}

func (f *Fleet) all() []*Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		list = append(list, s)
	}
	return list
}

// Server returns a server by its identifier, nil for none.
func (f *Fleet) Server(id string) *Server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers[id]
}

// Leaders returns the servers whose groups take requests.
func (f *Fleet) Leaders() []*Server {
	var leaders []*Server
	for _, s := range f.all() {
		if state, lost := s.status(); state == stateOpen && !lost {
			leaders = append(leaders, s)
		}
	}
	return leaders
}

// Whole returns the number of groups that take requests and whose members are all
// there.
func (f *Fleet) Whole() int {
	n := 0
	for _, leader := range f.Leaders() {
		group, epoch := leader.holds()
		whole := true
		for _, id := range leader.Members() {
			whole = whole && f.Server(id).isIn(group, epoch)
		}
		if whole {
			n++
		}
	}
	return n
}

// announce writes the entries of all servers that live.
func (f *Fleet) announce() {
	defer close(f.done)
	ticker := time.NewTicker(entryInterval)
	defer ticker.Stop()
	for {
		for _, s := range f.all() {
			if entry, ok := s.entry(); ok {
				f.store.put(serversTopic, s.id, entry)
			}
		}
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}
