package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
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
	// Rank is the priority class; 0 is the most urgent.
	Rank int
	// InputTokens is the length of the prompt, OutputTokens the expected length of the
	// answer.
	InputTokens, OutputTokens int
	// FirstByteBy is the time by which the first byte is due. After Deadline the answer
	// is of no use.
	FirstByteBy, Deadline time.Duration
	// MaxPause is the longest acceptable pause between two events of a stream, 0 for no
	// limit.
	MaxPause time.Duration
	// ReturnedAfterRefusal states that the caller is retrying after an earlier refusal.
	ReturnedAfterRefusal bool
	// IsRetry states that the request was sent to a server before.
	IsRetry bool
	// Resumed states that the caller already has part of the answer.
	Resumed bool
	// FailedServers are servers at which this request has failed.
	FailedServers []fuchsiapitch.ServerID
}

// AnswerStarted reports the first byte of an answer.
type AnswerStarted struct{ Ticket Ticket }

// TicketReleased reports that a slot is no longer used, or that the caller no longer
// waits for one.
type TicketReleased struct {
	// Ticket identifies the request.
	Ticket Ticket
	// FaultyServer is the server named as the cause of a failure, "" for none.
	FaultyServer fuchsiapitch.ServerID
	// Failed states that the server did not give a complete answer.
	Failed bool
	// Unreachable states that no connection to the server could be established.
	Unreachable bool
	// Misdirected states that another server answered at the address.
	Misdirected bool
}

// ServersListed reports a new state of the platform's server list.
type ServersListed struct {
	// Servers are all servers on the list.
	Servers []fuchsiapitch.ServerReport
}

// StoreReadFailed reports that the platform's store could not be read.
type StoreReadFailed struct{}

// ConfigurationChanged reports a new configuration.
type ConfigurationChanged struct{ Routes *fuchsiapitch.RouteTable }

// ProbeCompleted reports the result of probing a server.
type ProbeCompleted struct {
	Server fuchsiapitch.ServerID
	Report fuchsiapitch.ServerReport
	// IdentifiedAs is the server that answers at the probed address. It is asked only
	// if the report shows a later incarnation, and is "" if it was not asked or did not
	// answer.
	IdentifiedAs fuchsiapitch.ServerID
	// Err is the failure of the probe, nil for none.
	Err error
}

// OrderAnswered reports the answer to an order.
type OrderAnswered struct {
	Order  fuchsiapitch.GroupOrder
	Answer fuchsiapitch.OrderResult
}

// HeartbeatReceived reports a heartbeat from another host.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

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
	// LastByteTimes maps each server that is answering requests of this host to the
	// time of its last byte.
	LastByteTimes map[fuchsiapitch.ServerID]time.Duration
	// WasSuspended states that the process was suspended since the last tick.
	WasSuspended bool
}

