package grouper

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Group is one group of backend servers as the group stream records it.
type Group struct {
	// ID identifies the group. It stays when a member is replaced.
	ID fuchsiapitch.GroupID
	// Service is the service that the group serves.
	Service fuchsiapitch.ServiceName
	// Members are the backend servers, the leader first.
	Members []fuchsiapitch.ServerID
	// Model is the model to load.
	Model string
	// Version is the version of the model.
	Version string
	// Adapters are the adapters to load beside the model.
	Adapters []string
	// Fence is the fencing number of the newest assignment of the group.
	Fence fuchsiapitch.Fence
	// Draining states that the group takes no new requests.
	Draining bool
	// Previous is the version to return to when Version fails its first check,
	// "" when there is none.
	Previous string
}

// Assignment returns what the members of the group are ordered to take up.
func (g Group) Assignment() fuchsiapitch.Assignment {
	return fuchsiapitch.NewAssignment(g.ID, g.Service, g.Members, g.Model, g.Version, g.Adapters...)
}

// Matches reports whether an account names this very assignment: the same
// group, fencing number, members, model, version and adapters.
func (g Group) Matches(account fuchsiapitch.Account) bool {
	a := account.Assignment()
	return a.Group() == g.ID && account.Fence() == g.Fence &&
		a.Service() == g.Service && a.Model() == g.Model && a.Version() == g.Version &&
		slices.Equal(a.Members(), g.Members) && slices.Equal(a.Adapters(), g.Adapters)
}

// ChangeKind tells what a change does.
type ChangeKind int

// The kinds of change.
const (
	// Assign gives a group its members, model and version.
	Assign ChangeKind = iota + 1
	// Drain lets a group take no new requests.
	Drain
	// Disband frees the members of a group.
	Disband
	// Evict takes the right to claim from an entry host.
	Evict
	// Reject rules out a version of a service that failed its first check.
	Reject
)

// Change is one decision of a controller.
type Change struct {
	// Kind tells what the change does.
	Kind ChangeKind
	// Group is the group. Drain and Disband use its identifier only.
	Group Group
	// Host is the entry host that is evicted.
	Host fuchsiapitch.HostID
	// Service is the service whose version is ruled out.
	Service fuchsiapitch.ServiceName
	// Version is the version that is ruled out.
	Version string
}

// RecordKind tells what a record of the group stream states.
type RecordKind int

// The kinds of record.
const (
	// Join makes the writer an elector, which may claim.
	Join RecordKind = iota + 1
	// Claim makes the writer the controller of a new term.
	Claim
	// Renewal renews the lease of the controller and carries its changes.
	Renewal
	// Release ends the lease of the controller.
	Release
	// Checkpoint repeats the state after an offset.
	Checkpoint
)

// Record is one record of the group stream.
type Record struct {
	// ID identifies the record; a record that is appended twice keeps it.
	ID fuchsiapitch.RecordID
	// Kind tells what the record states.
	Kind RecordKind
	// Host is the writer.
	Host fuchsiapitch.HostID
	// Incarnation is the incarnation of the writer at its start.
	Incarnation uint64
	// Term is the term that a claim replaces, and the writer's own otherwise.
	Term fuchsiapitch.Term
	// Sequence numbers the records of a controller within its term, from 1.
	Sequence uint64
	// Read is the last offset that the controller had read when it wrote.
	Read fuchsiapitch.Offset
	// Changes are the decisions of the controller, in order.
	Changes []Change
	// State is the content of a checkpoint.
	State *Snapshot
}

// Entry is a record at its place in the stream.
type Entry struct {
	// Offset is the place of the record.
	Offset fuchsiapitch.Offset
	// Record is the record.
	Record Record
}

// Elector is an entry host that may claim.
type Elector struct {
	// Host is the entry host.
	Host fuchsiapitch.HostID
	// Incarnation is the incarnation that joined.
	Incarnation uint64
	// Joined is the offset of its join record.
	Joined fuchsiapitch.Offset
	// Since is the offset of the first join record of the host, of whatever
	// incarnation, since when it has been an elector all along.
	Since fuchsiapitch.Offset
}

// Rejection is a version of a service that failed its first check.
type Rejection struct {
	// Service is the service.
	Service fuchsiapitch.ServiceName
	// Version is the version.
	Version string
}

// Snapshot is the whole state of the stream after one offset.
type Snapshot struct {
	// Offset is the last offset that the state contains.
	Offset fuchsiapitch.Offset
	// Term is the current term, 0 before the first claim.
	Term fuchsiapitch.Term
	// Holder is the controller of the term.
	Holder fuchsiapitch.HostID
	// Incarnation is the incarnation of the controller.
	Incarnation uint64
	// Sequence is the highest sequence of the term.
	Sequence uint64
	// Acknowledged is the last offset that the controller stated to have read.
	Acknowledged fuchsiapitch.Offset
	// Released states that the controller gave up its lease.
	Released bool
	// Groups are the groups in the order of their identifiers.
	Groups []Group
	// Electors are the electors in the order of their identifiers.
	Electors []Elector
	// Rejections are the versions that are ruled out, in the order of services.
	Rejections []Rejection
}
