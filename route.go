package fuchsiapitch

import (
	"sort"
	"strings"
	"time"
)

// RouteKind determines which requests of a route may be repeated.
type RouteKind int

// The kinds of route.
const (
	// AtMostOnceRoute carries requests that may run at most once.
	AtMostOnceRoute RouteKind = iota + 1
	// IdempotentRoute carries idempotent requests.
	IdempotentRoute
	// StreamRoute carries requests whose response is a stream of events.
	StreamRoute
)

// WeightedService is one destination of a route and its share of the requests.
type WeightedService struct {
	// Service is the name of the service.
	Service ServiceName
	// Weight is the share, relative to the other destinations of the route.
	Weight int
}

// HostRoute defines how requests for one host name and path prefix are handled. Codecs
// fill in its fields; it does not change afterwards.
type HostRoute struct {
	// Name identifies the route.
	Name string
	// Host is the host name of the requests, in lower case and without a port.
	Host string
	// Prefix is the prefix of the path. It begins and ends with a slash.
	Prefix string
	// Services are the destinations. There is at least one.
	Services []WeightedService
	// Kind determines which requests may be repeated.
	Kind RouteKind
	// Timeout is the longest time that a client waits for a response.
	Timeout time.Duration
	// LatencyTarget is the target time to the complete response, or to the first event
	// of a stream.
	LatencyTarget time.Duration
	// InterEventTarget is the target for the longest time between two events of a
	// stream, 0 if none is set.
	InterEventTarget time.Duration
	// AttemptLimit is the largest number of servers that a request is sent to.
	AttemptLimit int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public is true if requests need no key.
	Public bool
	// Resumable reports whether a stream may continue at another replica after the last
	// event that was received.
	Resumable bool
	// AllowedRegions are the regions whose servers may get the requests, empty for all.
	AllowedRegions []RegionName
}

// Principal is the customer that an API key authenticates.
type Principal struct {
	// Customer is the name of the customer.
	Customer CustomerName
	// Priority replaces the priority of the route if HasPriority is true.
	Priority int
	// HasPriority is true if the customer has its own priority.
	HasPriority bool
}

// Model is a model that groups of a service's engines can serve.
type Model struct {
	// Name identifies the model in requests and orders.
	Name string
	// GroupSize is the number of servers in a group.
	GroupSize int
	// InitialLoadShare is the share of the load that the model is expected to receive at
	// the start.
	InitialLoadShare float64
	// TimeFactor multiplies all processing times of a group.
	TimeFactor float64
	// ColdLoadTime is the time to load the model from the weight store, WarmLoadTime the
	// time to load it from the host.
	ColdLoadTime, WarmLoadTime time.Duration
}

// EngineProfile describes the engines of a service, as published by an operator.
type EngineProfile struct {
	// Slots is the number of requests that a group runs concurrently.
	Slots int
	// Models are the models that groups can serve.
	Models []Model
	// StepTime is the base duration of a decoding step. StepTimePerRequest is the time
	// that each running request adds, StepTimePerThousandTokens the time that each
	// thousand tokens of a request's context add.
	StepTime, StepTimePerRequest, StepTimePerThousandTokens time.Duration
	// StepsPerEvent is the number of decoding steps in a pass. An engine sends one event
	// per pass.
	StepsPerEvent int
	// PrefillTokensPerSecond is the number of prompt tokens processed per second,
	// PrefillChunkTokens the largest number processed in one step.
	PrefillTokensPerSecond float64
	PrefillChunkTokens     int
	// LoadStartsPerSecond is the largest number of model loads that may start per second.
	LoadStartsPerSecond float64
	// FullSpeedLoads is the largest number of concurrent loads that do not slow each
	// other down.
	FullSpeedLoads int
	// OpenOrderTime is the time that the leader of a group takes to carry out OrderOpen.
	OpenOrderTime time.Duration
	// ReportLag is the age of the state that engines report.
	ReportLag time.Duration
}

// Model returns a model by name.
func (p *EngineProfile) Model(name string) (Model, bool) {
	for _, m := range p.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// ServiceProfile describes a service, as published by an operator.
type ServiceProfile struct {
	// Name identifies the service.
	Name ServiceName
	// Connections is the number of connections that a server accepts.
	Connections int
	// Engine describes the engines, nil for an application service.
	Engine *EngineProfile
	// ColdTime is how long a server is cold after its start, ColdRequestsPerSecond the rate of
	// requests that it bears meanwhile, 0 for no bound.
	ColdTime              time.Duration
	ColdRequestsPerSecond float64
}

// ClientLimits bound the size and duration of client requests.
type ClientLimits struct {
	// HeaderBytes and BodyBytes bound the header and the body of a request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time in which a client sends a request header,
	// IdleTimeout the time that a connection stays open without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// RouteTable is one accepted version of the routes, services and keys that an operator
// has published. It is immutable.
type RouteTable struct {
	version         int64
	routesByHost    map[string][]HostRoute
	services        map[ServiceName]ServiceProfile
	principalsByKey map[string]Principal
	keyRequired     bool
	limits          ClientLimits
	customerRegions map[CustomerName][]RegionName
}

// RouteTableOption sets one optional property of a route table.
type RouteTableOption func(*RouteTable)

// WithCustomerRegions sets the regions whose servers may get the requests of customers. Those
// without an entry may use all.
func WithCustomerRegions(regions map[CustomerName][]RegionName) RouteTableOption {
	return func(t *RouteTable) { t.customerRegions = regions }
}

// NewRouteTable returns a route table. If keyRequired is false, clients need no key
// on any route.
func NewRouteTable(version int64, routes []HostRoute, services []ServiceProfile, principalsByKey map[string]Principal, keyRequired bool, limits ClientLimits, options ...RouteTableOption) *RouteTable {
	t := &RouteTable{
		version: version, routesByHost: make(map[string][]HostRoute),
		services:        make(map[ServiceName]ServiceProfile, len(services)),
		principalsByKey: principalsByKey, keyRequired: keyRequired, limits: limits,
	}
	for _, r := range routes {
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, rs := range t.routesByHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Version returns the version of the table. Later tables have higher versions.
func (t *RouteTable) Version() int64 { return t.version }

// Limits returns the limits for client requests.
func (t *RouteTable) Limits() ClientLimits { return t.limits }

// Service returns a service by name.
func (t *RouteTable) Service(name ServiceName) (ServiceProfile, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services by name. Callers must not change the map.
func (t *RouteTable) Services() map[ServiceName]ServiceProfile { return t.services }

// Match returns the route for a host name and a path: of the routes whose prefix begins
// the path, the one with the longest prefix.
func (t *RouteTable) Match(host, path string) (HostRoute, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return HostRoute{}, false
}

// CustomerRegions returns the regions whose servers may get the requests of a customer, empty for
// all. Callers must not change the slice.
func (t *RouteTable) CustomerRegions(name CustomerName) []RegionName { return t.customerRegions[name] }

// KeyRequired reports whether requests on routes that are not public need a key.
func (t *RouteTable) KeyRequired() bool { return t.keyRequired }

// PrincipalByKey returns the customer that a key authenticates.
func (t *RouteTable) PrincipalByKey(key string) (Principal, bool) {
	principal, ok := t.principalsByKey[key]
	return principal, ok
}
