// Package standin starts stand-ins of every outside system in this process:
// model engines, application servers, the log, the host list and the weight
// store, each on a loopback port with fault switches.
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

const defaultWeightRate = 1 << 30

// settings describe a fleet.
type settings struct {
	dataCentres   []fuchsiapitch.DataCentreName
	domains       int
	engines       int
	applications  int
	service       fuchsiapitch.ServiceName
	engineOptions []engine.Option
	serverOptions []application.Option
	logOptions    []log.Option
	lag           time.Duration
	weightRate    float64
}

// Option sets one property of a fleet.
type Option func(*settings)

// WithDataCentres sets the data centres.
func WithDataCentres(names ...fuchsiapitch.DataCentreName) Option {
	return func(s *settings) { s.dataCentres = names }
}

// WithEngines sets the number of fabric domains in each data centre and of
// engines in each fabric domain.
func WithEngines(domains, engines int) Option {
	return func(s *settings) { s.domains, s.engines = domains, engines }
}

// WithApplications sets the application service and its number of servers in
// each data centre.
func WithApplications(service fuchsiapitch.ServiceName, servers int) Option {
	return func(s *settings) { s.service, s.applications = service, servers }
}

// WithEngineOptions sets options of every engine, such as speed and fencing.
func WithEngineOptions(options ...engine.Option) Option {
	return func(s *settings) { s.engineOptions = append(s.engineOptions, options...) }
}

// WithApplicationOptions sets options of every application server.
func WithApplicationOptions(options ...application.Option) Option {
	return func(s *settings) { s.serverOptions = append(s.serverOptions, options...) }
}

// WithLogOptions sets options of the log.
func WithLogOptions(options ...log.Option) Option {
	return func(s *settings) { s.logOptions = append(s.logOptions, options...) }
}

// WithListLag sets the lag of the host list.
func WithListLag(lag time.Duration) Option { return func(s *settings) { s.lag = lag } }

// WithWeightRate sets the bytes a second that the weight store hands out.
func WithWeightRate(bytesPerSecond float64) Option {
	return func(s *settings) { s.weightRate = bytesPerSecond }
}

// Fleet is a set of running stand-ins.
type Fleet struct {
	engines      []*engine.Engine
	applications []*application.Application
	servers      []fuchsiapitch.BackendServer
	ledger       *application.Ledger
	log          *log.Log
	logs         map[fuchsiapitch.DataCentreName]*faulter.Server
	hosts        *hostlist.HostList
	hostServer   *faulter.Server
	weights      *weightstore.WeightStore
	weightServer *faulter.Server
	cleanUps     []func()
}

// Start starts a fleet. Without options it has one data centre, "dc-a", with
// two fabric domains of two engines each and no application server. The
// clean-up function ends all of it.
func Start(options ...Option) (*Fleet, func(), error) {
	s := settings{
		dataCentres: []fuchsiapitch.DataCentreName{"dc-a"}, domains: 2, engines: 2,
		weightRate: defaultWeightRate,
	}
	for _, o := range options {
		o(&s)
	}
	f := &Fleet{
		ledger: application.NewLedger(), log: log.New(s.logOptions...),
		logs:  make(map[fuchsiapitch.DataCentreName]*faulter.Server),
		hosts: hostlist.New(s.lag), weights: weightstore.New(s.weightRate),
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
	if f.hostServer, cleanUp, err = f.hosts.Listen(); err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	if f.weightServer, cleanUp, err = f.weights.Listen(); err != nil {
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
	f.logs[name] = server
	for d := range s.domains {
		domain := fuchsiapitch.FabricDomainName(fmt.Sprintf("%s-fabric-%d", name, d+1))
		for n := range s.engines {
			if err := f.startEngine(s, name, domain, n+1, registry); err != nil {
				return err
			}
		}
	}
	for n := range s.applications {
		if err := f.startApplication(s, name, n+1); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEngine(s settings, name fuchsiapitch.DataCentreName, domain fuchsiapitch.FabricDomainName, n int, registry *engine.Registry) error {
	id := fuchsiapitch.ServerID(fmt.Sprintf("%s-engine-%02d", domain, n))
	options := append([]engine.Option{engine.WithLoader(f.weights)}, s.engineOptions...)
	e, cleanUp, err := engine.Start(id, registry, options...)
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	f.engines = append(f.engines, e)
	f.list(fuchsiapitch.NewBackendServer(id, fuchsiapitch.EngineServer, e.Address(), name,
		fuchsiapitch.WithFabricDomain(domain)))
	return nil
}

func (f *Fleet) startApplication(s settings, name fuchsiapitch.DataCentreName, n int) error {
	id := fuchsiapitch.ServerID(fmt.Sprintf("%s-%s-%02d", name, s.service, n))
	a, cleanUp, err := application.Start(id, f.ledger, s.serverOptions...)
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, cleanUp)
	f.applications = append(f.applications, a)
	f.list(fuchsiapitch.NewBackendServer(id, fuchsiapitch.ApplicationServer, a.Address(), name,
		fuchsiapitch.WithApplicationService(s.service)))
	return nil
}

func (f *Fleet) list(b fuchsiapitch.BackendServer) {
	f.servers = append(f.servers, b)
	f.hosts.PutNow(b)
}
