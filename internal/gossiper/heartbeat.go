// Package gossiper determines which entry hosts are live, with a gossip protocol
// for membership and failure detection. It is pure: it starts no goroutines and
// reads no clock.
package gossiper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// ServiceLoad is the load of one service at one dispatcher.
type ServiceLoad struct {
	Service fuchsiapitch.ServiceName
	// Slots is the number of requests that the replicas of the dispatcher can run
	// concurrently.
	Slots int
	// InFlight is the number of running requests.
	InFlight int
	// Queued is the number of queued requests.
	Queued int
	// MedianInterTokenTime is the mean time between tokens at the median replica, 0
	// if unknown.
	MedianInterTokenTime time.Duration
}

// CustomerDemand is the demand of one customer at one dispatcher.
type CustomerDemand struct {
	Customer fuchsiapitch.CustomerName
	// InFlight is the number of queued and running requests.
	InFlight int
	// TokensPerSecond is the recent rate of requested tokens.
	TokensPerSecond float64
}

// PeerView is one host's view of the state of another.
type PeerView struct {
	// Host is the viewed host.
	Host fuchsiapitch.Host
	// State is the state of the host in the view.
	State MemberState
}

// NoClaimPromise is the promise of an elector not to claim the role of controller for
// some time, or the request of the controller for such promises.
type NoClaimPromise struct {
	// Term is the term of the controller to which the promise is given.
	Term fuchsiapitch.Term
	// Wanted is true if the sender is the controller and requests promises.
	Wanted bool
	// Remaining is the remaining duration of the promise.
	Remaining time.Duration
	// Incarnation is the incarnation with which the sender started, which is that of
	// its join record.
	Incarnation uint64
	// Echo is the sequence number of the controller's heartbeat that the promise
	// answers.
	Echo uint64
}

// Heartbeat is the gossip message that entry hosts exchange. The numbers of
// loads, demands and views are bounded, and so is its size.
type Heartbeat struct {
	// Sender is the sending host with its current incarnation.
	Sender fuchsiapitch.Host
	// Sequence is the sequence number of the heartbeat. It increases with each
	// heartbeat of an incarnation.
	Sequence uint64
	// Leaving is true if the sender is shutting down.
	Leaving bool
	// ConfigurationOffset is the log offset of the sender's configuration.
	ConfigurationOffset fuchsiapitch.Offset
	// ConfigurationHash is the hash of the sender's configuration.
	ConfigurationHash uint64
	// Loads are the loads of the sender's services that have changed most.
	Loads []ServiceLoad
	// Demands are the demands of customers at the sender that have changed most.
	Demands []CustomerDemand
	// Views are the sender's most recently changed views of other hosts.
	Views []PeerView
	// RemoteLoads are loads of whole data centres, selected in round-robin order.
	RemoteLoads []DataCentreLoad
	// Promise is the sender's promise to the controller, or its request for
	// promises, if any.
	Promise NoClaimPromise
	// FaultyMembers are faulty backend servers in groups that the sender dispatches
	// for. Their number is bounded.
	FaultyMembers []fuchsiapitch.ServerID
	// PendingRecords are encoded records of a controller that the log does not
	// accept at present. Their total size is bounded.
	PendingRecords [][]byte
}
