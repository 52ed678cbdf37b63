// Package standin starts in-process stand-ins for all outside systems: model engines,
// application servers, the log, the host list and the weight store. Each listens on a
// loopback port and supports fault injection.
package standin

import (
	"fmt"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/hostlist"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/log"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/weightstore"
)

const defaultWeightBytesPerSecond = 1 << 30

// settings holds the properties of a fleet.
type settings struct {
	dataCentres               []fuchsiapitch.DataCentreName
	domainsPerDataCentre      int
	enginesPerDomain          int
	applicationsPerDataCentre int
	applicationService        fuchsiapitch.ServiceName
	engineOptions             []engine.Option
	applicationOptions        []application.Option
	logOptions                []log.Option
	hostListLag               time.Duration
	weightBytesPerSecond      float64
}

// Option sets one property of a fleet.
type Option func(*settings)

// WithDataCentres sets the names of the data centres.
func WithDataCentres(names ...fuchsiapitch.DataCentreName) Option {
	return func(s *settings) { s.dataCentres = names }
}

// WithEngines sets the number of fabric domains of each data centre and the number of
// engines of each fabric domain.
func WithEngines(domainsPerDataCentre, enginesPerDomain int) Option {
	return func(s *settings) { s.domainsPerDataCentre, s.enginesPerDomain = domainsPerDataCentre, enginesPerDomain }
}

// WithApplications sets the name of the application service and the number of its servers
// in each data centre.
func WithApplications(service fuchsiapitch.ServiceName, serversPerDataCentre int) Option {
	return func(s *settings) { s.applicationService, s.applicationsPerDataCentre = service, serversPerDataCentre }
}

// WithEngineOptions adds options for every engine, such as its step timing and fencing.
func WithEngineOptions(options ...engine.Option) Option {
	return func(s *settings) { s.engineOptions = append(s.engineOptions, options...) }
}

// WithApplicationOptions adds options for every application server.
func WithApplicationOptions(options ...application.Option) Option {
	return func(s *settings) { s.applicationOptions = append(s.applicationOptions, options...) }
}

// WithLogOptions adds options for the log.
func WithLogOptions(options ...log.Option) Option {
	return func(s *settings) { s.logOptions = append(s.logOptions, options...) }
}

// WithHostListLag sets the lag with which the host list shows changes.
func WithHostListLag(lag time.Duration) Option { return func(s *settings) { s.hostListLag = lag } }

// WithWeightStoreRate sets the total transfer rate of the weight store.
func WithWeightStoreRate(bytesPerSecond float64) Option {
	return func(s *settings) { s.weightBytesPerSecond = bytesPerSecond }
}

// Fleet is a set of running stand-ins.
type Fleet struct {
	engines           []*engine.Engine
	applications      []*application.Application
	backendServers    []fuchsiapitch.BackendServer
	ledger            *application.Ledger
	log               *log.Log
	logServers        map[fuchsiapitch.DataCentreName]*faulter.Server
	hostList          *hostlist.HostList
	hostListServer    *faulter.Server
	weightStore       *weightstore.WeightStore
	weightStoreServer *faulter.Server
	cleanUps          []func()
}

// Start starts a fleet. Without options it has one data centre, "dc-a", with two fabric
// domains of two engines each and no application servers. The returned function stops
// all stand-ins.
func Start(options ...Option) (*Fleet, func(), error) {
	s := settings{
		dataCentres: []fuchsiapitch.DataCentreName{"dc-a"}, domainsPerDataCentre: 2, enginesPerDomain: 2,
		weightBytesPerSecond: defaultWeightBytesPerSecond,
	}
	for _, o := range options {
		o(&s)
	}
	f := &Fleet{
		ledger: application.NewLedger(), log: log.New(s.logOptions...),
		logServers: make(map[fuchsiapitch.DataCentreName]*faulter.Server),
		hostList:   hostlist.New(s.hostListLag), weightStore: weightstore.New(s.weightBytesPerSecond),
	}
	if err := f.start(s); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

func (f *Fleet) close() {
	for n := len(f.cleanUps) - 1; n >= 0; n-- {
		f.cleanUps[n]()
	}
}

func (f *Fleet) start(s settings) error {
	var cleanUp func()
	var err error
	if f.hostListServer, cleanUp, err = f.hostList.Listen(); err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	if f.weightStoreServer, cleanUp, err = f.weightStore.Listen(); err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	registry := engine.NewRegistry()
	for _, name := range s.dataCentres {
		if err := f.startDataCentre(s, name, registry); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startDataCentre(s settings, name fuchsiapitch.DataCentreName, registry *engine.Registry) error {
	server, cleanUp, err := f.log.Listen()
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	f.logServers[name] = server
	for d := range s.domainsPerDataCentre {
		domain := fuchsiapitch.FabricDomainName(fmt.Sprintf("%s-fabric-%d", name, d+1))
		for n := range s.enginesPerDomain {
			if err := f.startEngine(s, name, domain, n+1, registry); err != nil {
				return err
			}
		}
	}
	for n := range s.applicationsPerDataCentre {
		if err := f.startApplication(s, name, n+1); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEngine(s settings, name fuchsiapitch.DataCentreName, domain fuchsiapitch.FabricDomainName, n int, registry *engine.Registry) error {
	id := fuchsiapitch.ServerID(fmt.Sprintf("%s-engine-%02d", domain, n))
	options := append([]engine.Option{engine.WithLoader(f.weightStore)}, s.engineOptions...)
	e, cleanUp, err := engine.Start(id, registry, options...)
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	f.engines = append(f.engines, e)
	f.addToHostList(fuchsiapitch.NewBackendServer(id, fuchsiapitch.EngineServer, e.Address(), name,
		fuchsiapitch.WithFabricDomain(domain)))
	return nil
}

func (f *Fleet) startApplication(s settings, name fuchsiapitch.DataCentreName, n int) error {
	id := fuchsiapitch.ServerID(fmt.Sprintf("%s-%s-%02d", name, s.applicationService, n))
	a, cleanUp, err := application.Start(id, f.ledger, s.applicationOptions...)
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	f.applications = append(f.applications, a)
	f.addToHostList(fuchsiapitch.NewBackendServer(id, fuchsiapitch.ApplicationServer, a.Address(), name,
		fuchsiapitch.WithApplicationService(s.applicationService)))
	return nil
}

func (f *Fleet) addToHostList(b fuchsiapitch.BackendServer) {
	f.backendServers = append(f.backendServers, b)
	f.hostList.PutNow(b)
}
