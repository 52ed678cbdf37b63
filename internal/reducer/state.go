// Package reducer makes every decision of an entry host in one function: Apply
// applies an event to the state and returns effects as data. It is
// deterministic and single-threaded: it reads no clock, starts no goroutine and
// does no I/O. Package runner passes events to it and carries out its effects.
//
// Only the life-cycle events of requests pass through the reducer, never their
// tokens. The invariants of the system are asserted after every event.
package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/limiter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
	"github.com/fuchsiapitch/fuchsiapitch/internal/scheduler"
)

// TickPeriod is the time between two Ticked events.
const TickPeriod = 100 * time.Millisecond

// State is the state of one entry host.
type State struct {
	self       fuchsiapitch.HostID
	dataCentre fuchsiapitch.DataCentreName
	now        fuchsiapitch.Instant
	effects    []Effect
	stopping   bool

	configuration fuchsiapitch.Configuration
	replication   configurationReplication

	members *gossiper.Membership
	// seenMemberChanges is the change count of the membership at the last
	// reassignment of the replicas.
	seenMemberChanges uint64
	nextHeartbeatAt   time.Duration

	groups *grouper.Grouper
	// routableReplicas are the replicas that the grouper last returned.
	routableReplicas []fuchsiapitch.Replica
	// groupLiveHosts are the live hosts that were last passed to the grouper.
	groupLiveHosts []fuchsiapitch.Host
	// replicasOverridden is true once FleetOverridden has set replicas.
	replicasOverridden bool

	replicas      map[fuchsiapitch.ReplicaID]fuchsiapitch.Replica
	routingTable  *router.RoutingTable
	routingPolicy router.Policy
	overflow      *router.Overflow
	loadTracker   loadTracker

	scheduler *scheduler.Scheduler
	limiter   *limiter.Limiter
	// demands are the customer demands for the heartbeats of the current period.
	demands []gossiper.CustomerDemand

	requests          map[fuchsiapitch.RequestID]*inFlightRequest
	lastAttemptNumber uint64
	// retryLimiter counts first attempts and slots. It is also the retryBudget,
	// unless a test replaces the latter.
	retryLimiter *limiter.RetryBudget
	retryBudget  RetryBudget

	keys *keyState
}

// Option configures a new state.
type Option func(*State)

// WithCandidates sets the entry hosts that this host tries to contact.
func WithCandidates(hosts ...fuchsiapitch.Host) Option {
	return func(s *State) { s.members = gossiper.New(s.members.Self(), hosts...) }
}

// WithSchedulerOptions sets options of the scheduler.
func WithSchedulerOptions(options ...scheduler.Option) Option {
	return func(s *State) { s.scheduler = scheduler.New(options...) }
}

// WithRoutingPolicy sets the policy by which dispatchers are chosen.
func WithRoutingPolicy(policy router.Policy) Option {
	return func(s *State) { s.routingPolicy = policy }
}

// New returns the state of an entry host that has just started.
func New(self fuchsiapitch.Host, options ...Option) *State {
	s := &State{
		self:         self.ID(),
		dataCentre:   self.DataCentre(),
		replicas:     make(map[fuchsiapitch.ReplicaID]fuchsiapitch.Replica),
		members:      gossiper.New(self),
		groups:       grouper.New(self),
		overflow:     router.NewOverflow(),
		loadTracker:  newLoadTracker(),
		scheduler:    scheduler.New(),
		limiter:      limiter.New(self.ID()),
		retryLimiter: limiter.NewRetryBudget(),
		requests:     make(map[fuchsiapitch.RequestID]*inFlightRequest),
		replication:  newConfigurationReplication(),
		keys:         newKeyState(),
	}
	s.retryBudget = s.retryLimiter
	for _, o := range options {
		o(s)
	}
	s.rebuildRoutingTable()
	return s
}

// Apply applies an event to the state and returns the effects to carry out.
func (s *State) Apply(now fuchsiapitch.Instant, event Event) []Effect {
	s.now = now
	s.effects = nil
	s.applyEvent(event)
	s.runScheduler()
	s.checkInvariants(event)
	return s.effects
}

