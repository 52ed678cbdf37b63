package reducer

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
)

// pendingBytesLimit is the largest size of the pending records in a heartbeat.
const pendingBytesLimit = 8 << 10

// groupStream returns the stream of the groups of this data centre.
func (s *State) groupStream() fuchsiapitch.StreamName {
	return fuchsiapitch.StreamName(GroupStreamPrefix + string(s.dataCentre))
}

// applyGroups takes in reports on backend servers.
func (s *State) applyGroups(event Event) {
	switch e := event.(type) {
	case ServersListed:
		s.groups.ServersListed(e.Servers)
	case ServerReported:
		if !s.groups.ServerReported(s.now, e.Account) {
			// What only confirms waits for the next tick.
			return
		}
	case ServerSilent:
		s.groups.ServerUnresponsive(s.now, e.Server)
	case OrderEnded:
		s.endOrder(e)
	}
	s.stepGroups()
}

func (s *State) endOrder(e OrderEnded) {
	if e.Outcome == fuchsiapitch.Succeeded {
		s.groups.OrderEnded(s.now, e.Server, e.Fence, &e.Account)
		return
	}
	s.groups.OrderEnded(s.now, e.Server, e.Fence, nil)
}

// applyGroupLog folds the group stream of this data centre.
func (s *State) applyGroupLog(event Event) {
	if streamOf(event) != s.groupStream() {
		return
	}
	switch e := event.(type) {
	case RecordsRead:
		s.groups.RecordsRead(s.now, decodeEntries(e.Batch.Records()), e.Batch.Next())
	case ReadFailed:
		s.groups.ReadFailed()
	case ReadTruncated:
		s.groups.LogTruncated(e.Oldest)
	case AppendEnded:
		s.groups.AppendEnded(s.now, e.Record)
	}
	s.stepGroups()
}

// decodeEntries leaves out records that cannot be decoded. Every host leaves
// out the same ones.
func decodeEntries(records []fuchsiapitch.Record) []grouper.Entry {
	entries := make([]grouper.Entry, 0, len(records))
	for _, r := range records {
		if d, err := encoder.DecodeGroupRecord(r); err == nil {
			entries = append(entries, grouper.Entry{Offset: r.Offset(), Record: d})
		}
	}
	return entries
}

// tickGroups probes backend servers and acts as controller where this host is.
func (s *State) tickGroups() { s.stepGroups() }

// observeAttempt takes in what an attempt tells of its replica.
func (s *State) observeAttempt(event Event) {
	switch e := event.(type) {
	case AttemptAnswered:
		if f, ok := s.current(e.Request, e.Attempt); ok {
			s.groups.ApplicationAnswered(fuchsiapitch.ServerID(f.replica))
		}
	case AttemptProgressed:
		if f, ok := s.current(e.Request, e.Attempt); ok && e.Tokens > 0 {
			s.groups.StreamProgressed(s.now, f.replica)
		}
	case AttemptEnded:
		if f, ok := s.current(e.Request, e.Attempt); ok && !e.Stopped && (e.Outcome == fuchsiapitch.NotRun || e.Outcome == fuchsiapitch.Unknown) {
			s.doubtReplica(f.replica, e.Unreachable)
		}
	}
}

// doubtReplica takes a replica that was lost out of routing and has its servers
// asked at once.
func (s *State) doubtReplica(id fuchsiapitch.ReplicaID, unreachable bool) {
	if s.pinned {
		return
	}
	r, listed := s.replicas[id]
	switch {
	case listed && unreachable && r.Server().Kind() == fuchsiapitch.ApplicationServer:
		s.groups.ApplicationUnreachable(s.now, r.Server().ID())
	case listed && unreachable:
		s.groups.ServerUnresponsive(s.now, r.Server().ID())
	}
	s.groups.ReplicaFailed(id)
	s.groups.ScheduleProbes(s.now)
	s.carryOutGroups(s.groups.TakeActions())
	s.followGroups()
}

// hearGroups takes in what a heartbeat states about groups.
func (s *State) hearGroups(h gossiper.Heartbeat) {
	if h.From.DataCentre() != s.dataCentre {
		return
	}
	s.groups.PromiseReceived(s.now, h.From.ID(), h.Sequence, grouper.Promise{
		Term: h.Promise.Term, Wanted: h.Promise.Wanted, Remaining: h.Promise.Remaining,
		Incarnation: h.Promise.Incarnation, Echo: h.Promise.Echo,
	})
	if s.groups.Holder() == s.self {
		s.groups.RequestProbes(h.Broken)
	}
	var pending []grouper.Record
	for _, data := range h.Pending {
		if r, err := encoder.DecodeGroupRecord(fuchsiapitch.NewRecord("", data)); err == nil {
			pending = append(pending, r)
		}
	}
	if len(pending) > 0 {
		s.groups.PendingRecordsReceived(pending)
	}
}

