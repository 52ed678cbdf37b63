package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/apportioner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/ramper"
)

// Ticket identifies a request for a slot, from its arrival to its release, within one
// process.
type Ticket uint64

// Event is an input to the Coordinator. Events are plain records.
type Event interface{ isEvent() }

// RequestArrived is a request, or the remainder of a resumed one, that needs a slot.
type RequestArrived struct {
	// Ticket identifies the request for a slot.
	Ticket Ticket
	// Service and Model select the replicas; Model is "" for a plain service.
	Service fuchsiapitch.ServiceName
	Model   string
	// Rank is the priority class of the request; 0 is the most urgent.
	Rank int
	// Customer is the customer that sends the request, "" for none.
	Customer fuchsiapitch.CustomerName
	// Home is the set of regions whose replicas may get the request.
	Home confiner.Home
	// InputTokens is the length of the prompt, OutputTokens the expected length of the
	// response.
	InputTokens, OutputTokens int
	// FirstByteBy is the time by which the first byte is due. After Deadline the client
	// has no use for the response.
	FirstByteBy, Deadline time.Duration
	// MaxPause is the longest acceptable pause between two events of a stream, 0 for no
	// limit.
	MaxPause time.Duration
	// ReturnedAfterRefusal is true if the client sends the request again after a
	// refusal.
	ReturnedAfterRefusal bool
	// IsRetry is true if the request has been sent to a server before, HasAskedBefore if a slot
	// was requested for it before.
	IsRetry, HasAskedBefore bool
	// Resumed is true if the client already has part of the response.
	Resumed bool
	// MayMove is true if the request may be sent to another server while it runs, without
	// the loss of what its client has received.
	MayMove bool
	// PreviousTicket is the ticket of the last attempt of the request, 0 for none.
	PreviousTicket Ticket
	// Parts are the parts of the prompt that other requests may have as well.
	Parts []quarantiner.Part
	// FailedServers are servers at which this request has failed. If AvoidsFailedServers is true,
	// it waits for another one first.
	FailedServers       []fuchsiapitch.ServerID
	AvoidsFailedServers bool
}

// ResponseStarted reports the first byte of a response.
type ResponseStarted struct{ Ticket Ticket }

// TicketReleased reports that a request no longer uses its slot, or no longer needs
// one.
type TicketReleased struct {
	// Ticket identifies the request.
	Ticket Ticket
	// FaultyServer is the server named as the cause of a failure, "" for none.
	FaultyServer fuchsiapitch.ServerID
	// Failed is true if the server did not send a complete response.
	Failed bool
	// Unreachable is true if no connection to the server could be established.
	Unreachable bool
	// Misdirected is true if another server responded at the address.
	Misdirected bool
	// Complete is true if the complete response has arrived.
	Complete bool
	// ConnectionEnded is true if the server ended the connection before the response was
	// complete, or in a way that does not show whether it was.
	ConnectionEnded bool
}

// ServersListed reports a new state of the platform's server list.
type ServersListed struct {
	// Servers are all servers on the list.
	Servers []fuchsiapitch.ServerReport
	// Offset is the end of the list in the store.
	Offset int64
}

// ServersHeard reports the server list of another host, while this host cannot read it.
type ServersHeard struct {
	// Servers are all servers on the list.
	Servers []fuchsiapitch.ServerReport
	// Offset is the end of the list in the store.
	Offset int64
}

// StoreReadFailed reports that the platform's store could not be read.
type StoreReadFailed struct{}

// ConfigurationChanged reports a new configuration.
type ConfigurationChanged struct{ Routes *fuchsiapitch.RouteTable }

// ProbeCompleted reports the result of probing a server.
type ProbeCompleted struct {
	Server fuchsiapitch.ServerID
	Report fuchsiapitch.ServerReport
	// IdentifiedAs is the server that responds at the probed address. It is requested
	// only if the report shows a later incarnation, and is "" if it was not requested
	// or could not be obtained.
	IdentifiedAs fuchsiapitch.ServerID
	// Err is the error of the probe, nil if it succeeded.
	Err error
	// Silent is true if a connection was established and no response came in time.
	Silent bool
	// Unhealthy is true if the server, asked for its health, said that it is failing or
	// leaves.
	Unhealthy bool
	// Refused is true if the address refused the connection, since nobody listens there.
	Refused bool
}