func (s *State) applyEvent(event Event) {
	switch e := event.(type) {
	case Ticked:
		s.tick()
	case RequestReceived, ForwardedRequestReceived, RequestAbandoned, AttemptResponseStarted,
		AttemptProgressed, AttemptEnded, ForwardEnded, ResponseReceived:
		s.reportAttemptToGroups(e)
		s.applyRequestEvent(e)
	case HeartbeatReceived, HeartbeatFailed:
		s.applyMembershipEvent(e)
	case RecordsRead, ReadFailed, StreamTruncated, AppendEnded:
		s.applyLogEvent(e)
	case ConfigurationFetched:
		s.restoreConfiguration(e)
	case ServersListed, EngineStatusReceived, ProbeFailed, OrderEnded:
		s.applyServerEvent(e)
	case FleetOverridden:
		s.overrideFleet(e)
	case StopRequested:
		s.stop()
	}
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

// reportViolation reports the violation of an invariant.
func (s *State) reportViolation(invariant, detail string) {
	s.emit(ReportViolation{Violation: &fuchsiapitch.InvariantError{Invariant: invariant, Detail: detail}})
}

func (s *State) tick() {
	s.tickMembership()
	s.tickConfiguration()
	s.tickGroups()
	s.tickKeys()
	s.retryBackedOff()
}

// FleetOverridden sets the configuration and the replicas instead of the log
// and the grouper. Once it has set replicas, this host neither forms groups nor
// probes their members.
type FleetOverridden struct {
	// Configuration is the configuration to put in force.
	Configuration fuchsiapitch.Configuration
	// Replicas are the routable replicas of the data centre.
	Replicas []fuchsiapitch.Replica
}

func (FleetOverridden) event() {}

func (s *State) overrideFleet(e FleetOverridden) {
	s.overrideConfiguration(e.Configuration)
	s.setReplicas(e.Replicas)
	s.replicasOverridden = s.replicasOverridden || len(e.Replicas) > 0
}

// setConfiguration puts a configuration in force.
func (s *State) setConfiguration(configuration fuchsiapitch.Configuration) {
	s.configuration = configuration
	s.scheduler.Configure(configuration)
	s.limiter.Configure(configuration)
}

// setReplicas sets the routable replicas of the data centre.
func (s *State) setReplicas(replicas []fuchsiapitch.Replica) {
	clear(s.replicas)
	for _, r := range replicas {
		s.replicas[r.ID()] = r
	}
	s.rebuildRoutingTable()
}

// rebuildRoutingTable assigns the replicas to the live hosts and passes those of
// this host to the scheduler.
func (s *State) rebuildRoutingTable() {
	replicas := make([]fuchsiapitch.Replica, 0, len(s.replicas))
	for _, id := range sortedKeys(s.replicas) {
		replicas = append(replicas, s.replicas[id])
	}
	s.routingTable = router.NewRoutingTable(s.members.LiveHosts(), replicas, s.routingPolicy)
	s.scheduler.SetReplicas(s.routingTable.OwnedReplicas(s.self))
	s.redispatchOrphans()
	s.updateRetrySlots()
}

// Configuration returns the configuration in force.
func (s *State) Configuration() fuchsiapitch.Configuration { return s.configuration }

// Stopping reports whether this host is shutting down.
func (s *State) Stopping() bool { return s.stopping }

// InFlight returns the number of requests in flight at this host, including
// queued ones.
func (s *State) InFlight() int { return len(s.requests) }

// LiveHosts returns the entry hosts of the data centre that can dispatch.
func (s *State) LiveHosts() []fuchsiapitch.Host { return s.members.LiveHosts() }

// RoutableReplicas returns the number of replicas of a service to which this data
// centre routes requests. Requests for a replica without slots only wait for it, so it
// does not count.
func (s *State) RoutableReplicas(service fuchsiapitch.ServiceName) int {
	count := 0
	for _, r := range s.replicas {
		if r.Service() == service && r.Slots() > 0 {
			count++
		}
	}
	return count
}
