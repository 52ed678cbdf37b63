package fuchsiapitch

import "time"

// MemberState is the state of a server within its group.
type MemberState int

// The states of a member.
const (
	// MemberJoining loads the model of the group.
	MemberJoining MemberState = iota + 1
	// MemberReady has loaded it.
	MemberReady
	// MemberOpen is the leader of a group that takes requests.
	MemberOpen
	// MemberClosing is the leader of a group that finishes its requests.
	MemberClosing
	// MemberBroken is the leader of a group that has lost a member.
	MemberBroken
)

// String returns the state in kebab case.
func (s MemberState) String() string {
	switch s {
	case MemberJoining:
		return "joining"
	case MemberReady:
		return "ready"
	case MemberOpen:
		return "open"
	case MemberClosing:
		return "closing"
	case MemberBroken:
		return "broken"
	}
	return "none"
}

// GroupRef names one formation of a group. Names may be used again; the epoch
// is higher in each later formation.
type GroupRef struct {
	// Name identifies the group.
	Name GroupID
	// Epoch orders the formations.
	Epoch int64
}

// Membership is the place of a server in a group.
type Membership struct {
	// Group is the group; the zero value stands for none.
	Group GroupRef
	// Rank is the place of the server in the group; the leader has rank 0.
	Rank int
	// State is the state of the server within the group.
	State MemberState
}

// ServerReport is what a backend server says of itself, in the platform's list
// or when it is asked. It is a plain record.
type ServerReport struct {
	// ID identifies the server.
	ID ServerID
	// Service is the service that the server belongs to.
	Service ServiceName
	// Address is the IP number and port that take requests and orders.
	Address string
	// DataCentre and Domain tell where the server stands.
	DataCentre DataCentreName
	Domain     FabricDomainName
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving states that the server is about to leave.
	Leaving bool
	// Started is the incarnation: the start of the server in milliseconds of
	// Unix time.
	Started int64
	// Orders is the number of orders that this incarnation has accepted. Only the
	// server itself tells it; OrdersKnown reports whether it is known.
	Orders      int64
	OrdersKnown bool
	// Busy states that an order is being carried out.
	Busy bool
	// Staged are the models on the server's host.
	Staged []string
	// Loaded are the models that the server has loaded.
	Loaded []string
	// Membership is the place in a group.
	Membership Membership
	// Pace is the factor by which the server is slower than its profile, 0 if
	// unknown.
	Pace float64
	// Running and Queued are the requests at the server.
	Running, Queued int
}

// OrderKind is what an order asks of a server.
type OrderKind int

// The kinds of order.
const (
	// OrderStage loads a model onto the host beside all other work.
	OrderStage OrderKind = iota + 1
	// OrderJoin makes the server a member of a group and loads its model.
	OrderJoin
	// OrderOpen has the leader of a ready group take requests.
	OrderOpen
	// OrderClose has a leader refuse new requests and finish those it has.
	OrderClose
	// OrderEvict has a leader cut all requests and refuse new ones.
	OrderEvict
	// OrderLeave takes the server out of its group at once.
	OrderLeave
)

// String returns the kind in kebab case.
func (k OrderKind) String() string {
	switch k {
	case OrderStage:
		return "stage"
	case OrderJoin:
		return "join"
	case OrderOpen:
		return "open"
	case OrderClose:
		return "close"
	case OrderEvict:
		return "evict"
	case OrderLeave:
		return "leave"
	}
	return "invalid"
}

// GroupOrder asks a server for one step of the life of a group.
type GroupOrder struct {
	// Kind is the step.
	Kind OrderKind
	// Server and Address are the server that is asked.
	Server  ServerID
	Address string
	// Fence rises with each leader; engines that check it refuse an older one.
	Fence int64
	// After is the number of orders that the server must have accepted before;
	// it refuses the order otherwise.
	After int64
	// Group is the group of the step; unused to stage.
	Group GroupRef
	// Model is the model to join with or to stage.
	Model string
	// Members are the members of the group in the order of their ranks.
	Members []ServerID
}

// OrderAnswer is what became of an order.
type OrderAnswer int

// The answers to an order.
const (
	// OrderBegun states that the order is being carried out.
	OrderBegun OrderAnswer = iota + 1
	// OrderDone states that the state that was asked for holds.
	OrderDone
	// OrderRefused states that the order does not fit the server's state.
	OrderRefused
	// OrderMisdirected states that another server answers at the address.
	OrderMisdirected
	// OrderUnknown states that the order may be carried out, perhaps later.
	OrderUnknown
)

// String returns the answer in kebab case.
func (a OrderAnswer) String() string {
	switch a {
	case OrderBegun:
		return "begun"
	case OrderDone:
		return "done"
	case OrderRefused:
		return "refused"
	case OrderMisdirected:
		return "misdirected"
	case OrderUnknown:
		return "unknown"
	}
	return "invalid"
}

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	// ID identifies the content.
	ID string
	// Tokens is the length.
	Tokens int
}

// RequestFacts are what the header of a request says to the decisions.
type RequestFacts struct {
	// ID identifies the request.
	ID RequestID
	// Key is the caller's secret, "" for none.
	Key string
	// TimeLimit is how long the caller waits, 0 if not said.
	TimeLimit time.Duration
	// Model is the model that is asked for, "" for a plain service.
	Model string
	// PromptTokens and OutputLimit are the tokens to read and the most to write.
	PromptTokens, OutputLimit int
	// OutputHint is the caller's estimate of the tokens to write, 0 for none.
	OutputHint int
	// Parts are the parts of the prompt in their order.
	Parts []PromptPart
	// Resume is the last event that the caller has, "" for none.
	Resume string
}

// ForwardFacts are what the header of a forwarded request says to the server.
type ForwardFacts struct {
	// Remaining is the time left to the caller.
	Remaining time.Duration
	// Server is the server that may run the request, and no other.
	Server ServerID
	// Customer is the holder of the caller's key, "" for none.
	Customer CustomerName
	// Urgency orders requests at an engine from 0, the most urgent, to 9. It is
	// left out for plain services.
	Urgency int
	// Engine states that the server is a model engine.
	Engine bool
	// Resume is the last event that the caller has, "" for none.
	Resume string
}

// AnswerFacts are what the header of an answer says to the decisions.
type AnswerFacts struct {
	// Request identifies the request that is answered, "" if not said.
	Request RequestID
	// Signed states that the answer carries the server's signature.
	Signed bool
	// NotRun states that the server did not run the request.
	NotRun bool
	// Fault is the server that is to blame for a refusal, "" if not said.
	Fault ServerID
}
