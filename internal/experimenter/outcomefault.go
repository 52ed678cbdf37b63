package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/log"
)

// responseFaultInterval is the time between two faults of single responses.
const responseFaultInterval = 50 * time.Millisecond

func logRateOption() log.Option { return log.WithRate(outcomeLogAppendsPerSecond) }

// faultInjector injects random faults from a seed, concurrently in every data
// centre and at the log. Each data centre has at most one fault of an engine,
// application server or entry host at a time, so that every service keeps a
// live server there.
type faultInjector struct {
	testbed *outcomeTestbed
	seed    uint64

	mutex       sync.Mutex
	faultCounts map[string]int
}

func newFaultInjector(testbed *outcomeTestbed, seed uint64) *faultInjector {
	return &faultInjector{testbed: testbed, seed: seed, faultCounts: make(map[string]int)}
}

// run injects faults until the context ends, and returns when the last of them
// have been cleared.
func (s *faultInjector) run(ctx context.Context) {
	var running sync.WaitGroup
	for n, dataCentre := range outcomeDataCentres {
		c := &scopedInjector{faultInjector: s, dataCentre: dataCentre, random: rand.New(rand.NewPCG(s.seed, uint64(n)))}
		running.Go(func() { c.injectRepeatedly(ctx, func() { c.injectFault(context.WithoutCancel(ctx)) }) })
	}
	c := &scopedInjector{faultInjector: s, random: rand.New(rand.NewPCG(s.seed, uint64(len(outcomeDataCentres))))}
	running.Go(func() { c.injectRepeatedly(ctx, c.injectLogFault) })
	running.Wait()
}

// injectResponseFaults injects faults of single responses of application
// servers until the context ends. It returns the number of faults, which is an
// upper bound of the responses that were affected.
func (s *faultInjector) injectResponseFaults(ctx context.Context) int {
	random := rand.New(rand.NewPCG(s.seed, uint64(len(outcomeDataCentres)+1)))
	applications := s.testbed.fleet.Applications()
	for n := 0; ; n++ {
		if ctx.Err() != nil {
			return n
		}
		a := applications[random.IntN(len(applications))]
		switch random.IntN(3) {
		case 0:
			a.LoseResponses(1)
		case 1:
			a.CrossResponses(1)
		case 2:
			a.TruncateResponses(1, 0)
		}
		time.Sleep(responseFaultInterval)
	}
}

func (s *faultInjector) countFault(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faultCounts[name]++
}

// scopedInjector injects the faults of one data centre, or of the log.
type scopedInjector struct {
	*faultInjector
	dataCentre fuchsiapitch.DataCentreName
	random     *rand.Rand
}

func (s *scopedInjector) injectRepeatedly(ctx context.Context, inject func()) {
	for ctx.Err() == nil {
		inject()
		s.sleepRandom(100, 400)
	}
}

// sleepRandom sleeps for a random time between minMs and maxMs milliseconds.
func (s *scopedInjector) sleepRandom(minMs, maxMs int) {
	time.Sleep(time.Duration(minMs+s.random.IntN(maxMs-minMs)) * time.Millisecond)
}

func (s *scopedInjector) injectFault(ctx context.Context) {
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.injectApplicationFault(s.pickApplication())
	case 3, 4, 5:
		s.injectEngineFault(s.pickEngine())
	default:
		s.injectHostFault(ctx)
	}
}

// randomIndex returns the index of a random element of the data centre in a
// list that is ordered by data centre.
func (s *scopedInjector) randomIndex(perDataCentre int) int {
	return slices.Index(outcomeDataCentres, s.dataCentre)*perDataCentre + s.random.IntN(perDataCentre)
}

func (s *scopedInjector) pickApplication() *application.Application {
	return s.testbed.fleet.Applications()[s.randomIndex(outcomeApplicationsPerDataCentre)]
}

func (s *scopedInjector) pickEngine() *engine.Engine {
	return s.testbed.fleet.Engines()[s.randomIndex(outcomeEnginesPerDataCentre)]
}

// injectServerFault injects a fault of the responses or connections of an
// engine or application server, or pauses it.
func (s *scopedInjector) injectServerFault(kind string, server *faulter.Server) {
	switch s.random.IntN(5) {
	case 0:
		s.countFault(kind + "-loses-answers")
		server.LoseResponses(1 + s.random.IntN(5))
	case 1:
		s.countFault(kind + "-crosses-answers")
		server.CrossResponses(1 + s.random.IntN(5))
	case 2:
		s.countFault(kind + "-truncates-answers")
		server.TruncateResponses(1+s.random.IntN(5), s.random.IntN(2000))
	case 3:
		s.countFault(kind + "-goes-silent")
		server.SilenceConnections()
	case 4:
		s.countFault(kind + "-pauses")
		server.Pause()
		s.sleepRandom(200, 4000)
		server.Resume()
	}
}

func (s *scopedInjector) injectApplicationFault(a *application.Application) {
	switch s.random.IntN(4) {
	case 0:
		s.countFault("application-dies")
		a.Kill()
		s.sleepRandom(200, 1500)
		_ = a.Restart()
	case 1:
		s.countFault("application-leaves")
		a.SetLeaving(true)
		s.sleepRandom(200, 1000)
		a.SetLeaving(false)
	default:
		s.injectServerFault("application", a.Server)
	}
}

func (s *scopedInjector) injectEngineFault(e *engine.Engine) {
	if s.random.IntN(4) > 0 {
		s.injectServerFault("engine", e.Server)
		return
	}
	s.countFault("engine-dies")
	e.Kill()
	s.sleepRandom(200, 1500)
	_ = e.Restart()
	s.testbed.installGroup(e)
}

func (s *scopedInjector) injectHostFault(ctx context.Context) {
	h := s.testbed.cluster.Hosts()[s.randomIndex(outcomeHostsPerDataCentre)]
	if s.random.IntN(2) == 0 {
		s.countFault("entry-host-pauses")
		s.blockReducer(ctx, h)
		return
	}
	s.countFault("entry-host-dies")
	h.Kill()
	s.sleepRandom(200, 1500)
	if err := h.Restart(); err == nil {
		s.testbed.configureHost(ctx, h)
	}
}

// blockReducer blocks the reducer of a host while its other goroutines keep
// running.
func (s *scopedInjector) blockReducer(ctx context.Context, h *launcher.Host) {
	blockTime := time.Duration(500+s.random.IntN(3000)) * time.Millisecond
	_ = h.EntryHost().Runner().Inspect(ctx, func(*reducer.State) { time.Sleep(blockTime) })
}

func (s *scopedInjector) injectLogFault() {
	f := s.testbed.fleet
	switch s.random.IntN(3) {
	case 0:
		s.countFault("log-out")
		f.Log().SetOutage(true)
		s.sleepRandom(500, 3000)
		f.Log().SetOutage(false)
	case 1:
		s.countFault("log-loses-append-answers")
		f.Log().LoseAppendResponses(1 + s.random.IntN(10))
	case 2:
		s.countFault("log-slow")
		f.Log().SetDelay(500 * time.Millisecond)
		s.sleepRandom(500, 2000)
		f.Log().SetDelay(0)
	}
}

// fillReport reports how often each fault was injected.
func (s *faultInjector) fillReport(r *Report) {
	total := 0
	for name, n := range s.faultCounts {
		total += n
		r.Set(fmt.Sprintf("faults-%s", name), float64(n))
	}
	r.Set("faults", float64(total))
}
