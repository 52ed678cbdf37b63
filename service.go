package fuchsiapitch

import "time"

// ServiceKind tells model services from application services.
type ServiceKind int

// The kinds of service.
const (
	// ModelService is served by groups of model engines.
	ModelService ServiceKind = iota + 1
	// ApplicationService is served by plain HTTP servers.
	ApplicationService
)

// Route declares whether the calls of an application service below one path
// prefix may be repeated.
type Route struct {
	method     string
	prefix     string
	idempotent bool
}

// NewRoute returns a route for an HTTP method ("" for any) and path prefix.
func NewRoute(method, prefix string, idempotent bool) Route {
	return Route{method: method, prefix: prefix, idempotent: idempotent}
}

// Method returns the HTTP method of the route, "" for any.
func (r Route) Method() string { return r.method }

// Prefix returns the path prefix of the route.
func (r Route) Prefix() string { return r.prefix }

// Idempotent reports whether the calls of the route may be repeated.
func (r Route) Idempotent() bool { return r.idempotent }

// Service is one configured model service or application service.
type Service struct {
	name        ServiceName
	kind        ServiceKind
	rank        RankName
	model       string
	version     string
	adapters    []string
	replicas    int
	groupSize   int
	concurrency int
	worth       float64
	fenced      bool
	crossDomain bool
	routes      []Route
	timeout     time.Duration
}

// ServiceOption sets one optional property of a service.
type ServiceOption func(*Service)

// NewService returns a service. Without options it has one replica of one
// backend server, a concurrency of 16, a worth of 1, a timeout of 10 minutes
// and engines that do not check fencing numbers.
func NewService(name ServiceName, kind ServiceKind, rank RankName, options ...ServiceOption) Service {
	s := Service{
		name: name, kind: kind, rank: rank,
		replicas: 1, groupSize: 1, concurrency: 16, worth: 1, timeout: 10 * time.Minute,
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

// WithAdapters sets the adapters loaded beside the model.
func WithAdapters(adapters ...string) ServiceOption {
	return func(s *Service) { s.adapters = append([]string(nil), adapters...) }
}

// WithReplicas sets the number of replicas wanted in each data centre and
// the number of backend servers in each.
func WithReplicas(replicas, groupSize int) ServiceOption {
	return func(s *Service) { s.replicas, s.groupSize = replicas, groupSize }
}

// WithConcurrency sets the largest number of requests that run at once on
// one replica.
func WithConcurrency(concurrency int) ServiceOption {
	return func(s *Service) { s.concurrency = concurrency }
}

// WithWorth sets the weight by which services compete for scarce hosts.
func WithWorth(worth float64) ServiceOption {
	return func(s *Service) { s.worth = worth }
}

// WithFencing declares that the engines of the service refuse orders that
// carry an old fencing number.
func WithFencing() ServiceOption {
	return func(s *Service) { s.fenced = true }
}

// WithCrossDomain allows groups that span fabric domains.
func WithCrossDomain() ServiceOption {
	return func(s *Service) { s.crossDomain = true }
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

// Adapters returns the adapters loaded beside the model.
func (s Service) Adapters() []string { return s.adapters }

// Replicas returns the number of replicas wanted in each data centre.
func (s Service) Replicas() int { return s.replicas }

// GroupSize returns the number of backend servers in each replica.
func (s Service) GroupSize() int { return s.groupSize }

// Concurrency returns the largest number of requests that run at once on one
// replica.
func (s Service) Concurrency() int { return s.concurrency }

// Worth returns the weight by which the service competes for scarce hosts.
func (s Service) Worth() float64 { return s.worth }

// Fenced reports whether the engines refuse orders with an old fencing number.
func (s Service) Fenced() bool { return s.fenced }

// CrossDomain reports whether a group may span fabric domains.
func (s Service) CrossDomain() bool { return s.crossDomain }

// Routes returns the routes of an application service.
func (s Service) Routes() []Route { return s.routes }

// Timeout returns the longest time that one request may take.
func (s Service) Timeout() time.Duration { return s.timeout }

// Rank is one of the ordered classes of work. Rank order 0 is served first.
type Rank struct {
	name       RankName
	order      int
	firstToken time.Duration
	interToken time.Duration
	worth      float64
	floor      float64
}

// NewRank returns a rank. The floor is the fraction of capacity, from 0 to 1,
// that the rank receives however much work of more urgent ranks waits.
func NewRank(name RankName, order int, firstToken, interToken time.Duration, worth, floor float64) Rank {
	return Rank{name: name, order: order, firstToken: firstToken, interToken: interToken, worth: worth, floor: floor}
}

// Name returns the name of the rank.
func (r Rank) Name() RankName { return r.name }

// Order returns the place of the rank; the most urgent rank has order 0.
func (r Rank) Order() int { return r.order }

// FirstToken returns the target for the time to the first token.
func (r Rank) FirstToken() time.Duration { return r.firstToken }

// InterToken returns the target for the time between tokens.
func (r Rank) InterToken() time.Duration { return r.interToken }

// Worth returns the value of one served token of the rank.
func (r Rank) Worth() float64 { return r.worth }

// Floor returns the fraction of capacity kept for the rank, from 0 to 1.
func (r Rank) Floor() float64 { return r.floor }

// Customer is one party whose requests are accounted together.
type Customer struct {
	name            CustomerName
	weight          float64
	keyHashes       []string
	ranks           []RankName
	inFlight        int
	tokensPerSecond float64
	queueBytes      int64
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

// WithWeight sets the share of the customer in fair queueing.
func WithWeight(weight float64) CustomerOption {
	return func(c *Customer) { c.weight = weight }
}

// WithKeyHashes sets the SHA-256 hashes, in hexadecimal, of the customer's
// bearer keys.
func WithKeyHashes(hashes ...string) CustomerOption {
	return func(c *Customer) { c.keyHashes = append([]string(nil), hashes...) }
}

// WithRanks sets the ranks that the customer may ask for by header.
func WithRanks(ranks ...RankName) CustomerOption {
	return func(c *Customer) { c.ranks = append([]RankName(nil), ranks...) }
}

// WithLimits sets the customer's limits in one data centre: requests in
// flight, tokens a second and queued bytes. A limit of 0 is no limit.
func WithLimits(inFlight int, tokensPerSecond float64, queueBytes int64) CustomerOption {
	return func(c *Customer) {
		c.inFlight, c.tokensPerSecond, c.queueBytes = inFlight, tokensPerSecond, queueBytes
	}
}

// Name returns the name of the customer.
func (c Customer) Name() CustomerName { return c.name }

// Weight returns the share of the customer in fair queueing.
func (c Customer) Weight() float64 { return c.weight }

// KeyHashes returns the SHA-256 hashes, in hexadecimal, of the bearer keys.
func (c Customer) KeyHashes() []string { return c.keyHashes }

// Ranks returns the ranks that the customer may ask for by header.
func (c Customer) Ranks() []RankName { return c.ranks }

// InFlight returns the limit of requests in flight in one data centre, 0 for none.
func (c Customer) InFlight() int { return c.inFlight }

// TokensPerSecond returns the token limit in one data centre, 0 for none.
func (c Customer) TokensPerSecond() float64 { return c.tokensPerSecond }

// QueueBytes returns the limit of queued bytes in one data centre, 0 for none.
func (c Customer) QueueBytes() int64 { return c.queueBytes }
