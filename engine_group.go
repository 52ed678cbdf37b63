package fuchsiapitch

import "time"

// MemberState is the state of a backend server within its group.
type MemberState int

// The states of a member.
const (
	// MemberJoining is loading the model of the group.
	MemberJoining MemberState = iota + 1
	// MemberReady has loaded the model.
	MemberReady
	// MemberOpen is the leader of a group that accepts requests.
	MemberOpen
	// MemberClosing is the leader of a draining group: it accepts no new requests and
	// finishes those in flight.
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

// GroupRef identifies one formation of a group. A group name may be reused; each
// later formation has a higher epoch.
type GroupRef struct {
	// Name identifies the group.
	Name GroupID
	// Epoch is higher for each later formation.
	Epoch int64
}

// Membership is the role of a backend server in a group.
type Membership struct {
	// Group is the group; the zero value means none.
	Group GroupRef
	// Rank is the position of the server in the group; the leader has rank 0.
	Rank int
	// State is the state of the server within the group.
	State MemberState
}

// ServerReport is the state that a backend server reports, either through the
// platform's server list or in response to a direct query.
type ServerReport struct {
	// ID identifies the server.
	ID ServerID
	// Service is the service that the server belongs to.
	Service ServiceName
	// Address is the IP address and port for requests and orders.
	Address string
	// DataCentre and FabricDomain are the location of the server.
	DataCentre   DataCentreName
	FabricDomain FabricDomainName
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving reports whether the server is about to leave.
	Leaving bool
	// StartedUnixMillis is the start time of the server in milliseconds of Unix time.
	// It serves as the incarnation number.
	StartedUnixMillis int64
	// AcceptedOrders is the number of orders that this incarnation has accepted. Only
	// the server itself reports it; AcceptedOrdersKnown is true if it is set.
	AcceptedOrders      int64
	AcceptedOrdersKnown bool
	// OrderInProgress reports whether the server is carrying out an order.
	OrderInProgress bool
	// StagedModels are the models on local storage of the server's host.
	StagedModels []string
	// LoadedModels are the models that the server has loaded.
	LoadedModels []string
	// Membership is the role of the server in its group.
	Membership Membership
	// SlowdownFactor is the factor by which the server is slower than its profile, 0
	// if unknown.
	SlowdownFactor float64
	// RunningRequests and QueuedRequests are the numbers of requests at the server.
	RunningRequests, QueuedRequests int
	// ColdFor is how long the server remains cold, as of the report.
	ColdFor time.Duration
}

// OrderKind is the action that an order requests.
type OrderKind int

// The kinds of order.
const (
	// OrderStage copies a model to the host while the server keeps serving.
	OrderStage OrderKind = iota + 1
	// OrderJoin makes the server a member of a group and loads its model.
	OrderJoin
	// OrderOpen makes the leader of a ready group accept requests.
	OrderOpen
	// OrderClose makes the leader refuse new requests and finish those in flight.
	OrderClose
	// OrderEvict makes the leader abort all requests and refuse new ones.
	OrderEvict
	// OrderLeave removes the server from its group immediately.
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

// GroupOrder instructs a server to carry out one step in the life cycle of a group.
type GroupOrder struct {
	// Kind is the action to carry out.
	Kind OrderKind
	// Server and Address identify the recipient.
	Server  ServerID
	Address string
	// FencingToken increases with each new controller. Engines that
	// enforce fencing refuse an order with an older token.
	FencingToken int64
	// ExpectedAcceptedOrders is the number of orders that the server must have
	// accepted so far; with any other number it refuses the order.
	ExpectedAcceptedOrders int64
	// Group is the group concerned; OrderStage does not use it.
	Group GroupRef
	// Model is the model to load or to stage.
	Model string
	// Members are the members of the group, ordered by rank.
	Members []ServerID
}

// OrderResult is the outcome of an order.
type OrderResult int

// The results of an order.
const (
	// OrderStarted means that the order is being carried out.
	OrderStarted OrderResult = iota + 1
	// OrderDone means that the requested state is in effect.
	OrderDone
	// OrderRefused means that the order does not match the server's state.
	OrderRefused
	// OrderMisdirected means that a different server answered at the address.
	OrderMisdirected
	// OrderUnknown means that the order may have taken effect or may still do so.
	OrderUnknown
)

// String returns the result in kebab case.
func (r OrderResult) String() string {
	switch r {
	case OrderStarted:
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

// PromptPart is one part of a prompt. Requests with a common part can share its
// cached state.
type PromptPart struct {
	// ID identifies the content of the part.
	ID string
	// Tokens is the length in tokens.
	Tokens int
}

// RequestMetadata are the properties of a request that its header carries and that
// admission and routing use.
type RequestMetadata struct {
	// ID identifies the request.
	ID RequestID
	// APIKey is the client's secret key, "" if absent.
	APIKey string
	// TimeLimit is how long the client waits for the response, 0 if not stated.
	TimeLimit time.Duration
	// Model is the requested model, "" for an application service.
	Model string
	// PromptTokens is the length of the prompt in tokens, MaxOutputTokens the largest
	// number of tokens to generate.
	PromptTokens, MaxOutputTokens int
	// EstimatedOutputTokens is the client's estimate of the number of tokens that will
	// be generated, 0 if not stated.
	EstimatedOutputTokens int
	// PromptParts are the parts of the prompt in their order.
	PromptParts []PromptPart
	// LastEventID is the last event that the client has received, "" for none.
	LastEventID string
}

// ForwardMetadata are the properties that the header of a forwarded request carries
// to the backend server.
type ForwardMetadata struct {
	// Remaining is the time left until the client's deadline.
	Remaining time.Duration
	// Server is the only server that may run the request.
	Server ServerID
	// Customer is the owner of the client's key, "" for none.
	Customer CustomerName
	// EnginePriority is the scheduling priority at an engine, from 0, the most urgent,
	// to 9. It is not sent to application services.
	EnginePriority int
	// ToEngine reports whether the server is an engine.
	ToEngine bool
	// LastEventID is the last event that the client has received, "" for none.
	LastEventID string
}

// ResponseMetadata are the properties of a response that its header carries.
type ResponseMetadata struct {
	// Request identifies the request that the response belongs to, "" if not stated.
	Request RequestID
	// Signed reports whether the response carries the server's signature.
	Signed bool
	// NotRun reports whether the response of the backend server flags the request as
	// not run, by a header field or by the status code.
	NotRun bool
	// FaultyServer is the server that caused a refusal, "" if not stated.
	FaultyServer ServerID
	// Notice is what the server states about itself.
	Notice ServerNotice
}
