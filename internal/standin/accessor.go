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

// Engines returns the engines in the order of data centre, fabric domain and
// number.
func (f *Fleet) Engines() []*engine.Engine { return f.engines }

// Engine returns an engine by identifier, nil if there is none.
func (f *Fleet) Engine(id fuchsiapitch.ServerID) *engine.Engine {
	n := slices.IndexFunc(f.engines, func(e *engine.Engine) bool { return e.ID() == id })
	if n < 0 {
		return nil
	}
	return f.engines[n]
}

// Applications returns the application servers in the order of data centre and
// number.
func (f *Fleet) Applications() []*application.Application { return f.applications }

// BackendServers returns the engines and application servers as the host list
// first listed them.
func (f *Fleet) BackendServers() []fuchsiapitch.BackendServer { return f.servers }

// DomainEngines returns the engines of one fabric domain.
func (f *Fleet) DomainEngines(domain fuchsiapitch.FabricDomainName) []*engine.Engine {
	var engines []*engine.Engine
	for _, b := range f.servers {
		if b.FabricDomain() == domain && b.Kind() == fuchsiapitch.EngineServer {
			engines = append(engines, f.Engine(b.ID()))
		}
	}
	return engines
}

// Ledger returns the ledger of all application servers.
func (f *Fleet) Ledger() *application.Ledger { return f.ledger }

// Log returns the log, for outages and contents.
func (f *Fleet) Log() *log.Log { return f.log }

// LogAddress returns the address of the log for the hosts of a data centre.
func (f *Fleet) LogAddress(name fuchsiapitch.DataCentreName) string { return f.logs[name].Address() }

// LogServer returns the log's endpoint for the hosts of a data centre, for
// faults that strike that data centre alone.
func (f *Fleet) LogServer(name fuchsiapitch.DataCentreName) *faulter.Server { return f.logs[name] }

// HostList returns the host list, for changes.
func (f *Fleet) HostList() *hostlist.HostList { return f.hosts }

// HostListAddress returns the address of the host list.
func (f *Fleet) HostListAddress() string { return f.hostServer.Address() }

// HostListServer returns the endpoint of the host list, for faults.
func (f *Fleet) HostListServer() *faulter.Server { return f.hostServer }

// WeightStore returns the weight store, for model sizes.
func (f *Fleet) WeightStore() *weightstore.WeightStore { return f.weights }

// WeightStoreAddress returns the address of the weight store.
func (f *Fleet) WeightStoreAddress() string { return f.weightServer.Address() }

// WeightStoreServer returns the endpoint of the weight store, for faults.
func (f *Fleet) WeightStoreServer() *faulter.Server { return f.weightServer }
