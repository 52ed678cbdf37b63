package standin

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/hostlist"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/log"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/weightstore"
)

// Engines returns the engines in the order of data centre, fabric domain and number.
func (f *Fleet) Engines() []*engine.Engine { return f.engines }

// Engine returns an engine by its identifier, or nil if there is none.
func (f *Fleet) Engine(id fuchsiapitch.ServerID) *engine.Engine {
	n := slices.IndexFunc(f.engines, func(e *engine.Engine) bool { return e.ID() == id })
	if n < 0 {
		return nil
	}
	return f.engines[n]
}

// Applications returns the application servers in the order of data centre and number.
func (f *Fleet) Applications() []*application.Application { return f.applications }

// BackendServers returns the entries of the engines and application servers that the host
// list had at the start.
func (f *Fleet) BackendServers() []fuchsiapitch.BackendServer { return f.backendServers }

// DomainEngines returns the engines of a fabric domain.
func (f *Fleet) DomainEngines(domain fuchsiapitch.FabricDomainName) []*engine.Engine {
	var engines []*engine.Engine
	for _, b := range f.backendServers {
		if b.FabricDomain() == domain && b.Kind() == fuchsiapitch.EngineServer {
			engines = append(engines, f.Engine(b.ID()))
		}
	}
	return engines
}

// Ledger returns the ledger that all application servers share.
func (f *Fleet) Ledger() *application.Ledger { return f.ledger }

// Log returns the log, to inject outages and to inspect its contents.
func (f *Fleet) Log() *log.Log { return f.log }

// LogAddress returns the address of the log's endpoint for the hosts of a data centre.
func (f *Fleet) LogAddress(name fuchsiapitch.DataCentreName) string {
	return f.logServers[name].Address()
}

// LogServer returns the log's endpoint for the hosts of a data centre, to inject faults
// that affect only that data centre.
func (f *Fleet) LogServer(name fuchsiapitch.DataCentreName) *faulter.Server {
	return f.logServers[name]
}

// HostList returns the host list, to change its entries.
func (f *Fleet) HostList() *hostlist.HostList { return f.hostList }

// HostListAddress returns the address of the host list.
func (f *Fleet) HostListAddress() string { return f.hostListServer.Address() }

// HostListServer returns the endpoint of the host list, to inject faults.
func (f *Fleet) HostListServer() *faulter.Server { return f.hostListServer }

// WeightStore returns the weight store, to set model sizes.
func (f *Fleet) WeightStore() *weightstore.WeightStore { return f.weightStore }

// WeightStoreAddress returns the address of the weight store.
func (f *Fleet) WeightStoreAddress() string { return f.weightStoreServer.Address() }

// WeightStoreServer returns the endpoint of the weight store, to inject faults.
func (f *Fleet) WeightStoreServer() *faulter.Server { return f.weightStoreServer }
