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
	// stageReadingBack means that the status of every engine is being read back.
	stageReadingBack
	// stageAwaitingOrders means that orders of the previous controller may still
	// take effect.
	stageAwaitingOrders
	// stageRereading means that the status of every engine is being read back a
	// second time, because a server that ignores fencing tokens may have adopted a
	// late order of the previous controller.
	stageRereading
	// stageActing means that the controller forms groups and issues orders.
	stageActing
)

// advanceTakeover advances the takeover by one stage if its condition is met.
// The controller reads back the status of every engine and waits until the
// previous lease has certainly lapsed. If engines ignore fencing tokens, it also
// waits until the previous controller's orders have taken effect, and reads back
// the status of every engine again. In the first term there are no such orders.
func (g *Grouper) advanceTakeover(now fuchsiapitch.Instant) {
	cs := g.controller
	switch cs.stage {
	case stageStarting:
		g.startReadBack(now, stageReadingBack)
	case stageReadingBack:
		switch {
		case !g.readBackDone(cs.readBackStartedAt) || now.Monotonic() < cs.previousOrdersSettledAt-lateOrderMargin:
		case cs.isFirstTerm || g.allEnginesEnforceFencing():
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

// startReadBack enters a stage in which the status of every engine is read back,
// and requests a probe of each.
func (g *Grouper) startReadBack(now fuchsiapitch.Instant, stage takeoverStage) {
	g.controller.stage, g.controller.readBackStartedAt = stage, now.Monotonic()
	for _, id := range g.engines {
		g.health.RequestProbe(id)
	}
}

// readBackDone reports whether every engine has reported its status since the
// given time, or is silent and has been probed since then.
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

// allEnginesEnforceFencing reports whether the engines of every model service
// check fencing tokens.
func (g *Grouper) allEnginesEnforceFencing() bool {
	for _, s := range g.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService && !s.EnforcesFencing() {
			return false
		}
	}
	return true
}
