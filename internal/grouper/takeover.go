package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// stage is the progress of a takeover.
type stage int

const (
	// starting means that the claim has just been read.
	starting stage = iota
	// reading means that every server's account is read back.
	reading
	// waiting means that orders of the last controller may still take effect.
	waiting
	// rereading means that every account is read back once more, since a server
	// that ignores fencing numbers may have taken up a late order.
	rereading
	// acting means that the controller forms groups and gives orders.
	acting
)

// advance follows the stages of a takeover. Every account is read back and the
// lease of the last controller has surely lapsed. Where engines ignore fencing
// numbers, the controller then waits until its orders have surely taken effect
// too, and reads every account back again.
func (g *Grouper) advance(now fuchsiapitch.Instant) {
	t := g.tenure
	switch t.stage {
	case starting:
		g.startReading(now, reading)
	case reading:
		switch {
		case !g.readBack(t.since) || now.Monotonic() < t.takeover-lateOrderTime:
		case t.first || g.allFenced():
			t.stage = acting
		default:
			t.stage = waiting
		}
	case waiting:
		if now.Monotonic() >= t.takeover {
			g.startReading(now, rereading)
		}
	case rereading:
		if g.readBack(t.since) {
			t.stage = acting
		}
	case acting:
	}
}

func (g *Grouper) startReading(now fuchsiapitch.Instant, next stage) {
	g.tenure.stage, g.tenure.since = next, now.Monotonic()
	for _, id := range g.engines {
		g.health.Suspect(id)
	}
}

func (g *Grouper) readBack(since time.Duration) bool {
	if !g.listed {
		return false
	}
	for _, id := range g.engines {
		if !g.health.Answered(id, since) {
			return false
		}
	}
	return true
}

// allFenced reports whether every engine checks fencing numbers.
func (g *Grouper) allFenced() bool {
	for _, s := range g.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService && !s.Fenced() {
			return false
		}
	}
	return true
}
