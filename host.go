package fuchsiapitch

import "context"

// ServerKind is the kind of software that a backend server runs.
type ServerKind int

// The kinds of backend server.
const (
	// EngineServer runs a model engine.
	EngineServer ServerKind = iota + 1
	// ApplicationServer runs an application service, any HTTP service other than an
	// engine.
	ApplicationServer
)

// BackendServer is a host to which requests are forwarded, as described by the
// platform's host list.
type BackendServer struct {
	id           ServerID
	kind         ServerKind
	address      string
	dataCentre   DataCentreName
	fabricDomain FabricDomainName
	service      ServiceName
	leaving      bool
}

// BackendServerOption sets one optional property of a backend server.
type BackendServerOption func(*BackendServer)

// NewBackendServer returns a backend server that serves HTTP at address, an IP address
// and port.
func NewBackendServer(id ServerID, kind ServerKind, address string, dataCentre DataCentreName, options ...BackendServerOption) BackendServer {
	b := BackendServer{id: id, kind: kind, address: address, dataCentre: dataCentre}
	for _, o := range options {
		o(&b)
	}
	return b
}

// WithFabricDomain sets the fabric domain of a backend server.
func WithFabricDomain(domain FabricDomainName) BackendServerOption {
	return func(b *BackendServer) { b.fabricDomain = domain }
}

// WithApplicationService sets the application service that runs on a backend server.
func WithApplicationService(service ServiceName) BackendServerOption {
	return func(b *BackendServer) { b.service = service }
}

// WithServerLeaving marks a backend server as about to leave.
func WithServerLeaving() BackendServerOption {
	return func(b *BackendServer) { b.leaving = true }
}

// ID returns the identifier of the backend server.
func (b BackendServer) ID() ServerID { return b.id }

// Kind returns the kind of software that runs on the backend server.
func (b BackendServer) Kind() ServerKind { return b.kind }

// Address returns the IP address and port of the backend server.
func (b BackendServer) Address() string { return b.address }

// DataCentre returns the data centre of the backend server.
func (b BackendServer) DataCentre() DataCentreName { return b.dataCentre }

// FabricDomain returns the fabric domain of the backend server.
func (b BackendServer) FabricDomain() FabricDomainName { return b.fabricDomain }

// Service returns the application service on the backend server, "" for an engine.
func (b BackendServer) Service() ServiceName { return b.service }

// Leaving reports whether the backend server is about to leave.
func (b BackendServer) Leaving() bool { return b.leaving }

// Host is an entry host: a process of this system that receives client requests.
type Host struct {
	id          HostID
	address     string
	dataCentre  DataCentreName
	incarnation uint64
}

// NewHost returns an entry host. Other entry hosts connect to it at address, an IP
// address and port. The incarnation is higher after each restart.
func NewHost(id HostID, address string, dataCentre DataCentreName, incarnation uint64) Host {
	return Host{id: id, address: address, dataCentre: dataCentre, incarnation: incarnation}
}

// ID returns the identifier of the host.
func (h Host) ID() HostID { return h.id }

// Address returns the IP address and port at which other entry hosts connect.
func (h Host) Address() string { return h.address }

// DataCentre returns the data centre of the host.
func (h Host) DataCentre() DataCentreName { return h.dataCentre }

// Incarnation returns a number that increases with each restart of the host.
func (h Host) Incarnation() uint64 { return h.incarnation }

// HostList is the platform's list of live and leaving hosts. The list may be out of
// date: an absent host may be alive and a listed host may have failed.
type HostList interface {
	// BackendServers returns the listed backend servers. It returns an
	// UnavailableError if the platform does not respond.
	BackendServers(ctx context.Context) ([]BackendServer, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// BytesPerServer returns the number of bytes that each backend server loads for
	// a model version. It returns an UnavailableError if the store does not respond.
	BytesPerServer(ctx context.Context, model, version string) (int64, error)
}