// OrderResultReceived reports the result of an order.
type OrderResultReceived struct {
	Order  fuchsiapitch.GroupOrder
	Result fuchsiapitch.OrderResult
	// Silent is true if a connection was established and no response came in time.
	Silent bool
}

// HeartbeatReceived reports a heartbeat from another host.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// DigestReceived reports a digest from a relay.
type DigestReceived struct{ Digest Digest }

// PeersListed reports the hosts registered in the store.
type PeersListed struct{ Peers []Peer }

// ClaimRead reports a claim read from the store.
type ClaimRead struct {
	// Number is the position of the claim in its topic, counted from 1.
	Number int64
	// Holder is the host that claims to be the controller.
	Holder fuchsiapitch.HostID
	// Incarnation is the incarnation of the holder.
	Incarnation int64
}

// Ticked reports that time has passed.
type Ticked struct {
	// LastByteTimes maps each server with requests of this host in flight to the time
	// of its last byte.
	LastByteTimes map[fuchsiapitch.ServerID]time.Duration
	// WasSuspended is true if the process was suspended since the last tick. SuspendedFor is
	// for how long, during which the time of the events has not advanced.
	WasSuspended bool
	SuspendedFor time.Duration
}

// LimitsChanged reports changed limits in the settings.
type LimitsChanged struct {
	// StallTimeout is the time without a group member after which the engine breaks the
	// group.
	StallTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all hosts together.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Regions are the regions of the data centres.
	Regions confiner.Regions
	// ColdOver and ColdSlack bound the requests of all hosts to a cold server.
	ColdOver, ColdSlack float64
}

// HostStopping reports that the host is about to stop.
type HostStopping struct{}

func (RequestArrived) isEvent()       {}
func (ResponseStarted) isEvent()      {}
func (TicketReleased) isEvent()       {}
func (ServersListed) isEvent()        {}
func (ServersHeard) isEvent()         {}
func (StoreReadFailed) isEvent()      {}
func (ConfigurationChanged) isEvent() {}
func (ProbeCompleted) isEvent()       {}
func (OrderResultReceived) isEvent()  {}
func (HeartbeatReceived) isEvent()    {}
func (DigestReceived) isEvent()       {}
func (PeersListed) isEvent()          {}
func (ClaimRead) isEvent()            {}
func (Ticked) isEvent()               {}
func (LimitsChanged) isEvent()        {}
func (HostStopping) isEvent()         {}

// Effect is an action for the caller of Apply. Effects are plain records.
type Effect interface{ isEffect() }

// Grant gives a ticket a slot of a server.
type Grant struct {
	Ticket  Ticket
	Server  fuchsiapitch.ServerID
	Address string
	// Urgency is the priority of the request at the engine; 0 is the most urgent.
	Urgency int
	// IsEngine is true if the server is a model engine.
	IsEngine bool
}

// Refuse refuses a ticket a slot.
type Refuse struct {
	Ticket Ticket
	// RetryAfter is the time after which a slot is likely to be free.
	RetryAfter time.Duration
	// Reason is the reason for the refusal.
	Reason RefusalReason
}

// Revoke revokes a granted slot because its group has been dissolved or is silent, or
// because a part of the prompt of the request is quarantined.
type Revoke struct {
	Ticket      Ticket
	Quarantined bool
}

// SendHeartbeat sends a heartbeat to other hosts.
type SendHeartbeat struct {
	Heartbeat Heartbeat
	Addresses []string
}

// SendDigest sends a digest to the hosts that this host serves as a relay.
type SendDigest struct {
	Digest Digest
	// Groups is the group table for the recipients that lack it.
	Groups []GroupStatus
	// Directory is the directory for the recipients that lack it.
	Directory  []DirectoryEntry
	Recipients []DigestRecipient
}

// DigestRecipient is one recipient of a digest. It is a plain record.
type DigestRecipient struct {
	Address string
	// EchoedSequence replaces that of the digest.
	EchoedSequence uint64
	// NeedsGroups is true if the recipient lacks the group table, NeedsDirectory if it
	// lacks the directory.
	NeedsGroups, NeedsDirectory bool
}

