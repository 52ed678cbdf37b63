package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// takeoverStage is a stage of the takeover by a new controller.
type takeoverStage int

const (
	// stageStarting means that the controller has just read its own claim.
	stageStarting takeoverStage = iota
	// stageReadingBack means that the accounts of all engines are being read back.
	stageReadingBack
	// stageAwaitingOrders means that orders of the previous controller may still
	// take effect.
	stageAwaitingOrders
	// stageRereading means that the accounts are being read back a second time,
	// because a server that ignores fencing numbers may have adopted a late order
	// of the previous controller.
	stageRereading
	// stageActing means that the controller forms groups and issues orders.
	stageActing
)

// advanceTakeover advances the takeover by one stage if its condition is met.
// The controller reads back every account and waits until the previous lease
// has lapsed for certain. If engines ignore fencing numbers, it also waits
// until the previous controller's orders have taken effect, and reads every
// account back again.
func (g *Grouper) advanceTakeover(now fuchsiapitch.Instant) {
	cs := g.controller
	switch cs.stage {
	case stageStarting:
		g.startReadBack(now, stageReadingBack)
	case stageReadingBack:
		switch {
		case !g.readBackDone(cs.readBackStartedAt) || now.Monotonic() < cs.previousOrdersSettledAt-lateOrderMargin:
		case cs.isFirstTerm || g.allEnginesFenced():
			cs.stage = stageActing
		default:
			cs.stage = stageAwaitingOrders
		}
	case stageAwaitingOrders:
		if now.Monotonic() >= cs.previousOrdersSettledAt {
			g.startReadBack(now, stageRereading)
		}
	case stageRereading:
		if g.readBackDone(cs.readBackStartedAt) {
			cs.stage = stageActing
		}
	case stageActing:
	}
}

// startReadBack enters a stage in which the accounts of all engines are read
// back, and requests a probe of each.
func (g *Grouper) startReadBack(now fuchsiapitch.Instant, next takeoverStage) {
	g.controller.stage, g.controller.readBackStartedAt = next, now.Monotonic()
	for _, id := range g.engines {
		g.health.RequestProbe(id)
	}
}

// readBackDone reports whether the state of every engine has been learned since
// the given time.
func (g *Grouper) readBackDone(since time.Duration) bool {
	if !g.serversListed {
		return false
	}
	for _, id := range g.engines {
		if !g.health.ProbeResolvedSince(id, since) {
			return false
		}
	}
	return true
}

// allEnginesFenced reports whether the engines of every model service check
// fencing numbers.
func (g *Grouper) allEnginesFenced() bool {
	for _, s := range g.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService && !s.EnforcesFencing() {
			return false
		}
	}
	return true
}
