package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/admitter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/apportioner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

// View is a snapshot of a host's state for operators. It is a plain record.
type View struct {
	Host fuchsiapitch.HostID
	// ConfigurationVersion is the version of the configuration in force, 0 for none.
	ConfigurationVersion int64
	// IsController is true if the host is the controller. ClaimHolder is the host with
	// the highest known claim, KnownClaim the number of that claim.
	IsController bool
	ClaimHolder  fuchsiapitch.HostID
	KnownClaim   int64
	// ListAge is the time since the server list was last read. ListStale is true if a
	// read has failed since.
	ListAge   time.Duration
	ListStale bool
	Peers     []PeerView
	// Groups are the groups that the controller announces, or those on the server list
	// if no controller is live.
	Groups   []GroupStatus
	Servers  []ServerView
	Replicas []ReplicaView
	Queues   []Queue
	// Pools are the pools of replicas whose requests are admitted by shares, and
	// ExcessCustomers the customers that send more than their usual.
	Pools           []PoolView
	ExcessCustomers []apportioner.Excess
	RetryBudgets    []RetryBudgetView
	// QuarantinedParts are the parts of prompts whose requests are refused.
	QuarantinedParts []quarantiner.Part
	// Evacuations are the data centres that the operator has evacuated or taken back.
	Evacuations []evacuator.News
}

// PeerView is the known state of another host. It is a plain record.
type PeerView struct {
	ID      fuchsiapitch.HostID
	Address string
	IsLive  bool
	// IsRelay is true if the host has lately sent a digest.
	IsRelay              bool
	SinceLastHeartbeat   time.Duration
	ConfigurationVersion int64
}

// ServerView is the known state of one backend server. It is a plain record.
type ServerView struct {
	ID      fuchsiapitch.ServerID
	Service fuchsiapitch.ServiceName
	Domain  fuchsiapitch.FabricDomainName
	// Condition is usable, leaving, unlisted, lost, or replaced if another incarnation
	// or another server responds at its address.
	Condition string
	// SaysLeaving is true if the server has stated itself that it leaves. PausedFor is how
	// long it gets no requests from this host because it asked for a pause.
	SaysLeaving bool
	PausedFor   time.Duration
	Membership  fuchsiapitch.Membership
	// LastModel is the model of the server's last group, StagedModels the models that
	// are staged on its host.
	LastModel    string
	StagedModels []string
}

// ReplicaView is the state of one server that accepts requests. It is a plain record.
type ReplicaView struct {
	Server  fuchsiapitch.ServerID
	Service fuchsiapitch.ServiceName
	Model   string
	Open    bool
	// LocalInFlight and RemoteInFlight are the numbers of requests that this host and
	// the other hosts have in flight there.
	Slots, LocalInFlight, RemoteInFlight int
	// ColdFor is how long the server counts as cold, NextSendIn after what time this host may
	// send it the next request if it is.
	ColdFor, NextSendIn time.Duration
}

// PoolView is the state of the replicas that serve the same requests. It is a plain record.
type PoolView struct {
	Service fuchsiapitch.ServiceName
	Model   string
	State   admitter.State
}

// RetryBudgetView is the state of the retry budget of one service. It is a plain
// record.
type RetryBudgetView struct {
	Service fuchsiapitch.ServiceName
	// Requests and Retries are the counts in the window. AllowedRetries is the number
	// of retries that this host may make in it.
	Requests, Retries, AllowedRetries float64
}

// View returns a snapshot of the state.
func (c *Coordinator) View(now time.Duration) View {
	v := View{
		Host: c.self.ID, ConfigurationVersion: c.configurationVersion(), IsController: c.isController(now), ClaimHolder: c.claimHolder, KnownClaim: c.knownClaim,
		ListAge: now - c.listReadAt, ListStale: c.listStale, QuarantinedParts: c.parts.QuarantinedParts(), Evacuations: c.evacuations.News(),
	}
	for _, id := range sortedKeys(c.peers) {
		p := c.peers[id]
		v.Peers = append(v.Peers, PeerView{ID: id, Address: p.Address, IsLive: c.isLive(p, now), IsRelay: p.hasDigest && now-p.lastDigestReceivedAt < peerTimeout, SinceLastHeartbeat: now - p.lastHeartbeatReceivedAt, ConfigurationVersion: max(p.lastHeartbeat.ConfigurationVersion, p.lastDigest.Sender.ConfigurationVersion)})
	}
	v.Groups, _ = c.knownGroups(now)
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		v.Servers = append(v.Servers, ServerView{
			ID: id, Service: s.report.Service, Domain: s.report.FabricDomain, Condition: s.condition(), SaysLeaving: s.saysLeaving, PausedFor: c.pausedFor(now, id),
			Membership: s.report.Membership, LastModel: s.lastModel, StagedModels: s.report.StagedModels,
		})
	}
	for _, id := range sortedKeys(c.replicas) {
		r := c.replicas[id]
		v.Replicas = append(v.Replicas, ReplicaView{
			Server: id, Service: r.service, Model: r.model, Open: r.open, Slots: r.slots, LocalInFlight: r.inFlight, RemoteInFlight: r.remoteInFlight,
			ColdFor: c.ramps.ColdFor(now, id), NextSendIn: max(0, c.rampUntil(r)-now),
		})
	}
	v.Queues = c.queueLengths(now)
	v.Pools, v.ExcessCustomers = c.poolViews(), c.customers.Excess(maxLoggedCustomers)
	if c.retryWindow <= 0 {
		return v
	}
	for _, name := range sortedKeys(c.retryUsages) {
		requests, retries := c.usageInWindow(now, name)
		v.RetryBudgets = append(v.RetryBudgets, RetryBudgetView{Service: name, Requests: requests, Retries: retries, AllowedRetries: c.allowedRetries(requests)})
	}
	return v
}

// condition returns the value of ServerView.Condition.
func (s *server) condition() string {
	switch {
	case s.replaced:
		return "replaced"
	case s.isLost():
		return "lost"
	case !s.listed:
		return "unlisted"
	case s.isLeaving():
		return "leaving"
	}
	return "usable"
}
