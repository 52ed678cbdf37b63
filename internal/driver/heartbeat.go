package driver

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/apportioner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

// encodeHeartbeat encodes a heartbeat in its wire format.
func encodeHeartbeat(b coordinator.Heartbeat) ([]byte, error) {
	return proto.Marshal(&wire.HostDatagram{Body: &wire.HostDatagram_Heartbeat{Heartbeat: encodeStatus(b)}})
}

// encodeDigest encodes a digest in its wire format.
func encodeDigest(d coordinator.Digest) ([]byte, error) {
	w := &wire.HostDigest{
		Sender: encodeStatus(d.Sender), IsDataCentreOnly: d.IsDataCentreOnly, HostCount: toUint32(d.HostCount), BestCandidate: encodePeer(d.BestCandidate),
		Holder: string(d.Holder), HolderClaim: d.HolderClaim, HolderSilentMs: toUint32(int(d.HolderSilentFor.Milliseconds())), EchoedSequence: d.EchoedSequence,
		ListOffset: d.ListOffset, ListAgeMs: toUint32(int(d.ListAge.Milliseconds())),
	}
	for _, e := range d.Directory {
		w.Directory = append(w.Directory, &wire.DirectoryEntry{
			Server: string(e.Server), Service: string(e.Service), Address: e.Address, DataCentre: string(e.DataCentre),
			Slots: toUint32(e.Slots), Leaving: e.Leaving, StartedUnixMs: e.StartedUnixMillis,
		})
	}
	return proto.Marshal(&wire.HostDatagram{Body: &wire.HostDatagram_Digest{Digest: w}})
}

// encodeEcho encodes what differs between the recipients of one digest. Appended to the
// digest, it sets the sequence: the fields of concatenated messages are merged.
func encodeEcho(sequence uint64) ([]byte, error) {
	return proto.Marshal(&wire.HostDatagram{Body: &wire.HostDatagram_Digest{Digest: &wire.HostDigest{EchoedSequence: sequence}}})
}

func encodePeer(p coordinator.Peer) *wire.EntryHost {
	return &wire.EntryHost{Id: string(p.ID), Address: p.Address, DataCentre: string(p.DataCentre), Capacity: toUint32(p.Capacity)}
}

func decodePeer(w *wire.EntryHost) coordinator.Peer {
	return coordinator.Peer{
		ID: fuchsiapitch.HostID(w.GetId()), Address: w.GetAddress(), DataCentre: fuchsiapitch.DataCentreName(w.GetDataCentre()), Capacity: int(w.GetCapacity()),
	}
}

// toUint32 converts a count, limited to the range of the type.
func toUint32(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) } //nolint:gosec // The range is checked.

// encodeStatus converts a heartbeat to its wire message.
func encodeStatus(b coordinator.Heartbeat) *wire.HostStatus {
	w := &wire.HostStatus{
		From: encodePeer(b.From), Incarnation: b.Incarnation, Sequence: b.Sequence, Claim: b.Claim, KnownClaim: b.KnownClaim,
		Successor: string(b.Successor), HandedOverClaim: b.HandedOverClaim, FormationCount: b.FormationCount,
		ConfigurationVersion: b.ConfigurationVersion, Eligible: b.Eligible, HasReceivedRequests: b.HasReceivedRequests, Stopping: b.Stopping,
		GroupsClaim: b.GroupsVersion.Claim, GroupsRevision: b.GroupsVersion.Revision, DirectoryVersion: b.DirectoryVersion,
	}
	for _, l := range b.ServerLoads {
		w.Loads = append(w.Loads, &wire.ReplicaLoad{
			Server: string(l.Server), InFlight: toUint32(l.InFlight), UnreadTokens: toUint32(l.UnreadTokens), SilentMs: toUint32(int(l.SilentFor.Milliseconds())),
			Pinned: toUint32(l.Pinned),
		})
	}
	for _, q := range b.Queues {
		w.Queues = append(w.Queues, &wire.ReplicaQueue{Service: string(q.Service), Model: q.Model, Rank: toUint32(q.Rank), Length: toUint32(q.Length), Arrivals: toUint32(q.Arrivals), Returned: toUint32(q.Returned), Completed: toUint32(q.Completed), Home: string(q.Home)})
	}
	for _, a := range b.Customers {
		w.Customers = append(w.Customers, &wire.CustomerArrivals{Customer: uint32(a.Customer), Count: toUint32(a.Count)})
	}
	for _, s := range b.Suspects {
		w.Suspects = append(w.Suspects, string(s))
	}
	for _, l := range b.LeavingServers {
		w.LeavingServers = append(w.LeavingServers, &wire.LeavingServer{Server: string(l.Server), StartedUnixMs: l.StartedUnixMillis})
	}
	encodeOperation(b, w)
	encodeParts(b.Parts, w)
	for _, g := range b.Groups {
		w.Groups = append(w.Groups, &wire.GroupEntry{Name: string(g.Ref.Name), Epoch: g.Ref.Epoch, Model: g.Model, Leader: string(g.Leader), Open: g.Open, Unresponsive: g.Unresponsive})
	}
	return w
}

