package experimenter

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/launcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/application"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/engine"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// soakFault is one kind of fault. inject starts it and returns the function
// that clears it.
type soakFault struct {
	name        string
	minDuration time.Duration
	maxDuration time.Duration
	inject      func(*rand.Rand) func()
}

func pickRandom[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

func clearNothing() {}

// faults returns every kind of fault.
func (b *soakTestbed) faults() []soakFault {
	var all []soakFault
	all = append(all, b.engineFaults()...)
	all = append(all, b.applicationFaults()...)
	all = append(all, b.hostFaults()...)
	all = append(all, b.platformFaults()...)
	return all
}

// engineFault returns a fault of one random engine.
func (b *soakTestbed) engineFault(name string, maxDuration time.Duration, inject func(*engine.Engine) func()) soakFault {
	return soakFault{name: name, minDuration: maxDuration / 10, maxDuration: maxDuration, inject: func(random *rand.Rand) func() {
		return inject(pickRandom(random, b.fleet.Engines()))
	}}
}

func (b *soakTestbed) engineFaults() []soakFault {
	return []soakFault{
		b.engineFault("engine-dies", 10*time.Second, killEngine),
		b.engineFault("engine-pauses", 8*time.Second, func(e *engine.Engine) func() {
			e.Pause()
			return e.Resume
		}),
		b.engineFault("engine-straggles", 5*time.Second, func(e *engine.Engine) func() {
			e.SetSlowdownFactor(10)
			return func() { e.SetSlowdownFactor(1) }
		}),
		b.engineFault("engine-leaves", 10*time.Second, func(e *engine.Engine) func() {
			e.SetLeaving(true)
			return func() { e.SetLeaving(false) }
		}),
		{name: "engine-answers-faulty", minDuration: time.Second, maxDuration: 5 * time.Second, inject: func(random *rand.Rand) func() {
			return injectResponseFault(random, b.groupLeader(pickRandom(random, b.fleet.Engines())).Server)
		}},
		{name: "domain-dark", minDuration: time.Second, maxDuration: 8 * time.Second, inject: func(random *rand.Rand) func() {
			domain := pickRandom(random, b.fleet.BackendServers()).FabricDomain()
			var restarts []func()
			for _, e := range b.fleet.DomainEngines(domain) {
				restarts = append(restarts, killEngine(e))
			}
			return func() {
				for _, restart := range restarts {
					restart()
				}
			}
		}},
	}
}

func killEngine(e *engine.Engine) func() {
	e.Kill()
	// Restart fails if another process has taken the port meanwhile. The engine
	// then stays dead.
	return func() { _ = e.Restart() }
}

// injectResponseFault makes the open connections of a server silent, or its next
// responses late, mismatched, truncated or lost.
func injectResponseFault(random *rand.Rand, s *faulter.Server) func() {
	const responses, keptBytes, delay = 3, 300, 200 * time.Millisecond
	switch random.IntN(5) {
	case 0:
		s.SilenceConnections()
	case 1:
		s.LoseResponses(responses)
	case 2:
		s.CrossResponses(responses)
	case 3:
		s.TruncateResponses(responses, keptBytes)
	case 4:
		s.DelayResponses(delay)
	}
	return func() {
		s.LoseResponses(0)
		s.CrossResponses(0)
		s.TruncateResponses(0, 0)
		s.DelayResponses(0)
	}
}

// groupLeader returns the leader of an engine's group, or the engine itself if
// it has no group.
func (b *soakTestbed) groupLeader(e *engine.Engine) *engine.Engine {
	members := e.Status().Assignment().Members()
	if len(members) == 0 {
		return e
	}
	return b.fleet.Engine(members[0])
}

func (b *soakTestbed) applicationFaults() []soakFault {
	newFault := func(name string, maxDuration time.Duration, inject func(*application.Application) func()) soakFault {
		return soakFault{name: name, minDuration: maxDuration / 10, maxDuration: maxDuration, inject: func(random *rand.Rand) func() {
			return inject(pickRandom(random, b.fleet.Applications()))
		}}
	}
	return []soakFault{
		newFault("application-dies", 6*time.Second, func(a *application.Application) func() {
			a.Kill()
			return func() { _ = a.Restart() }
		}),
		newFault("application-pauses", 5*time.Second, func(a *application.Application) func() {
			a.Pause()
			return a.Resume
		}),
		newFault("application-leaves", 5*time.Second, func(a *application.Application) func() {
			a.SetLeaving(true)
			return func() { a.SetLeaving(false) }
		}),
		{name: "application-answers-faulty", minDuration: time.Second, maxDuration: 5 * time.Second, inject: func(random *rand.Rand) func() {
			return injectResponseFault(random, pickRandom(random, b.fleet.Applications()).Server)
		}},
	}
}

func (b *soakTestbed) hostFaults() []soakFault {
	newFault := func(name string, stopHost func(*launcher.Host)) soakFault {
		return soakFault{name: name, minDuration: 500 * time.Millisecond, maxDuration: 8 * time.Second, inject: func(random *rand.Rand) func() {
			h := pickRandom(random, b.cluster.Hosts())
			stopHost(h)
			return func() { _ = h.Restart() }
		}}
	}
	return []soakFault{
		newFault("host-dies", (*launcher.Host).Kill),
		newFault("host-stops", (*launcher.Host).Stop),
	}
}

func (b *soakTestbed) platformFaults() []soakFault {
	log := b.fleet.Log()
	return []soakFault{
		{name: "log-out", minDuration: time.Second, maxDuration: 20 * time.Second, inject: func(*rand.Rand) func() {
			log.SetOutage(true)
			return func() { log.SetOutage(false) }
		}},
		{name: "log-slow", minDuration: time.Second, maxDuration: 10 * time.Second, inject: func(*rand.Rand) func() {
			log.SetDelay(500 * time.Millisecond)
			return func() { log.SetDelay(0) }
		}},
		{name: "log-loses-answers", minDuration: time.Second, maxDuration: 2 * time.Second, inject: func(*rand.Rand) func() {
			log.LoseAppendResponses(3)
			return clearNothing
		}},
		{name: "data-centre-cut-from-log", minDuration: time.Second, maxDuration: 15 * time.Second, inject: func(random *rand.Rand) func() {
			s := b.fleet.LogServer(pickRandom(random, b.dataCentres))
			s.Pause()
			return s.Resume
		}},
		{name: "log-connections-silent", minDuration: time.Second, maxDuration: 2 * time.Second, inject: func(random *rand.Rand) func() {
			b.fleet.LogServer(pickRandom(random, b.dataCentres)).SilenceConnections()
			return clearNothing
		}},
		{name: "host-list-away", minDuration: time.Second, maxDuration: 10 * time.Second, inject: func(*rand.Rand) func() {
			b.fleet.HostListServer().Pause()
			return b.fleet.HostListServer().Resume
		}},
	}
}