// stateGroups adds what this host states about groups to its heartbeat.
func (s *State) stateGroups(h *gossiper.Heartbeat) {
	p := s.groups.HeartbeatPromise(s.now, h.Sequence)
	h.Promise = gossiper.Promise{
		Term: p.Term, Wanted: p.Wanted, Remaining: p.Remaining, Incarnation: p.Incarnation, Echo: p.Echo,
	}
	h.Broken = s.groups.FaultyMembers()
	size := 0
	for _, r := range s.groups.PendingRecords(s.now) {
		record, err := encoder.EncodeGroupRecord(r)
		if size += len(record.Data()); err != nil || size > pendingBytesLimit {
			return
		}
		h.Pending = append(h.Pending, record.Data())
	}
}

// stepGroups lets the grouper decide, carries out what it wants and follows the
// routable replicas. It does nothing once the replicas were set directly.
func (s *State) stepGroups() {
	if s.pinned {
		return
	}
	s.groups.Configure(s.configuration)
	s.followOwners()
	s.groups.SetBusyReplicas(s.runningReplicas())
	s.groups.Tick(s.now)
	s.carryOutGroups(s.groups.TakeActions())
	s.followGroups()
}

// followGroups sets the routable replicas when they have changed.
func (s *State) followGroups() {
	if s.pinned {
		return
	}
	if replicas := s.groups.RoutableReplicas(s.now); !slices.Equal(replicas, s.groupReplicas) {
		s.groupReplicas = replicas
		s.setReplicas(replicas)
	}
}

// followOwners sets the live hosts and the owners of the groups after a change of
// the live hosts.
func (s *State) followOwners() {
	live := s.members.Live()
	if slices.Equal(live, s.groupHosts) {
		return
	}
	s.groupHosts = live
	owned := make(map[fuchsiapitch.ReplicaID]bool)
	s.groups.SetHosts(live, func(r fuchsiapitch.ReplicaID) bool {
		own, known := owned[r]
		if !known {
			h, ok := router.Owner(live, r)
			own = ok && h.ID() == s.self
			owned[r] = own
		}
		return own
	})
}

func (s *State) runningReplicas() map[fuchsiapitch.ReplicaID]bool {
	running := make(map[fuchsiapitch.ReplicaID]bool)
	for _, f := range s.requests {
		if f.phase == attempting {
			running[f.replica] = true
		}
	}
	return running
}

// checkGroups asserts that requests start on whole replicas only.
func (s *State) checkGroups() {
	if s.pinned {
		return
	}
	for _, e := range s.effects {
		if start, ok := e.(StartAttempt); ok {
			s.groups.AssertReplicaWhole(start.Replica.ID())
		}
	}
	for _, b := range s.groups.TakeActions().Violations {
		s.violate(b.Invariant, b.Detail)
	}
}

func (s *State) carryOutGroups(a grouper.Actions) {
	if a.FollowFrom > 0 {
		s.emit(FollowStream{Stream: s.groupStream(), From: a.FollowFrom})
	}
	for _, r := range a.Appends {
		record, err := encoder.EncodeGroupRecord(r)
		if err != nil {
			s.violate("group-record", err.Error())
			continue
		}
		s.emit(AppendRecord{Stream: s.groupStream(), Record: record})
	}
	for _, b := range a.Probes {
		s.emit(ProbeServer{Server: b})
	}
	for _, o := range a.Orders {
		s.emit(GiveOrder{Server: o.Server, Order: o.Order, Expiry: o.Expiry})
	}
	for _, b := range a.Violations {
		s.violate(b.Invariant, b.Detail)
	}
	if a.SendHeartbeats {
		s.tellGroups()
	}
}

// tellGroups sends a heartbeat at once: the controller's to every host of the
// data centre, any other host's to the controller.
func (s *State) tellGroups() {
	holder := s.groups.Holder()
	for _, h := range s.members.Live() {
		if h.ID() != s.self && (holder == s.self || h.ID() == holder) {
			s.emit(SendHeartbeat{To: h, Heartbeat: s.ComposeHeartbeat()})
		}
	}
}

// Groups returns the state of the groups of the data centre for operators.
func (s *State) Groups() grouper.Status { return s.groups.Status(s.now) }

// GroupCounters returns the totals of the groups for metrics.
func (s *State) GroupCounters() grouper.Counters { return s.groups.Counters() }
