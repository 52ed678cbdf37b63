package conductor

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// View is what a host believes at one moment, for operators. It is a plain record.
type View struct {
	Host fuchsiapitch.HostID
	// Version is that of the configuration in force, 0 for none.
	Version int64
	// Leads states that the host leads the groups; Holder is the host that does, by
	// the claim with the highest number.
	Leads      bool
	Holder     fuchsiapitch.HostID
	KnownClaim int64
	// ListAge is the time since the list of servers was read, and ListStale states
	// that the last read failed.
	ListAge   time.Duration
	ListStale bool
	Peers     []PeerView
	// Groups are those of the leader, if it is heard, or those that the list shows.
	Groups   []GroupLine
	Servers  []ServerView
	Stations []StationView
	Queues   []Queue
	Budgets  []BudgetView
}

// PeerView is what is known of another host. It is a plain record.
type PeerView struct {
	ID      fuchsiapitch.HostID
	Address string
	Live    bool
	Heard   time.Duration
	Version int64
}

// ServerView is what is known of one backend server. It is a plain record.
type ServerView struct {
	ID      fuchsiapitch.ServerID
	Service fuchsiapitch.ServiceName
	Domain  fuchsiapitch.FabricDomainName
	// Condition is usable, leaving, unlisted, lost, or replaced where another
	// incarnation or server answers at its address.
	Condition  string
	Membership fuchsiapitch.Membership
	// Model is the model of its last group, Staged those on its host.
	Model  string
	Staged []string
}

// StationView is one server that takes requests. It is a plain record.
type StationView struct {
	Server  fuchsiapitch.ServerID
	Service fuchsiapitch.ServiceName
	Model   string
	Open    bool
	// Slots are its places; Running and Elsewhere the requests of this host and of
	// the others.
	Slots, Running, Elsewhere int
}

// BudgetView is the budget for repeats of one service. It is a plain record.
type BudgetView struct {
	Service fuchsiapitch.ServiceName
	// Requests and Repeats are those of the window, Allowed the repeats that this
	// host may make.
	Requests, Repeats, Allowed float64
}

// View returns what the host believes.
func (c *Conductor) View(now time.Duration) View {
	v := View{
		Host: c.self.ID, Version: c.version(), Leads: c.leads(now), Holder: c.holder, KnownClaim: c.knownClaim,
		ListAge: now - c.listRead, ListStale: c.listStale,
	}
	for _, id := range sortedKeys(c.peers) {
		p := c.peers[id]
		v.Peers = append(v.Peers, PeerView{ID: id, Address: p.Address, Live: p.isLive(now), Heard: now - p.last, Version: p.beat.Version})
	}
	v.Groups, _ = c.openGroups(now)
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		v.Servers = append(v.Servers, ServerView{
			ID: id, Service: s.report.Service, Domain: s.report.Domain, Condition: s.condition(),
			Membership: s.report.Membership, Model: s.model, Staged: s.report.Staged,
		})
	}
	for _, id := range sortedKeys(c.stations) {
		s := c.stations[id]
		v.Stations = append(v.Stations, StationView{
			Server: id, Service: s.service, Model: s.model, Open: s.open, Slots: s.slots, Running: s.running, Elsewhere: s.remoteRunning,
		})
	}
	v.Queues = c.queues()
	if c.window <= 0 {
		return v
	}
	for _, name := range sortedKeys(c.spent) {
		requests, repeats := c.spentIn(now, name)
		v.Budgets = append(v.Budgets, BudgetView{Service: name, Requests: requests, Repeats: repeats, Allowed: c.allowed(requests)})
	}
	return v
}

// condition tells why a server may or may not take part in a new group.
func (s *server) condition() string {
	switch {
	case s.ended:
		return "replaced"
	case s.isLost():
		return "lost"
	case !s.listed:
		return "unlisted"
	case s.report.Leaving:
		return "leaving"
	}
	return "usable"
}
