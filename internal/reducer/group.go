package reducer

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
)

// maxPendingRecordBytes is the largest total size of the pending group records
// in a heartbeat.
const maxPendingRecordBytes = 8 << 10

// groupStream returns the name of the group stream of this data centre.
func (s *State) groupStream() fuchsiapitch.StreamName {
	return fuchsiapitch.StreamName(GroupStreamPrefix + string(s.dataCentre))
}

// applyServerEvent applies an event about backend servers.
func (s *State) applyServerEvent(event Event) {
	switch e := event.(type) {
	case ServersListed:
		s.groups.ServersListed(e.Servers)
	case EngineStatusReceived:
		if !s.groups.ServerReported(s.now, e.Status) {
			// The status is unchanged, so the update can wait for the next tick.
			return
		}
	case ProbeFailed:
		s.groups.ServerUnresponsive(s.now, e.Server)
	case OrderEnded:
		s.endOrder(e)
	}
	s.updateGroups()
}

func (s *State) endOrder(e OrderEnded) {
	if e.Outcome == fuchsiapitch.OutcomeSucceeded {
		s.groups.OrderEnded(s.now, e.Server, e.FencingToken, &e.EngineStatus)
		return
	}
	s.groups.OrderEnded(s.now, e.Server, e.FencingToken, nil)
}

// applyGroupLogEvent applies a log event of the group stream of this data
// centre.
func (s *State) applyGroupLogEvent(event Event) {
	if streamOf(event) != s.groupStream() {
		return
	}
	switch e := event.(type) {
	case RecordsRead:
		s.groups.RecordsRead(s.now, decodeGroupEntries(e.Batch.Records()), e.Batch.NextOffset())
	case ReadFailed:
		s.groups.ReadFailed()
	case StreamTruncated:
		s.groups.LogTruncated(e.Oldest)
	case AppendEnded:
		s.groups.AppendEnded(s.now, e.Record)
	}
	s.updateGroups()
}

// decodeGroupEntries decodes group records and skips those that cannot be
// decoded. Every host skips the same records, so that all hosts reach the same
// state.
func decodeGroupEntries(records []fuchsiapitch.Record) []grouper.Entry {
	entries := make([]grouper.Entry, 0, len(records))
	for _, r := range records {
		if d, err := encoder.DecodeGroupRecord(r); err == nil {
			entries = append(entries, grouper.Entry{Offset: r.Offset(), Record: d})
		}
	}
	return entries
}

// tickGroups probes backend servers and, while this host holds the controller
// lease, runs the controller.
func (s *State) tickGroups() { s.updateGroups() }

// reportAttemptToGroups reports the progress and the failures of attempts to
// the grouper, which tracks the health of replicas.
func (s *State) reportAttemptToGroups(event Event) {
	switch e := event.(type) {
	case AttemptResponseStarted:
		if f, ok := s.currentRequest(e.Request, e.Attempt); ok {
			s.groups.ApplicationAnswered(fuchsiapitch.ServerID(f.replicaID))
		}
	case AttemptProgressed:
		if f, ok := s.currentRequest(e.Request, e.Attempt); ok && e.NewTokens > 0 {
			s.groups.StreamProgressed(s.now, f.replicaID)
		}
	case AttemptEnded:
		if f, ok := s.currentRequest(e.Request, e.Attempt); ok && !e.Preempted && (e.Outcome == fuchsiapitch.OutcomeNotRun || e.Outcome == fuchsiapitch.OutcomeUnknown) {
			s.suspectReplica(f.replicaID, e.ReplicaUnreachable)
		}
	}
}

// suspectReplica handles a replica that did not run a request or may have lost
// it. It probes the servers of the replica at once and, if the connection
// failed, removes the replica from routing.
func (s *State) suspectReplica(id fuchsiapitch.ReplicaID, unreachable bool) {
	if s.replicasOverridden {
		return
	}
	r, routable := s.replicas[id]
	switch {
	case routable && unreachable && r.Server().Kind() == fuchsiapitch.ApplicationServer:
		s.groups.ApplicationUnreachable(s.now, r.Server().ID())
	case routable && unreachable:
		s.groups.ServerUnresponsive(s.now, r.Server().ID())
	}
	s.groups.ReplicaFailed(id)
	s.groups.ScheduleProbes(s.now)
	s.emitGroupActions(s.groups.TakeActions())
	s.updateRoutableReplicas()
}

// applyGroupHeartbeat applies the lease promise, the faulty members and the
// pending group records in a heartbeat. Heartbeats of other data centres are
// ignored.
func (s *State) applyGroupHeartbeat(h gossiper.Heartbeat) {
	if h.Sender.DataCentre() != s.dataCentre {
		return
	}
	s.groups.PromiseReceived(s.now, h.Sender.ID(), h.Sequence, grouper.NoClaimPromise{
		Term: h.Promise.Term, Wanted: h.Promise.Wanted, Remaining: h.Promise.Remaining,
		Incarnation: h.Promise.Incarnation, Echo: h.Promise.Echo,
	})
	if s.groups.Holder() == s.self {
		s.groups.RequestProbes(h.FaultyMembers)
	}
	var pending []grouper.Record
	for _, data := range h.PendingRecords {
		if r, err := encoder.DecodeGroupRecord(fuchsiapitch.NewRecord("", data)); err == nil {
			pending = append(pending, r)
		}
	}
	if len(pending) > 0 {
		s.groups.PendingRecordsReceived(pending)
	}
}

