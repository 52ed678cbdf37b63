package experimenter

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// soakFault is one kind of fault. Strike begins it and returns its end.
type soakFault struct {
	name     string
	shortest time.Duration
	longest  time.Duration
	strike   func(*rand.Rand) func()
}

func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

func noUndo() {}

// faults returns every kind of fault.
func (b *soakBed) faults() []soakFault {
	var all []soakFault
	all = append(all, b.engineFaults()...)
	all = append(all, b.applicationFaults()...)
	all = append(all, b.hostFaults()...)
	all = append(all, b.platformFaults()...)
	return all
}

// engineFault returns a fault that strikes one engine at random.
func (b *soakBed) engineFault(name string, longest time.Duration, strike func(*engine.Engine) func()) soakFault {
	return soakFault{name: name, shortest: longest / 10, longest: longest, strike: func(random *rand.Rand) func() {
		return strike(pick(random, b.fleet.Engines()))
	}}
}

func (b *soakBed) engineFaults() []soakFault {
	return []soakFault{
		b.engineFault("engine-dies", 10*time.Second, killEngine),
		b.engineFault("engine-pauses", 8*time.Second, func(e *engine.Engine) func() {
			e.Pause()
			return e.Resume
		}),
		b.engineFault("engine-straggles", 5*time.Second, func(e *engine.Engine) func() {
			e.SetSlowness(10)
			return func() { e.SetSlowness(1) }
		}),
		b.engineFault("engine-leaves", 10*time.Second, func(e *engine.Engine) func() {
			e.SetLeaving(true)
			return func() { e.SetLeaving(false) }
		}),
		{name: "engine-answers-faulty", shortest: time.Second, longest: 5 * time.Second, strike: func(random *rand.Rand) func() {
			return strikeAnswers(random, b.leader(pick(random, b.fleet.Engines())).Server)
		}},
		{name: "domain-dark", shortest: time.Second, longest: 8 * time.Second, strike: func(random *rand.Rand) func() {
			domain := pick(random, b.fleet.BackendServers()).FabricDomain()
			var undo []func()
			for _, e := range b.fleet.DomainEngines(domain) {
				undo = append(undo, killEngine(e))
			}
			return func() {
				for _, u := range undo {
					u()
				}
			}
		}},
	}
}

func killEngine(e *engine.Engine) func() {
	e.Die()
	// A port that was taken meanwhile leaves the engine dead.
	return func() { _ = e.Revive() }
}

// strikeAnswers makes the open connections of a server silent, or its next
// answers late, crossed, cut or lost.
func strikeAnswers(random *rand.Rand, s *faulter.Server) func() {
	const answers, keptBytes, delay = 3, 300, 200 * time.Millisecond
	switch random.IntN(5) {
	case 0:
		s.Silence()
	case 1:
		s.LoseAnswers(answers)
	case 2:
		s.CrossAnswers(answers)
	case 3:
		s.TruncateAnswers(answers, keptBytes)
	case 4:
		s.DelayAnswers(delay)
	}
	return func() {
		s.LoseAnswers(0)
		s.CrossAnswers(0)
		s.TruncateAnswers(0, 0)
		s.DelayAnswers(0)
	}
}

// leader returns the leader of an engine's group, or the engine itself.
func (b *soakBed) leader(e *engine.Engine) *engine.Engine {
	members := e.Account().Assignment().Members()
	if len(members) == 0 {
		return e
	}
	return b.fleet.Engine(members[0])
}

func (b *soakBed) applicationFaults() []soakFault {
	fault := func(name string, longest time.Duration, strike func(*application.Application) func()) soakFault {
		return soakFault{name: name, shortest: longest / 10, longest: longest, strike: func(random *rand.Rand) func() {
			return strike(pick(random, b.fleet.Applications()))
		}}
	}
	return []soakFault{
		fault("application-dies", 6*time.Second, func(a *application.Application) func() {
			a.Die()
			return func() { _ = a.Revive() }
		}),
		fault("application-pauses", 5*time.Second, func(a *application.Application) func() {
			a.Pause()
			return a.Resume
		}),
		fault("application-leaves", 5*time.Second, func(a *application.Application) func() {
			a.SetLeaving(true)
			return func() { a.SetLeaving(false) }
		}),
		{name: "application-answers-faulty", shortest: time.Second, longest: 5 * time.Second, strike: func(random *rand.Rand) func() {
			return strikeAnswers(random, pick(random, b.fleet.Applications()).Server)
		}},
	}
}

func (b *soakBed) hostFaults() []soakFault {
	fault := func(name string, end func(*launcher.Host)) soakFault {
		return soakFault{name: name, shortest: 500 * time.Millisecond, longest: 8 * time.Second, strike: func(random *rand.Rand) func() {
			h := pick(random, b.cluster.Hosts())
			end(h)
			return func() { _ = h.Restart() }
		}}
	}
	return []soakFault{
		fault("host-dies", (*launcher.Host).Kill),
		fault("host-stops", (*launcher.Host).Stop),
	}
}

func (b *soakBed) platformFaults() []soakFault {
	log := b.fleet.Log()
	return []soakFault{
		{name: "log-out", shortest: time.Second, longest: 20 * time.Second, strike: func(*rand.Rand) func() {
			log.SetOut(true)
			return func() { log.SetOut(false) }
		}},
		{name: "log-slow", shortest: time.Second, longest: 10 * time.Second, strike: func(*rand.Rand) func() {
			log.SetDelay(500 * time.Millisecond)
			return func() { log.SetDelay(0) }
		}},
		{name: "log-loses-answers", shortest: time.Second, longest: 2 * time.Second, strike: func(*rand.Rand) func() {
			log.LoseAppendAnswers(3)
			return noUndo
		}},
		{name: "data-centre-cut-from-log", shortest: time.Second, longest: 15 * time.Second, strike: func(random *rand.Rand) func() {
			s := b.fleet.LogServer(pick(random, b.centres))
			s.Pause()
			return s.Resume
		}},
		{name: "log-connections-silent", shortest: time.Second, longest: 2 * time.Second, strike: func(random *rand.Rand) func() {
			b.fleet.LogServer(pick(random, b.centres)).Silence()
			return noUndo
		}},
		{name: "host-list-away", shortest: time.Second, longest: 10 * time.Second, strike: func(*rand.Rand) func() {
			b.fleet.HostListServer().Pause()
			return b.fleet.HostListServer().Resume
		}},
	}
}
