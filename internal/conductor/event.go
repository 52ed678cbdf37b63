package conductor

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Ticket identifies one wait for a place within one process.
type Ticket uint64

// Event is something that has happened. Events are plain records.
type Event interface{ isEvent() }

// Arrived is a request, or the rest of one, that needs a place.
type Arrived struct {
	// Ticket identifies the wait.
	Ticket Ticket
	// Service and Model are what is asked for; Model is "" for a plain service.
	Service fuchsiapitch.ServiceName
	Model   string
	// Rank is the urgency; 0 is first.
	Rank int
	// Prompt is the number of tokens to read, Output the number expected to be
	// written.
	Prompt, Output int
	// InTime is the time by which the answer must begin, and Deadline that after
	// which it is of no use.
	InTime, Deadline time.Duration
	// Pause is the longest pause between two events that is in time, 0 for any.
	Pause time.Duration
	// Returned states that the caller was refused before and has come back.
	Returned bool
	// Repeat states that the request was sent to a server before.
	Repeat bool
	// Resumed states that the caller has part of the answer.
	Resumed bool
	// Avoid are servers that have failed this request.
	Avoid []fuchsiapitch.ServerID
}

// Began is the first byte of an answer.
type Began struct{ Ticket Ticket }

// Ended is the end of the use of a place, or of the wait for one.
type Ended struct {
	// Ticket identifies the place.
	Ticket Ticket
	// Fault is a server that was named as the cause of a failure.
	Fault fuchsiapitch.ServerID
	// Failed states that the server gave no whole answer.
	Failed bool
	// Unreached states that it could not be connected to.
	Unreached bool
	// Misdirected states that it is not what the request was sent to.
	Misdirected bool
}

// ServersListed is a new state of the platform's list of servers.
type ServersListed struct {
	// Servers are all servers of the list.
	Servers []fuchsiapitch.ServerReport
}

// StoreFailed states that the platform's store could not be read.
type StoreFailed struct{}

// Configured is a new configuration.
type Configured struct{ Table *fuchsiapitch.RouteTable }

// Reported is the answer of a server to a question for its report.
type Reported struct {
	Server fuchsiapitch.ServerID
	Report fuchsiapitch.ServerReport
	// Named is the server that says to stand at the address, empty if it was not
	// asked or did not say. It is asked when the report tells of a later start.
	Named fuchsiapitch.ServerID
	// Err is the failure, nil for none.
	Err error
}

// Ordered is the answer to an order.
type Ordered struct {
	Order  fuchsiapitch.GroupOrder
	Answer fuchsiapitch.OrderAnswer
}

// BeatHeard is the heartbeat of another host.
type BeatHeard struct{ Beat Beat }

// PeersListed are the hosts that the store names.
type PeersListed struct{ Peers []Peer }

// ClaimRead is a claim that stands in the store.
type ClaimRead struct {
	// Number is the place of the claim in its topic.
	Number int64
	// Holder is the host that leads.
	Holder fuchsiapitch.HostID
	// Started is the incarnation of the holder.
	Started int64
}

// Ticked is the passing of time.
type Ticked struct {
	// LastBytes are the times of the last byte from each server that answers
	// requests of this host.
	LastBytes map[fuchsiapitch.ServerID]time.Duration
	// Suspended states that the process stood still since the last tick.
	Suspended bool
}

// Tuned are new limits from the settings.
type Tuned struct {
	// Stall is the time after which an engine gives up on a lost member.
	Stall time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeats of all hosts.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
}

// Stopping states that the host is about to stop.
type Stopping struct{}

func (Arrived) isEvent()       {}
func (Began) isEvent()         {}
func (Ended) isEvent()         {}
func (ServersListed) isEvent() {}
func (StoreFailed) isEvent()   {}
func (Configured) isEvent()    {}
func (Reported) isEvent()      {}
func (Ordered) isEvent()       {}
func (BeatHeard) isEvent()     {}
func (PeersListed) isEvent()   {}
func (ClaimRead) isEvent()     {}
func (Ticked) isEvent()        {}
func (Tuned) isEvent()         {}
func (Stopping) isEvent()      {}

// Effect is something to be done. Effects are plain records.
type Effect interface{ isEffect() }

// Grant gives a place at a server to a ticket.
type Grant struct {
	Ticket  Ticket
	Server  fuchsiapitch.ServerID
	Address string
	// Urgency orders requests at the engine, from 0.
	Urgency int
	// Engine states that the server is a model engine.
	Engine bool
}

