package fuchsiapitch

import "time"

// ServiceKind distinguishes model services from application services.
type ServiceKind int

// The kinds of service.
const (
	// ModelService is served by groups of model engines.
	ModelService ServiceKind = iota + 1
	// ApplicationService is served by HTTP servers that are not engines.
	ApplicationService
)

// Route declares whether calls to an application service below one path prefix may be
// repeated.
type Route struct {
	method     string
	pathPrefix string
	idempotent bool
}

// NewRoute returns a route for an HTTP method ("" for any) and path prefix.
func NewRoute(method, pathPrefix string, idempotent bool) Route {
	return Route{method: method, pathPrefix: pathPrefix, idempotent: idempotent}
}

// Method returns the HTTP method of the route, "" for any.
func (r Route) Method() string { return r.method }

// PathPrefix returns the path prefix of the route.
func (r Route) PathPrefix() string { return r.pathPrefix }

// Idempotent reports whether the calls of the route may be repeated.
func (r Route) Idempotent() bool { return r.idempotent }

// Service is one configured model service or application service.
type Service struct {
	name                  ServiceName
	kind                  ServiceKind
	rank                  RankName
	model                 string
	version               string
	adapters              []string
	replicasPerDataCentre int
	groupSize             int
	concurrency           int
	placementWeight       float64
	enforcesFencing       bool
	allowsCrossDomain     bool
	routes                []Route
	timeout               time.Duration
}

// ServiceOption sets one optional property of a service.
type ServiceOption func(*Service)