// addGroupsToHeartbeat adds the lease promise, the faulty members and the
// pending group records of this host to a heartbeat.
func (s *State) addGroupsToHeartbeat(h *gossiper.Heartbeat) {
	p := s.groups.HeartbeatPromise(s.now, h.Sequence)
	h.Promise = gossiper.NoClaimPromise{
		Term: p.Term, Wanted: p.Wanted, Remaining: p.Remaining, Incarnation: p.Incarnation, Echo: p.Echo,
	}
	h.FaultyMembers = s.groups.FaultyMembers()
	size := 0
	for _, r := range s.groups.PendingRecords(s.now) {
		record, err := encoder.EncodeGroupRecord(r)
		if size += len(record.Data()); err != nil || size > maxPendingRecordBytes {
			return
		}
		h.PendingRecords = append(h.PendingRecords, record.Data())
	}
}

// updateGroups runs the grouper on the current state, emits its actions and
// updates the routable replicas. It does nothing once the replicas are overridden.
func (s *State) updateGroups() {
	if s.replicasOverridden {
		return
	}
	s.groups.Configure(s.configuration)
	s.updateGroupOwners()
	s.groups.SetBusyReplicas(s.runningReplicas())
	s.groups.Tick(s.now)
	s.emitGroupActions(s.groups.TakeActions())
	s.updateRoutableReplicas()
}

// updateRoutableReplicas applies the grouper's routable replicas if they have
// changed.
func (s *State) updateRoutableReplicas() {
	if s.replicasOverridden {
		return
	}
	if replicas := s.groups.RoutableReplicas(s.now); !slices.Equal(replicas, s.routableReplicas) {
		s.routableReplicas = replicas
		s.setReplicas(replicas)
	}
}

// updateGroupOwners passes the live hosts, and the replicas that this host
// dispatches for, to the grouper if the live hosts have changed.
func (s *State) updateGroupOwners() {
	live := s.members.LiveHosts()
	if slices.Equal(live, s.groupLiveHosts) {
		return
	}
	s.groupLiveHosts = live
	ownedByReplica := make(map[fuchsiapitch.ReplicaID]bool)
	s.groups.SetHosts(live, func(r fuchsiapitch.ReplicaID) bool {
		isOwner, cached := ownedByReplica[r]
		if !cached {
			h, ok := router.Owner(live, r)
			isOwner = ok && h.ID() == s.self
			ownedByReplica[r] = isOwner
		}
		return isOwner
	})
}

// runningReplicas returns the replicas with an attempt of this host in flight.
func (s *State) runningReplicas() map[fuchsiapitch.ReplicaID]bool {
	running := make(map[fuchsiapitch.ReplicaID]bool)
	for _, f := range s.requests {
		if f.phase == attempting {
			running[f.replicaID] = true
		}
	}
	return running
}

// checkGroups asserts that attempts start only on whole replicas, and reports the
// violations that the grouper has found.
func (s *State) checkGroups() {
	if s.replicasOverridden {
		return
	}
	for _, e := range s.effects {
		if start, ok := e.(StartAttempt); ok {
			s.groups.AssertReplicaWhole(start.Replica.ID())
		}
	}
	for _, v := range s.groups.TakeActions().Violations {
		s.reportViolation(v.Invariant, v.Detail)
	}
}

func (s *State) emitGroupActions(a grouper.Actions) {
	if a.FollowFrom > 0 {
		s.emit(FollowStream{Stream: s.groupStream(), From: a.FollowFrom})
	}
	for _, r := range a.Appends {
		record, err := encoder.EncodeGroupRecord(r)
		if err != nil {
			s.reportViolation("group-record", err.Error())
			continue
		}
		s.emit(AppendRecord{Stream: s.groupStream(), Record: record})
	}
	for _, b := range a.Probes {
		s.emit(ProbeServer{Server: b})
	}
	for _, o := range a.Orders {
		s.emit(SendOrder{Server: o.Server, Order: o.Order, LeaseExpiry: o.Expiry})
	}
	for _, v := range a.Violations {
		s.reportViolation(v.Invariant, v.Detail)
	}
	if a.SendHeartbeats {
		s.sendGroupHeartbeats()
	}
}

// sendGroupHeartbeats sends heartbeats before the next period is due: the
// controller sends them to every live host of the data centre, any other host
// to the controller.
func (s *State) sendGroupHeartbeats() {
	controller := s.groups.Holder()
	for _, h := range s.members.LiveHosts() {
		if h.ID() != s.self && (controller == s.self || h.ID() == controller) {
			s.emit(SendHeartbeat{To: h, Heartbeat: s.ComposeHeartbeat()})
		}
	}
}

// GroupStatus returns the state of the groups of the data centre for operators.
func (s *State) GroupStatus() grouper.Status { return s.groups.Status(s.now) }

// GroupCounters returns the counters of the grouper for metrics.
func (s *State) GroupCounters() grouper.Counters { return s.groups.Counters() }
