package fuchsiapitch

import (
	"sort"
	"strings"
	"time"
)

// RouteKind tells what may be repeated on a route.
type RouteKind int

// The kinds of route.
const (
	// OnceRoute carries requests that may run at most once.
	OnceRoute RouteKind = iota + 1
	// RepeatableRoute carries idempotent requests.
	RepeatableRoute
	// StreamRoute carries requests that are answered by a stream of events.
	StreamRoute
)

// WeightedService is one destination of a route and its share of the requests.
type WeightedService struct {
	// Service is the name of the service.
	Service ServiceName
	// Weight is the share, relative to the other destinations of the route.
	Weight int
}

// HostRoute says how the requests of one host name and path prefix are handled.
// Routes are plain records: codecs fill them in and nothing changes them later.
type HostRoute struct {
	// Name identifies the route.
	Name string
	// Host is the host name of the requests, in lower case and without a port.
	Host string
	// Prefix begins the path; it begins and ends with a slash.
	Prefix string
	// Services are the destinations, at least one.
	Services []WeightedService
	// Kind tells what may be repeated.
	Kind RouteKind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the latency objective: to the whole answer, or to the first
	// event of a stream.
	Target time.Duration
	// GapTarget is the longest pause between two events of a stream that is
	// still on time, 0 if none is set.
	GapTarget time.Duration
	// Attempts is the largest number of servers that one request is sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another replica after an event.
	Resumable bool
}

// Tenancy is one customer as the keys of its callers name it.
type Tenancy struct {
	// Customer is the name of the customer.
	Customer CustomerName
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority int
	// HasPriority reports whether the customer has a rank of its own.
	HasPriority bool
}

// Model is one model that a service's engines can serve in groups.
type Model struct {
	// Name identifies the model in requests and orders.
	Name string
	// Size is the number of servers in a group.
	Size int
	// Share is the share of the model in the work expected at the start.
	Share float64
	// Pace multiplies all times of a group.
	Pace float64
	// Load is the time of a load from the weight store, Warm that of a load
	// from the host.
	Load, Warm time.Duration
}

// EngineProfile is what an operator publishes of the engines of a service.
type EngineProfile struct {
	// Slots is the number of requests that a group runs at once.
	Slots int
	// Models are the models that groups can serve.
	Models []Model
	// Step is the time of one token step, StepPerSequence what each running
	// request adds to it, and StepPerThousand what a thousand tokens of context
	// of a request add.
	Step, StepPerSequence, StepPerThousand time.Duration
	// Stride is the number of steps of a pass; an event comes once a pass.
	Stride int
	// ReadPerSecond is the number of prompt tokens read in a second, Chunk the
	// largest number read in a step.
	ReadPerSecond float64
	Chunk         int
	// LoadsPerSecond bounds the loads that may begin in a second.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of loads beyond which each takes longer.
	LoadsAtOnce int
	// Form is the time that an open order takes.
	Form time.Duration
	// ReportLag is the age of what engines report of themselves.
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

// ServiceProfile is what an operator publishes of a service.
type ServiceProfile struct {
	// Name identifies the service.
	Name ServiceName
	// Connections is the number of connections that a server accepts.
	Connections int
	// Engine describes the engines, nil for an application service.
	Engine *EngineProfile
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	// HeaderBytes and BodyBytes bound the header and the body of a request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time to send a header, IdleTimeout the time
	// that a connection stays open without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// RouteTable is one accepted state of the routes, services and keys that an
// operator has published. It is immutable.
type RouteTable struct {
	version  int64
	byHost   map[string][]HostRoute
	services map[ServiceName]ServiceProfile
	keys     map[string]Tenancy
	keyed    bool
	limits   CallerLimits
}

// NewRouteTable returns the state of a version. Callers need no key if keyed is
// not set.
func NewRouteTable(version int64, routes []HostRoute, services []ServiceProfile, keys map[string]Tenancy, keyed bool, limits CallerLimits) *RouteTable {
	t := &RouteTable{
		version: version, byHost: make(map[string][]HostRoute),
		services: make(map[ServiceName]ServiceProfile, len(services)),
		keys:     keys, keyed: keyed, limits: limits,
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, rs := range t.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Version returns the version of the state. Later states have higher ones.
func (t *RouteTable) Version() int64 { return t.version }

// Limits returns what a caller may send.
func (t *RouteTable) Limits() CallerLimits { return t.limits }

// Service returns a service by name.
func (t *RouteTable) Service(name ServiceName) (ServiceProfile, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns the services by name. Callers must not change the map.
func (t *RouteTable) Services() map[ServiceName]ServiceProfile { return t.services }

// Match returns the route of a host name and a path: the one with the longest
// prefix that begins the path.
func (t *RouteTable) Match(host, path string) (HostRoute, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return HostRoute{}, false
}

// Keyed reports whether requests on routes that are not public need a key.
func (t *RouteTable) Keyed() bool { return t.keyed }

// Holder returns the customer that holds a key.
func (t *RouteTable) Holder(key string) (Tenancy, bool) {
	c, ok := t.keys[key]
	return c, ok
}
