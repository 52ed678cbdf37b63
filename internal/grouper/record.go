package grouper

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Group is a group of backend servers as recorded in the group stream.
type Group struct {
	// ID identifies the group. It does not change when a member is replaced.
	ID      fuchsiapitch.GroupID
	Service fuchsiapitch.ServiceName
	// Members are the backend servers of the group. The first one is the leader.
	Members []fuchsiapitch.ServerID
	// Model is the model to load.
	Model string
	// Version is the version of the model.
	Version string
	// Adapters are the adapters to load with the model.
	Adapters []string
	// FencingToken is the fencing token of the group's latest assignment.
	FencingToken fuchsiapitch.FencingToken
	// Draining is true if the group takes no new requests.
	Draining bool
	// PreviousVersion is the version to return to if the rollout of Version fails,
	// "" for none.
	PreviousVersion string
}

// Assignment returns the assignment that the members are ordered to adopt.
func (g Group) Assignment() fuchsiapitch.Assignment {
	return fuchsiapitch.NewAssignment(g.ID, g.Service, g.Members, g.Model, g.Version, g.Adapters...)
}

// Matches reports whether a status contains exactly the assignment of the group:
// the same group, fencing token, service, members, model, version and adapters.
func (g Group) Matches(status fuchsiapitch.EngineStatus) bool {
	a := status.Assignment()
	return a.Group() == g.ID && status.FencingToken() == g.FencingToken &&
		a.Service() == g.Service && a.Model() == g.Model && a.Version() == g.Version &&
		slices.Equal(a.Members(), g.Members) && slices.Equal(a.Adapters(), g.Adapters)
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// The kinds of change.
const (
	// Assign sets the members, model, version and adapters of a group.
	Assign ChangeKind = iota + 1
	// Drain stops a group from taking new requests.
	Drain
	// Disband removes a group and frees its members.
	Disband
	// Evict removes an entry host from the electors.
	Evict
	// Reject rules out a version of a service whose rollout failed.
	Reject
)

// Change is one decision of the controller.
type Change struct {
	Kind ChangeKind
	// Group is the group to change. Only its identifier is used by Drain and
	// Disband.
	Group Group
	// Host is the entry host to evict.
	Host fuchsiapitch.HostID
	// Service is the service whose version is rejected.
	Service fuchsiapitch.ServiceName
	// Version is the rejected version.
	Version string
}

// RecordKind is the kind of a Record.
type RecordKind int

// The kinds of record.
const (
	// Join makes the writer an elector, which entitles it to claim.
	Join RecordKind = iota + 1
	// Claim makes the writer the controller of a new term.
	Claim
	// Renewal renews the controller's lease and carries its changes.
	Renewal
	// Release ends the controller's lease.
	Release
	// Checkpoint contains a snapshot of the state at an offset.
	Checkpoint
)

// Record is one record of the group stream.
type Record struct {
	// ID identifies the record. It stays the same if the record is appended twice.
	ID   fuchsiapitch.RecordID
	Kind RecordKind
	// Host is the writer.
	Host fuchsiapitch.HostID
	// Incarnation is the incarnation of the writer.
	Incarnation uint64
	// Term is the term that a claim replaces. In other records of a controller it
	// is the writer's own term, in joins and reinitialising checkpoints 0.
	Term fuchsiapitch.Term
	// Sequence numbers the records of a controller within its term, starting at 1.
	Sequence uint64
	// ReadOffset is the last offset that the writer had read when it wrote the
	// record.
	ReadOffset fuchsiapitch.Offset
	// Changes are the controller's decisions, in order.
	Changes []Change
	// CheckpointState is the snapshot in a checkpoint, nil in other records.
	CheckpointState *Snapshot
}

// Entry is a record with its offset in the stream.
type Entry struct {
	Offset fuchsiapitch.Offset
	Record Record
}

// Elector is an entry host that is entitled to claim and whose promise the
// controller needs.
type Elector struct {
	Host fuchsiapitch.HostID
	// Incarnation is the incarnation that joined last.
	Incarnation uint64
	// JoinOffset is the offset of the join record of that incarnation.
	JoinOffset fuchsiapitch.Offset
	// FirstJoinOffset is the offset of the first join record of the host, of any
	// incarnation, since which it has been an elector without a break.
	FirstJoinOffset fuchsiapitch.Offset
}

// Rejection is a version of a service whose rollout failed.
type Rejection struct {
	Service fuchsiapitch.ServiceName
	Version string
}

// Snapshot is the complete state of the stream after one offset.
type Snapshot struct {
	// Offset is the last offset that the state includes.
	Offset fuchsiapitch.Offset
	// Term is the current term, 0 before the first claim.
	Term fuchsiapitch.Term
	// Holder is the controller of the term.
	Holder fuchsiapitch.HostID
	// HolderIncarnation is the incarnation of the holder.
	HolderIncarnation uint64
	// Sequence is the highest sequence that was applied in the term.
	Sequence uint64
	// AcknowledgedOffset is the offset up to which the holder has reported that it
	// has read the stream.
	AcknowledgedOffset fuchsiapitch.Offset
	// LeaseReleased is true if the holder has released its lease.
	LeaseReleased bool
	// Groups are the groups ordered by identifier.
	Groups []Group
	// Electors are the electors ordered by host identifier.
	Electors []Elector
	// Rejections are the rejected versions ordered by service.
	Rejections []Rejection
}