// ProbeServer requests a server's report.
type ProbeServer struct {
	Server  fuchsiapitch.ServerID
	Address string
	// KnownIncarnation is the last known incarnation of the server.
	KnownIncarnation int64
	// ChecksHealth is true if the health of the server is requested as well.
	ChecksHealth bool
}

// SendOrder sends an order to a server.
type SendOrder struct{ Order fuchsiapitch.GroupOrder }

// ClaimControl appends a claim to the store by which this host becomes the controller.
type ClaimControl struct {
	// PreviousClaim is the number of the claim that the new one supersedes.
	PreviousClaim int64
}

// RereadConfiguration reads the configuration again, because another host has a later
// version.
type RereadConfiguration struct{}

// GroupOpened reports that a group accepts requests.
type GroupOpened struct {
	Group fuchsiapitch.GroupID
	Model string
	// Elapsed is the time since the group was planned or adopted.
	Elapsed time.Duration
}

// GroupLost reports that an open group is being dissolved because a member was lost.
type GroupLost struct {
	Group fuchsiapitch.GroupID
	Model string
	// Silence is the time without a byte from the group at this host, 0 if it has no
	// request in flight there.
	Silence time.Duration
}

// WriteLog writes a log line.
type WriteLog struct {
	// Message is the text of the line.
	Message string
	// Fields are the structured fields of the line.
	Fields map[string]any
}

func (Grant) isEffect()               {}
func (Refuse) isEffect()              {}
func (Revoke) isEffect()              {}
func (SendHeartbeat) isEffect()       {}
func (SendDigest) isEffect()          {}
func (ProbeServer) isEffect()         {}
func (SendOrder) isEffect()           {}
func (ClaimControl) isEffect()        {}
func (RereadConfiguration) isEffect() {}
func (GroupOpened) isEffect()         {}
func (GroupLost) isEffect()           {}
func (WriteLog) isEffect()            {}

// RefusalReason is the reason for which a request got no slot.
type RefusalReason int

const (
	// NoReplica means that no replica serves the service and model.
	NoReplica RefusalReason = iota + 1
	// Overloaded means that no slot would become free in time, because more urgent or
	// earlier requests occupy them.
	Overloaded
	// TooLate means that the time limit of the request has passed.
	TooLate
	// NoBudget means that the retry budget is exhausted.
	NoBudget
	// Paused means that all replicas want no requests from this host until it is too late.
	Paused
	// Quarantined means that requests with the same part in their prompts end servers.
	Quarantined
	// Evacuated means that no replica serves the service and model but in evacuated data centres.
	Evacuated
	// NoHome means that replicas serve the request only in regions that it may not use.
	NoHome
)

// String returns the reason in kebab case.
func (r RefusalReason) String() string {
	switch r {
	case NoReplica:
		return "no-replica"
	case Overloaded:
		return "overloaded"
	case TooLate:
		return "too-late"
	case NoBudget:
		return "no-budget"
	case Paused:
		return "paused"
	case Quarantined:
		return "quarantined"
	case Evacuated:
		return "evacuated"
	case NoHome:
		return "no-home"
	}
	return "invalid"
}

// Peer identifies another host. It is a plain record.
type Peer struct {
	ID         fuchsiapitch.HostID
	Address    string
	DataCentre fuchsiapitch.DataCentreName
	// Capacity ranks the hosts for control and relaying; the strongest have the highest.
	Capacity int
}

// ServerLoad is the load that one host puts on one server. It is a plain record.
type ServerLoad struct {
	Server fuchsiapitch.ServerID
	// InFlight is the number of requests that the host has in flight at the server,
	// UnreadTokens the total prompt length of those whose response has not started.
	InFlight, UnreadTokens int
	// Pinned is the number of those requests that cannot go on at another server: they have
	// no attempt left, the host no retry, or no other server works.
	Pinned int
	// SilentFor is the time without a byte from the server at the host.
	SilentFor time.Duration
}