// decodeStatus returns the heartbeat in a wire message.
func decodeStatus(w *wire.HostStatus) coordinator.Heartbeat {
	b := coordinator.Heartbeat{
		From: decodePeer(w.GetFrom()), Incarnation: w.GetIncarnation(), Sequence: w.GetSequence(), Claim: w.GetClaim(), KnownClaim: w.GetKnownClaim(),
		Successor: fuchsiapitch.HostID(w.GetSuccessor()), HandedOverClaim: w.GetHandedOverClaim(), FormationCount: w.GetFormationCount(),
		ConfigurationVersion: w.GetConfigurationVersion(), Eligible: w.GetEligible(), HasReceivedRequests: w.GetHasReceivedRequests(), Stopping: w.GetStopping(),
		GroupsVersion: coordinator.GroupsVersion{Claim: w.GetGroupsClaim(), Revision: w.GetGroupsRevision()}, DirectoryVersion: w.GetDirectoryVersion(),
	}
	for _, l := range w.GetLoads() {
		b.ServerLoads = append(b.ServerLoads, coordinator.ServerLoad{
			Server: fuchsiapitch.ServerID(l.GetServer()), InFlight: int(l.GetInFlight()), UnreadTokens: int(l.GetUnreadTokens()),
			SilentFor: time.Duration(l.GetSilentMs()) * time.Millisecond, Pinned: int(l.GetPinned()),
		})
	}
	for _, q := range w.GetQueues() {
		home, ok := confiner.Parse(q.GetHome())
		if !ok {
			continue
		}
		b.Queues = append(b.Queues, coordinator.Queue{Service: fuchsiapitch.ServiceName(q.GetService()), Model: q.GetModel(), Rank: int(q.GetRank()), Length: int(q.GetLength()), Arrivals: int(q.GetArrivals()), Returned: int(q.GetReturned()), Completed: int(q.GetCompleted()), Home: home})
	}
	for _, a := range w.GetCustomers() {
		b.Customers = append(b.Customers, apportioner.Arrivals{Customer: apportioner.Key(a.GetCustomer()), Count: int(a.GetCount())})
	}
	for _, s := range w.GetSuspects() {
		b.Suspects = append(b.Suspects, fuchsiapitch.ServerID(s))
	}
	for _, l := range w.GetLeavingServers() {
		b.LeavingServers = append(b.LeavingServers, coordinator.LeavingServer{Server: fuchsiapitch.ServerID(l.GetServer()), StartedUnixMillis: l.GetStartedUnixMs()})
	}
	decodeOperation(w, &b)
	b.Parts = decodeParts(w)
	for _, g := range w.GetGroups() {
		b.Groups = append(b.Groups, coordinator.GroupStatus{
			Ref:   fuchsiapitch.GroupRef{Name: fuchsiapitch.GroupID(g.GetName()), Epoch: g.GetEpoch()},
			Model: g.GetModel(), Leader: fuchsiapitch.ServerID(g.GetLeader()), Open: g.GetOpen(), Unresponsive: g.GetUnresponsive(),
		})
	}
	return b
}

// decodeDatagram decodes a heartbeat or a digest into its event. Its error is a
// HeartbeatError.
func decodeDatagram(data []byte) (coordinator.Event, error) {
	var datagram wire.HostDatagram
	if err := proto.Unmarshal(data, &datagram); err != nil {
		return nil, &HeartbeatError{Err: err}
	}
	if w := datagram.GetHeartbeat(); w.GetFrom().GetId() != "" {
		return coordinator.HeartbeatReceived{Heartbeat: decodeStatus(w)}, nil
	}
	w := datagram.GetDigest()
	if w.GetSender().GetFrom().GetId() == "" {
		return nil, &HeartbeatError{Err: &MissingSenderError{}}
	}
	d := coordinator.Digest{
		Sender: decodeStatus(w.GetSender()), IsDataCentreOnly: w.GetIsDataCentreOnly(), HostCount: int(w.GetHostCount()), BestCandidate: decodePeer(w.GetBestCandidate()),
		Holder: fuchsiapitch.HostID(w.GetHolder()), HolderClaim: w.GetHolderClaim(), HolderSilentFor: time.Duration(w.GetHolderSilentMs()) * time.Millisecond,
		EchoedSequence: w.GetEchoedSequence(), ListOffset: w.GetListOffset(), ListAge: time.Duration(w.GetListAgeMs()) * time.Millisecond,
	}
	for _, e := range w.GetDirectory() {
		d.Directory = append(d.Directory, coordinator.DirectoryEntry{
			Server: fuchsiapitch.ServerID(e.GetServer()), Service: fuchsiapitch.ServiceName(e.GetService()), Address: e.GetAddress(),
			DataCentre: fuchsiapitch.DataCentreName(e.GetDataCentre()), Slots: int(e.GetSlots()), Leaving: e.GetLeaving(), StartedUnixMillis: e.GetStartedUnixMs(),
		})
	}
	return coordinator.DigestReceived{Digest: d}, nil
}
