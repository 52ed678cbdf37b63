// Package reducer holds every decision of an entry host behind one function:
// Apply takes the state and an event and returns effects as data. It is pure
// and single-threaded: it reads no clock, starts no goroutine and does no input
// or output. Package runner feeds it events and carries out its effects.
//
// Tokens never pass through the reducer, only the life-cycle events of
// requests do. The invariants of the system are asserted after every event.
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

// State is the whole state of one entry host.
type State struct {
	self       fuchsiapitch.HostID
	dataCentre fuchsiapitch.DataCentreName
	now        fuchsiapitch.Instant
	effects    []Effect
	stopping   bool

	configuration fuchsiapitch.Configuration
	following     configurationState

	members       *gossiper.Membership
	memberChanges uint64
	heartbeatDue  time.Duration

	groups        *grouper.Grouper
	groupReplicas []fuchsiapitch.Replica
	groupHosts    []fuchsiapitch.Host
	// pinned states that the replicas were set from outside.
	pinned bool

	replicas map[fuchsiapitch.ReplicaID]fuchsiapitch.Replica
	table    *router.Table
	routing  router.Policy
	overflow *router.Overflow
	loads    loads

	scheduler *scheduler.Scheduler
	limiter   *limiter.Limiter
	demands   []gossiper.CustomerDemand

	requests    map[fuchsiapitch.RequestID]*flight
	attempts    uint64
	retries     *limiter.RetryBudget
	retryBudget RetryBudget

	keys *keyState
}

// Option sets one optional property of a new state.
type Option func(*State)

// WithCandidates names the entry hosts to look for.
func WithCandidates(hosts ...fuchsiapitch.Host) Option {
	return func(s *State) { s.members = gossiper.New(s.members.Self(), hosts...) }
}

// WithScheduling sets options of the scheduler.
func WithScheduling(options ...scheduler.Option) Option {
	return func(s *State) { s.scheduler = scheduler.New(options...) }
}

// WithRouting sets the policy by which dispatchers are chosen.
func WithRouting(policy router.Policy) Option {
	return func(s *State) { s.routing = policy }
}

// New returns the state of an entry host that has just started.
func New(self fuchsiapitch.Host, options ...Option) *State {
	s := &State{
		self:       self.ID(),
		dataCentre: self.DataCentre(),
		replicas:   make(map[fuchsiapitch.ReplicaID]fuchsiapitch.Replica),
		members:    gossiper.New(self),
		groups:     grouper.New(self),
		overflow:   router.NewOverflow(),
		loads:      newLoads(),
		scheduler:  scheduler.New(),
		limiter:    limiter.New(self.ID()),
		retries:    limiter.NewRetryBudget(),
		requests:   make(map[fuchsiapitch.RequestID]*flight),
		following:  newConfigurationState(),
		keys:       newKeyState(),
	}
	s.retryBudget = s.retries
	for _, o := range options {
		o(s)
	}
	s.rebuildTable()
	return s
}

// Apply folds an event into the state and returns what is to be done.
func (s *State) Apply(now fuchsiapitch.Instant, event Event) []Effect {
	s.now = now
	s.effects = nil
	s.dispatch(event)
	s.schedule()
	s.check(event)
	return s.effects
}

func (s *State) dispatch(event Event) {
	switch e := event.(type) {
	case Ticked:
		s.tick()
	case RequestReceived, RequestOffered, RequestAbandoned, AttemptAnswered,
		AttemptProgressed, AttemptEnded, ForwardEnded, AnswerStored:
		s.observeAttempt(e)
		s.applyRequest(e)
	case HeartbeatReceived, HeartbeatFailed:
		s.applyMembership(e)
	case RecordsRead, ReadFailed, ReadTruncated, AppendEnded:
		s.applyLog(e)
	case StateFetched:
		s.takeState(e)
	case ServersListed, ServerReported, ServerSilent, OrderEnded:
		s.applyGroups(e)
	case FleetDescribed:
		s.describeFleet(e)
	case StopRequested:
		s.stop()
	}
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

// violate reports a state that must never occur.
func (s *State) violate(invariant, detail string) {
	s.emit(ReportViolation{Violation: &fuchsiapitch.InvariantError{Invariant: invariant, Detail: detail}})
}

func (s *State) tick() {
	s.tickMembership()
	s.tickConfiguration()
	s.tickGroups()
	s.tickKeys()
	s.wakeRequests()
}

// FleetDescribed sets the configuration and the replicas directly. Once it has
// brought replicas, this host neither forms groups nor watches them.
type FleetDescribed struct {
	// Configuration is the configuration to put in force.
	Configuration fuchsiapitch.Configuration
	// Replicas are the routable replicas of the data centre.
	Replicas []fuchsiapitch.Replica
}

func (FleetDescribed) event() {}

func (s *State) describeFleet(e FleetDescribed) {
	s.describeConfiguration(e.Configuration)
	s.setReplicas(e.Replicas)
	s.pinned = s.pinned || len(e.Replicas) > 0
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
	s.rebuildTable()
}

// rebuildTable assigns the replicas to the live hosts and gives this host's
// own to the scheduler.
func (s *State) rebuildTable() {
	replicas := make([]fuchsiapitch.Replica, 0, len(s.replicas))
	for _, id := range sortedKeys(s.replicas) {
		replicas = append(replicas, s.replicas[id])
	}
	s.table = router.NewTable(s.members.Live(), replicas, s.routing)
	s.scheduler.SetReplicas(s.table.Owned(s.self))
	s.adoptOrphans()
	s.coverRetries()
}

// Configuration returns the configuration in force.
func (s *State) Configuration() fuchsiapitch.Configuration { return s.configuration }

// Stopping reports whether the host is to stop.
func (s *State) Stopping() bool { return s.stopping }

// InFlight returns the number of requests that this host holds.
func (s *State) InFlight() int { return len(s.requests) }

// LiveHosts returns the entry hosts of the data centre that can dispatch.
func (s *State) LiveHosts() []fuchsiapitch.Host { return s.members.Live() }

// Routable returns the number of replicas of a service that this data centre
// routes to.
func (s *State) Routable(service fuchsiapitch.ServiceName) int {
	count := 0
	for _, r := range s.replicas {
		if r.Service() == service {
			count++
		}
	}
	return count
}