// Queue describes the requests of one rank at one host for one model. It is a plain record.
type Queue struct {
	Service fuchsiapitch.ServiceName
	Model   string
	Rank    int
	// Home is the set of regions to which the queued requests are confined.
	Home confiner.Home
	// Length is the number of queued requests, Arrivals the number of those that have
	// arrived recently, in a cluster with relays, and Returned the number of the latter that
	// came back after a refusal. Completed is the number of requests that have recently ended
	// at a server.
	Length, Arrivals, Returned, Completed int
}

// LeavingServer is one incarnation of a server that leaves. It is a plain record.
type LeavingServer struct {
	Server            fuchsiapitch.ServerID
	StartedUnixMillis int64
}

// GroupStatus is the state of a group as the controller announces it. It is a plain
// record.
type GroupStatus struct {
	Ref    fuchsiapitch.GroupRef
	Model  string
	Leader fuchsiapitch.ServerID
	// Open is true if the group accepts requests.
	Open bool
	// Unresponsive is true if a member does not respond, and the group is kept only for the
	// requests that cannot go on elsewhere.
	Unresponsive bool
}

// Heartbeat is the periodic message of a host to its peers. It is a plain record.
type Heartbeat struct {
	From        Peer
	Incarnation int64
	// Sequence numbers the heartbeats of one incarnation.
	Sequence uint64
	// Claim is the number of the claim by which the sender is the controller, 0 if it
	// is not. KnownClaim is the highest claim number that the sender knows.
	Claim, KnownClaim int64
	// Successor is the host that a stopping controller hands its claim to, "" for none.
	// HandedOverClaim is that claim, and FormationCount the number of formations
	// planned under it.
	Successor                       fuchsiapitch.HostID
	HandedOverClaim, FormationCount int64
	// ConfigurationVersion is the version of the sender's configuration, 0 for none.
	ConfigurationVersion int64
	// Eligible is true if the sender may become the controller.
	Eligible bool
	// HasReceivedRequests is true once the sender, or a peer that it considers live,
	// has received a request.
	HasReceivedRequests bool
	// Stopping is true if the sender is about to stop.
	Stopping    bool
	ServerLoads []ServerLoad
	Queues      []Queue
	// Customers are the customers with the most recent requests, in a cluster with relays.
	Customers []apportioner.Arrivals
	// Suspects are the servers that failed requests of the sender have named as the
	// cause.
	Suspects []fuchsiapitch.ServerID
	// LeavingServers are servers that have lately stated to the sender that they leave, at
	// most maxLeavingServers.
	LeavingServers []LeavingServer
	// Evacuations are the data centres that the operator has evacuated or taken back, and
	// ColdServers the servers that are cold, as far as the sender knows.
	Evacuations []evacuator.News
	ColdServers []ramper.News
	// Parts is what the sender tells of parts of prompts and servers that have ended.
	Parts quarantiner.Message
	// GroupsVersion is the version of the group table that the sender knows. Groups is
	// that table, nil if the recipient is known to have it.
	GroupsVersion GroupsVersion
	Groups        []GroupStatus
	// DirectoryVersion is the version of the directory that the sender knows.
	DirectoryVersion uint64
}

// Digest is the periodic message of a relay. It is a plain record.
type Digest struct {
	// Sender is the heartbeat of the relay. Its loads, queues, suspects and leaving servers
	// are those of all hosts that the digest covers.
	Sender Heartbeat
	// IsDataCentreOnly is true if only the data centre of the relay is covered.
	IsDataCentreOnly bool
	// HostCount is the number of live hosts that are covered.
	HostCount int
	// BestCandidate is the strongest of them that may become the controller, with an
	// empty ID for none.
	BestCandidate Peer
	// Holder is the host that holds the claim HolderClaim, and HolderSilentFor the time
	// since its last heartbeat.
	Holder          fuchsiapitch.HostID
	HolderClaim     int64
	HolderSilentFor time.Duration
	// EchoedSequence is the last heartbeat of the recipient that the sums contain, 0
	// for none.
	EchoedSequence uint64
	// ListOffset is the end of the server list that the relay's directory is made from,
	// and ListAge the time since it read that list.
	ListOffset int64
	ListAge    time.Duration
	// Directory is the relay's directory, nil if the recipient is known to have it.
	Directory []DirectoryEntry
}
