// Package gossiper decides which entry hosts are live. It is pure: it holds no
// goroutine and reads no clock.
package gossiper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// ServiceLoad is the state of one service at one dispatcher.
type ServiceLoad struct {
	// Service is the service.
	Service fuchsiapitch.ServiceName
	// Slots is the number of requests that the replicas of the dispatcher run at once.
	Slots int
	// InFlight is the number of requests that run.
	InFlight int
	// Queued is the number of requests that wait.
	Queued int
	// Pace is the mean time between tokens at the median replica, 0 if unknown.
	Pace time.Duration
}

// CustomerDemand is the use of one customer at one dispatcher.
type CustomerDemand struct {
	// Customer is the customer.
	Customer fuchsiapitch.CustomerName
	// InFlight is the number of requests that wait or run.
	InFlight int
	// TokensPerSecond is the recent rate of the tokens asked for.
	TokensPerSecond float64
}

// PeerView is what one host believes of another.
type PeerView struct {
	// Host is the host that the view is of.
	Host fuchsiapitch.Host
	// Standing is the state that the viewer gives the host.
	Standing Standing
}

// Promise states that a host does not claim the controller's role.
type Promise struct {
	// Term is the term of the controller that the promise is given to.
	Term fuchsiapitch.Term
	// Wanted states that the sender is the controller and asks for promises.
	Wanted bool
	// Remaining is the time for which the promise still holds.
	Remaining time.Duration
	// Incarnation is the incarnation of the sender at its start.
	Incarnation uint64
	// Echo is the sequence of the controller's heartbeat that it answers.
	Echo uint64
}

// Heartbeat is the message by which entry hosts keep each other informed. The
// numbers of loads, demands and views are bounded, so that its size is too.
type Heartbeat struct {
	// From is the sender.
	From fuchsiapitch.Host
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64
	// Leaving states that the sender is about to stop.
	Leaving bool
	// Configuration is the offset of the sender's configuration.
	Configuration fuchsiapitch.Offset
	// ConfigurationHash is the hash of the sender's configuration.
	ConfigurationHash uint64
	// Loads are the most changed loads of the sender's services.
	Loads []ServiceLoad
	// Demands are the most changed demands of customers at the sender.
	Demands []CustomerDemand
	// Views are the sender's newest beliefs of other hosts.
	Views []PeerView
	// Remotes are loads of whole data centres, in turns.
	Remotes []CentreLoad
	// Promise is the sender's promise to the controller, if any.
	Promise Promise
	// Broken are backend servers whose groups the sender dispatches for and that
	// are not as they should be. Their number is bounded.
	Broken []fuchsiapitch.ServerID
	// Pending are records of a controller that the log does not take up at
	// present. Their size is bounded.
	Pending [][]byte
}