// NewService returns a service. Without options it has one replica of one
// backend server, a concurrency of 16, a placement weight of 1, a timeout of 10 minutes
// and engines that do not check fencing tokens.
func NewService(name ServiceName, kind ServiceKind, rank RankName, options ...ServiceOption) Service {
	s := Service{
		name: name, kind: kind, rank: rank,
		replicasPerDataCentre: 1, groupSize: 1, concurrency: 16, placementWeight: 1, timeout: 10 * time.Minute,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithModel sets the model and its version.
func WithModel(model, version string) ServiceOption {
	return func(s *Service) { s.model, s.version = model, version }
}

// WithAdapters sets the adapters to load with the model.
func WithAdapters(adapters ...string) ServiceOption {
	return func(s *Service) { s.adapters = append([]string(nil), adapters...) }
}

// WithReplicas sets the target number of replicas in each data centre and the number
// of backend servers in each replica.
func WithReplicas(replicasPerDataCentre, groupSize int) ServiceOption {
	return func(s *Service) { s.replicasPerDataCentre, s.groupSize = replicasPerDataCentre, groupSize }
}

// WithConcurrency sets the largest number of requests that run concurrently on one
// replica.
func WithConcurrency(concurrency int) ServiceOption {
	return func(s *Service) { s.concurrency = concurrency }
}

// WithPlacementWeight sets the weight with which the service competes for scarce hosts.
func WithPlacementWeight(placementWeight float64) ServiceOption {
	return func(s *Service) { s.placementWeight = placementWeight }
}

// WithFencing declares that the engines of the service refuse orders with an old
// fencing token.
func WithFencing() ServiceOption {
	return func(s *Service) { s.enforcesFencing = true }
}

// WithCrossDomain allows groups that span fabric domains.
func WithCrossDomain() ServiceOption {
	return func(s *Service) { s.allowsCrossDomain = true }
}

// WithRoutes sets the routes of an application service.
func WithRoutes(routes ...Route) ServiceOption {
	return func(s *Service) { s.routes = append([]Route(nil), routes...) }
}

// WithTimeout sets the longest time that one request may take.
func WithTimeout(timeout time.Duration) ServiceOption {
	return func(s *Service) { s.timeout = timeout }
}

// Name returns the name of the service.
func (s Service) Name() ServiceName { return s.name }

// Kind returns the kind of the service.
func (s Service) Kind() ServiceKind { return s.kind }

// Rank returns the default rank of the requests of the service.
func (s Service) Rank() RankName { return s.rank }

// Model returns the name of the model that the service serves.
func (s Service) Model() string { return s.model }

// Version returns the version of the model.
func (s Service) Version() string { return s.version }

// Adapters returns the adapters to load with the model.
func (s Service) Adapters() []string { return s.adapters }

// ReplicasPerDataCentre returns the target number of replicas in each data centre.
func (s Service) ReplicasPerDataCentre() int { return s.replicasPerDataCentre }

// GroupSize returns the number of backend servers in each replica.
func (s Service) GroupSize() int { return s.groupSize }

// Concurrency returns the largest number of requests that run concurrently on one
// replica.
func (s Service) Concurrency() int { return s.concurrency }

// PlacementWeight returns the weight with which the service competes for scarce hosts.
func (s Service) PlacementWeight() float64 { return s.placementWeight }

// EnforcesFencing reports whether the engines refuse orders with an old fencing token.
func (s Service) EnforcesFencing() bool { return s.enforcesFencing }

// AllowsCrossDomain reports whether a group may span fabric domains.
func (s Service) AllowsCrossDomain() bool { return s.allowsCrossDomain }

// Routes returns the routes of an application service.
func (s Service) Routes() []Route { return s.routes }

// Timeout returns the longest time that one request may take.
func (s Service) Timeout() time.Duration { return s.timeout }

// Rank is a priority class of requests. The class with order 0 is served first.
type Rank struct {
	name             RankName
	order            int
	firstTokenTarget time.Duration
	interTokenTarget time.Duration
	tokenValue       float64
	minCapacityShare float64
}

// NewRank returns a rank. The minimum capacity share, from 0 to 1, is the fraction of
// capacity that the rank receives however many requests of more urgent ranks wait.
func NewRank(name RankName, order int, firstTokenTarget, interTokenTarget time.Duration, tokenValue, minCapacityShare float64) Rank {
	return Rank{name: name, order: order, firstTokenTarget: firstTokenTarget, interTokenTarget: interTokenTarget, tokenValue: tokenValue, minCapacityShare: minCapacityShare}
}

// Name returns the name of the rank.
func (r Rank) Name() RankName { return r.name }

// Order returns the position of the rank; the most urgent rank has order 0.
func (r Rank) Order() int { return r.order }

// FirstTokenTarget returns the target for the time to the first token.
func (r Rank) FirstTokenTarget() time.Duration { return r.firstTokenTarget }

// InterTokenTarget returns the target for the time between two tokens.
func (r Rank) InterTokenTarget() time.Duration { return r.interTokenTarget }

// TokenValue returns the value of one generated token for a request of the rank.
func (r Rank) TokenValue() float64 { return r.tokenValue }

// MinCapacityShare returns the fraction of capacity that is reserved for the rank, from
// 0 to 1.
func (r Rank) MinCapacityShare() float64 { return r.minCapacityShare }

// Customer is a party whose requests are accounted for together.
type Customer struct {
	name               CustomerName
	weight             float64
	keyHashes          []string
	allowedRanks       []RankName
	maxInFlight        int
	maxTokensPerSecond float64
	maxQueuedBytes     int64
}

// CustomerOption sets one optional property of a customer.
type CustomerOption func(*Customer)

// NewCustomer returns a customer of weight 1 without limits.
func NewCustomer(name CustomerName, options ...CustomerOption) Customer {
	c := Customer{name: name, weight: 1}
	for _, o := range options {
		o(&c)
	}
	return c
}

// WithWeight sets the weight of the customer in fair queueing.
func WithWeight(weight float64) CustomerOption {
	return func(c *Customer) { c.weight = weight }
}

// WithKeyHashes sets the SHA-256 hashes, in hexadecimal, of the customer's
// bearer keys.
func WithKeyHashes(hashes ...string) CustomerOption {
	return func(c *Customer) { c.keyHashes = append([]string(nil), hashes...) }
}

// WithAllowedRanks sets the ranks that the customer may request with a header.
func WithAllowedRanks(allowedRanks ...RankName) CustomerOption {
	return func(c *Customer) { c.allowedRanks = append([]RankName(nil), allowedRanks...) }
}

// WithLimits sets the customer's limits in one data centre: requests in flight, tokens
// per second and queued bytes. A limit of 0 means unlimited.
func WithLimits(maxInFlight int, maxTokensPerSecond float64, maxQueuedBytes int64) CustomerOption {
	return func(c *Customer) {
		c.maxInFlight, c.maxTokensPerSecond, c.maxQueuedBytes = maxInFlight, maxTokensPerSecond, maxQueuedBytes
	}
}

// Name returns the name of the customer.
func (c Customer) Name() CustomerName { return c.name }

// Weight returns the weight of the customer in fair queueing.
func (c Customer) Weight() float64 { return c.weight }

// KeyHashes returns the SHA-256 hashes, in hexadecimal, of the bearer keys.
func (c Customer) KeyHashes() []string { return c.keyHashes }

// AllowedRanks returns the ranks that the customer may request with a header.
func (c Customer) AllowedRanks() []RankName { return c.allowedRanks }

// MaxInFlight returns the limit on requests in flight in one data centre, 0 for none.
func (c Customer) MaxInFlight() int { return c.maxInFlight }

// MaxTokensPerSecond returns the limit on tokens per second in one data centre, 0 for
// none.
func (c Customer) MaxTokensPerSecond() float64 { return c.maxTokensPerSecond }

// MaxQueuedBytes returns the limit on queued bytes in one data centre, 0 for none.
func (c Customer) MaxQueuedBytes() int64 { return c.maxQueuedBytes }