// LimitsChanged reports changed limits in the settings.
type LimitsChanged struct {
	// StallTimeout is the time after which an engine gives up on a lost group member.
	StallTimeout time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all hosts together.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// HostStopping reports that the host is about to stop.
type HostStopping struct{}

func (RequestArrived) isEvent()       {}
func (AnswerStarted) isEvent()        {}
func (TicketReleased) isEvent()       {}
func (ServersListed) isEvent()        {}
func (StoreReadFailed) isEvent()      {}
func (ConfigurationChanged) isEvent() {}
func (ProbeCompleted) isEvent()       {}
func (OrderAnswered) isEvent()        {}
func (HeartbeatReceived) isEvent()    {}
func (PeersListed) isEvent()          {}
func (ClaimRead) isEvent()            {}
func (Ticked) isEvent()               {}
func (LimitsChanged) isEvent()        {}
func (HostStopping) isEvent()         {}

// Effect is an action for the caller of Apply. Effects are plain records.
type Effect interface{ isEffect() }

// Grant assigns a slot of a server to a ticket.
type Grant struct {
	Ticket  Ticket
	Server  fuchsiapitch.ServerID
	Address string
	// Urgency is the priority of the request at the engine; 0 is the most urgent.
	Urgency int
	// IsEngine states that the server is a model engine.
	IsEngine bool
}

// Refuse refuses a ticket.
type Refuse struct {
	Ticket Ticket
	// RetryAfter is the time after which a slot is likely to be free.
	RetryAfter time.Duration
	// Reason is the reason for the refusal.
	Reason RefusalReason
}

// Withdraw revokes a granted slot because its group is lost or silent.
type Withdraw struct{ Ticket Ticket }

// SendHeartbeat sends a heartbeat to other hosts.
type SendHeartbeat struct {
	Heartbeat Heartbeat
	Addresses []string
}

// ProbeServer requests a server's report.
type ProbeServer struct {
	Server  fuchsiapitch.ServerID
	Address string
	// KnownIncarnation is the last known incarnation of the server.
	KnownIncarnation int64
}

// SendOrder sends an order to a server.
type SendOrder struct{ Order fuchsiapitch.GroupOrder }

// ClaimControl appends a claim to the store by which this host becomes the controller.
type ClaimControl struct {
	// PreviousClaim is the number of the claim that the new one supersedes.
	PreviousClaim int64
}

// RereadConfiguration rereads the configuration, because another host has a later
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
	// Silence is how long this host has waited for a byte from the group, 0 if it has
	// no request in flight there.
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
func (Withdraw) isEffect()            {}
func (SendHeartbeat) isEffect()       {}
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
	// NoReplica states that no replica serves the service and model.
	NoReplica RefusalReason = iota + 1
	// Overloaded states that more urgent or earlier requests occupy the slots.
	Overloaded
	// TooLate states that the time limit has passed.
	TooLate
	// NoBudget states that the retry budget is exhausted.
	NoBudget
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
	}
	return "invalid"
}

// Peer identifies another host. It is a plain record.
type Peer struct {
	ID      fuchsiapitch.HostID
	Address string
}

// ServerLoad is the load that one host puts on one server. It is a plain record.
type ServerLoad struct {
	Server fuchsiapitch.ServerID
	// InFlight is the number of requests, UnreadTokens the total prompt length of those
	// whose answer has not started.
	InFlight, UnreadTokens int
	// SilentFor is how long the host has waited for a byte from the server.
	SilentFor time.Duration
}

// Queue is the number of requests queued at one host for one model. It is a plain
// record.
type Queue struct {
	Service fuchsiapitch.ServiceName
	Model   string
	Waiting int
}

// GroupStatus is the state of a group as the controller knows it. It is a plain record.
type GroupStatus struct {
	Ref    fuchsiapitch.GroupRef
	Model  string
	Leader fuchsiapitch.ServerID
	// Open states that the group accepts requests.
	Open bool
}

// Heartbeat is the periodic message of a host to its peers. It is a plain record.
type Heartbeat struct {
	From        Peer
	Incarnation int64
	// Claim is the number of the claim by which the sender is the controller, 0 if it
	// is not. KnownClaim is the highest claim number that the sender knows.
	Claim, KnownClaim int64
	// Successor is the host that a stopping controller hands its claim to, "" for none.
	// HandedOverClaim is that claim, and Formations the number of formations made under
	// it.
	Successor                   fuchsiapitch.HostID
	HandedOverClaim, Formations int64
	// ConfigurationVersion is the version of the sender's configuration, 0 for none.
	ConfigurationVersion int64
	// Eligible states that the sender may become the controller.
	Eligible bool
	// HasReceivedRequests states that the sender, or a peer live to it, has received a
	// request.
	HasReceivedRequests bool
	// Stopping states that the sender is about to stop.
	Stopping    bool
	ServerLoads []ServerLoad
	Queues      []Queue
	// Suspects are servers named as the cause of failures.
	Suspects []fuchsiapitch.ServerID
	// Groups are all groups, if the sender is the controller.
	Groups []GroupStatus
}
