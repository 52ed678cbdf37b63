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

// struckPeriod is the time between two single answers that are struck.
const struckPeriod = 50 * time.Millisecond

func logRate() log.Option { return log.WithRate(outcomeLogRate) }

// storm strikes at random, by seed, in every data centre and at the log at the
// same time. At most one engine, application server or entry host of a data
// centre is struck at once, so that one server of each service lives.
type storm struct {
	bed  *outcomeBed
	seed uint64

	mutex   sync.Mutex
	strikes map[string]int
}

func newStorm(bed *outcomeBed, seed uint64) *storm {
	return &storm{bed: bed, seed: seed, strikes: make(map[string]int)}
}

// run strikes until the context ends, and then waits for what it struck to
// recover.
func (s *storm) run(ctx context.Context) {
	var running sync.WaitGroup
	for n, centre := range outcomeCentres {
		c := &cell{storm: s, centre: centre, random: rand.New(rand.NewPCG(s.seed, uint64(n)))}
		running.Go(func() { c.run(ctx, func() { c.strike(context.WithoutCancel(ctx)) }) })
	}
	c := &cell{storm: s, random: rand.New(rand.NewPCG(s.seed, uint64(len(outcomeCentres))))}
	running.Go(func() { c.run(ctx, c.strikeLog) })
	running.Wait()
}

// strikeAnswers strikes single answers of application servers until the context
// ends and returns how many it struck at most.
func (s *storm) strikeAnswers(ctx context.Context) int {
	random := rand.New(rand.NewPCG(s.seed, uint64(len(outcomeCentres)+1)))
	all := s.bed.fleet.Applications()
	for n := 0; ; n++ {
		if ctx.Err() != nil {
			return n
		}
		a := all[random.IntN(len(all))]
		switch random.IntN(3) {
		case 0:
			a.LoseAnswers(1)
		case 1:
			a.CrossAnswers(1)
		case 2:
			a.TruncateAnswers(1, 0)
		}
		time.Sleep(struckPeriod)
	}
}

func (s *storm) count(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.strikes[name]++
}

// cell is the part of a storm that strikes one data centre, or the log.
type cell struct {
	*storm
	centre fuchsiapitch.DataCentreName
	random *rand.Rand
}

func (s *cell) run(ctx context.Context, strike func()) {
	for ctx.Err() == nil {
		strike()
		s.rest(100, 400)
	}
}

// rest waits for a random number of milliseconds.
func (s *cell) rest(least, most int) {
	time.Sleep(time.Duration(least+s.random.IntN(most-least)) * time.Millisecond)
}

func (s *cell) strike(ctx context.Context) {
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.strikeApplication(s.pickApplication())
	case 3, 4, 5:
		s.strikeEngine(s.pickEngine())
	default:
		s.strikeHost(ctx)
	}
}

// number returns the place of a random one among the servers of each data
// centre, which stand in the order of the data centres.
func (s *cell) number(perCentre int) int {
	return slices.Index(outcomeCentres, s.centre)*perCentre + s.random.IntN(perCentre)
}

func (s *cell) pickApplication() *application.Application {
	return s.bed.fleet.Applications()[s.number(outcomeServers)]
}

func (s *cell) pickEngine() *engine.Engine { return s.bed.fleet.Engines()[s.number(outcomeEngines)] }

// strikeServer strikes answers and connections, of engines and applications.
func (s *cell) strikeServer(kind string, v *faulter.Server) {
	switch s.random.IntN(5) {
	case 0:
		s.count(kind + "-loses-answers")
		v.LoseAnswers(1 + s.random.IntN(5))
	case 1:
		s.count(kind + "-crosses-answers")
		v.CrossAnswers(1 + s.random.IntN(5))
	case 2:
		s.count(kind + "-truncates-answers")
		v.TruncateAnswers(1+s.random.IntN(5), s.random.IntN(2000))
	case 3:
		s.count(kind + "-goes-silent")
		v.Silence()
	case 4:
		s.count(kind + "-pauses")
		v.Pause()
		s.rest(200, 4000)
		v.Resume()
	}
}

func (s *cell) strikeApplication(a *application.Application) {
	switch s.random.IntN(4) {
	case 0:
		s.count("application-dies")
		a.Die()
		s.rest(200, 1500)
		_ = a.Revive()
	case 1:
		s.count("application-leaves")
		a.SetLeaving(true)
		s.rest(200, 1000)
		a.SetLeaving(false)
	default:
		s.strikeServer("application", a.Server)
	}
}

func (s *cell) strikeEngine(e *engine.Engine) {
	if s.random.IntN(4) > 0 {
		s.strikeServer("engine", e.Server)
		return
	}
	s.count("engine-dies")
	e.Die()
	s.rest(200, 1500)
	_ = e.Revive()
	s.bed.install(e)
}

func (s *cell) strikeHost(ctx context.Context) {
	h := s.bed.cluster.Hosts()[s.number(outcomeHosts)]
	if s.random.IntN(2) == 0 {
		s.count("entry-host-pauses")
		s.pauseHost(ctx, h)
		return
	}
	s.count("entry-host-dies")
	h.Kill()
	s.rest(200, 1500)
	if err := h.Restart(); err == nil {
		s.bed.describe(ctx, h)
	}
}

// pauseHost holds the decisions of a host up, while its goroutines run on.
func (s *cell) pauseHost(ctx context.Context, h *launcher.Host) {
	duration := time.Duration(500+s.random.IntN(3000)) * time.Millisecond
	_ = h.EntryHost().Runner().Inspect(ctx, func(*reducer.State) { time.Sleep(duration) })
}

func (s *cell) strikeLog() {
	f := s.bed.fleet
	switch s.random.IntN(3) {
	case 0:
		s.count("log-out")
		f.Log().SetOut(true)
		s.rest(500, 3000)
		f.Log().SetOut(false)
	case 1:
		s.count("log-loses-append-answers")
		f.Log().LoseAppendAnswers(1 + s.random.IntN(10))
	case 2:
		s.count("log-slow")
		f.Log().SetDelay(500 * time.Millisecond)
		s.rest(500, 2000)
		f.Log().SetDelay(0)
	}
}

// report records how often each fault struck.
func (s *storm) report(r *Report) {
	total := 0
	for name, n := range s.strikes {
		total += n
		r.Set(fmt.Sprintf("faults-%s", name), float64(n))
	}
	r.Set("faults", float64(total))
}