// Refuse ends the wait of a ticket.
type Refuse struct {
	Ticket Ticket
	// RetryAfter is the time after which a place is likely.
	RetryAfter time.Duration
	// Reason is why.
	Reason Reason
}

// Withdraw states that the place of a ticket is gone: its group is broken.
type Withdraw struct{ Ticket Ticket }

// SendBeat sends a heartbeat to other hosts.
type SendBeat struct {
	Beat Beat
	To   []string
}

// AskReport asks a server for its report.
type AskReport struct {
	Server  fuchsiapitch.ServerID
	Address string
	// Started is the incarnation that is known.
	Started int64
}

// GiveOrder gives an order to a server.
type GiveOrder struct{ Order fuchsiapitch.GroupOrder }

// ClaimLead asks the store for the lead of the groups.
type ClaimLead struct {
	// Known is the number of the claim to take over from.
	Known int64
}

// Reread has the configuration read again: another host has a later one.
type Reread struct{}

// GroupOpened states that a group takes requests.
type GroupOpened struct {
	Group fuchsiapitch.GroupID
	Model string
	// Took is the time since the group was planned or found.
	Took time.Duration
}

// GroupLost states that an open group is taken apart since a member was lost.
type GroupLost struct {
	Group fuchsiapitch.GroupID
	Model string
	// Silence is how long no byte came from the group to this host though one was
	// due, 0 if none was.
	Silence time.Duration
}

// Note is a line for the log.
type Note struct {
	// Message says what was decided.
	Message string
	// Fields are what it concerns.
	Fields map[string]any
}

func (Grant) isEffect()       {}
func (Refuse) isEffect()      {}
func (Withdraw) isEffect()    {}
func (SendBeat) isEffect()    {}
func (AskReport) isEffect()   {}
func (GiveOrder) isEffect()   {}
func (ClaimLead) isEffect()   {}
func (Reread) isEffect()      {}
func (GroupOpened) isEffect() {}
func (GroupLost) isEffect()   {}
func (Note) isEffect()        {}

// Reason is why a request got no place.
type Reason int

// The reasons.
const (
	// NoReplica states that nothing serves what was asked for.
	NoReplica Reason = iota + 1
	// Overloaded states that more urgent or earlier requests fill the places.
	Overloaded
	// TooLate states that the time limit passed.
	TooLate
	// NoBudget states that too many requests are being repeated.
	NoBudget
)

// String returns the reason in kebab case.
func (r Reason) String() string {
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

// Peer is another host. It is a plain record.
type Peer struct {
	ID      fuchsiapitch.HostID
	Address string
}

// Load is what one host has at one server. It is a plain record.
type Load struct {
	Server fuchsiapitch.ServerID
	// Running is the number of requests, Unread the prompt tokens of those that
	// have not begun.
	Running, Unread int
	// Silent is how long no byte came though one was due.
	Silent time.Duration
}

// Queue is what waits at one host for one model. It is a plain record.
type Queue struct {
	Service fuchsiapitch.ServiceName
	Model   string
	Waiting int
}

// GroupLine is one group as the leader knows it. It is a plain record.
type GroupLine struct {
	Ref   fuchsiapitch.GroupRef
	Model string
	Head  fuchsiapitch.ServerID
	// Open states that the group takes requests.
	Open bool
}

// Beat is the heartbeat of a host. It is a plain record.
type Beat struct {
	From    Peer
	Started int64
	// Claim is the number of the claim that the host leads by, 0 for none, and
	// KnownClaim the highest that it has heard of.
	Claim, KnownClaim int64
	// Heir is the host that a stopping leader hands its claim to, "" for none, and
	// HandedClaim that claim. Formations is the number of formations under it.
	Heir                    fuchsiapitch.HostID
	HandedClaim, Formations int64
	// Version is the version of the host's configuration, 0 for none.
	Version int64
	// Eligible states that the host would claim the lead if nobody held it.
	Eligible bool
	// Busy states that the host has had requests.
	Busy bool
	// Stopping states that the host is about to stop.
	Stopping bool
	Loads    []Load
	Queues   []Queue
	// Suspects are servers that were named as the cause of failures.
	Suspects []fuchsiapitch.ServerID
	// Groups are all groups, if the host leads.
	Groups []GroupLine
}
