package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/rewinder"
)

// goingBackClaims are the claims in a store that returns from old copies of itself.
type goingBackClaims struct {
	hc      *hostCluster
	era     int64
	records []goingBackClaim
	// epochs maps the epochs that controllers have given to their givers.
	epochs     map[int64]string
	violations []string
}

// goingBackClaim is a claim with the era in which it was sent.
type goingBackClaim struct {
	era int64
	ClaimRead
}

// newest returns the newest claim as a host reads it.
func (g *goingBackClaims) newest() (ClaimRead, bool) {
	if len(g.records) == 0 {
		return ClaimRead{}, false
	}
	offset := len(g.records) - 1
	r := g.records[offset]
	r.Number = rewinder.ClaimNumber(r.era, int64(offset))
	if !rewinder.IsConfirmed(r.era, g.era) {
		r.Incarnation = 0
	}
	return r.ClaimRead, true
}

func (g *goingBackClaims) deliverNewest(h *simulatedHost) {
	if c, ok := g.newest(); ok && !h.stopped {
		g.hc.apply(h, c)
	}
}

// claim delivers the newest claim to a host if it is above the known one. Otherwise it appends
// one, unless another claim is appended before. The append may take seconds, and its response may
// be lost.
func (g *goingBackClaims) claim(h *simulatedHost, previous int64) {
	if c, ok := g.newest(); ok && (c.Number > previous || c.Holder == h.self.ID && c.Incarnation == h.incarnation) {
		g.deliverNewest(h)
		return
	}
	rng, sent, incarnation := g.hc.rng, g.era, h.incarnation
	end, delay, isLost := len(g.records), simulatedStoreLatency, rng.IntN(4) == 0
	if rng.IntN(4) == 0 {
		delay += time.Duration(rng.Int64N(int64(2 * time.Second)))
	}
	g.hc.at(g.hc.now+delay, func() {
		if len(g.records) != end {
			return
		}
		g.records = append(g.records, goingBackClaim{sent, ClaimRead{Holder: h.self.ID, Incarnation: incarnation}})
		if !isLost && h.incarnation == incarnation && rewinder.IsConfirmed(sent, g.era) {
			g.deliverNewest(h)
		}
	})
}

// goBack returns the store to the content that it had at most some claims ago.
func (g *goingBackClaims) goBack() {
	g.era++
	g.records = g.records[:len(g.records)-g.hc.rng.IntN(min(3, len(g.records))+1)]
}

// giveEpochs lets each controller give an epoch, and records a violation if it was given before.
func (g *goingBackClaims) giveEpochs() {
	for _, h := range g.hc.controllers() {
		giver := fmt.Sprintf("%s in its life %d", h.self.ID, h.incarnation)
		epoch := h.coordinator.nextEpoch()
		if previous, ok := g.epochs[epoch]; ok {
			g.violations = append(g.violations, fmt.Sprintf("%s and %s both gave epoch %d", previous, giver, epoch))
		}
		g.epochs[epoch] = giver
	}
}

// Pattern: the store returns from old copies while hosts restart and are cut off from each other.
// Claims are given out again, and appends take effect in a later era than they were sent in. No
// epoch may be given twice.
func TestNoEpochIsGivenTwiceWhenTheStoreGoesBack(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			hc := newHostCluster(seed, 5, 3)
			g := &goingBackClaims{hc: hc, era: 1, epochs: make(map[int64]string)}
			hc.goingBack = g
			cut := -1
			hc.isCut = func(h *simulatedHost) bool { return cut >= 0 && h == hc.hosts[cut] }
			for range 40 {
				h := hc.hosts[hc.rng.IntN(len(hc.hosts))]
				switch hc.rng.IntN(4) {
				case 0:
					g.goBack()
				case 1:
					cut = hc.rng.IntN(len(hc.hosts)+1) - 1
				case 2:
					h.incarnation++
					h.coordinator = New(h.self, h.incarnation, WithDataCentre(h.self.DataCentre))
					hc.apply(h, ConfigurationChanged{Routes: plainRoutes()})
				}
				for end := hc.now + time.Duration(hc.rng.Int64N(int64(4*time.Second))); hc.now < end; {
					hc.runUntil(hc.now + simulatedTickInterval)
					g.giveEpochs()
				}
			}
			if len(g.violations) > 0 {
				t.Errorf("got %q, want no epoch given twice", g.violations[0])
			}
			if len(g.epochs) == 0 {
				t.Error("got no epoch, want some")
			}
		})
	}
}

// Pattern: a controller that is cut off from the other hosts holds a claim that the store has
// lost. Another host gets the same offset, and both order the same servers.
func TestNoGroupIsJoinedByTwoWhenTheStoreGoesBack(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sm := newSimulation(seed)
			for era := range int64(4) {
				sm.startControllerWith(rewinder.ClaimNumber(1+era, 6))
				sm.run(4 * time.Second)
				for range 3 {
					sm.injectFault()
					sm.run(time.Duration(sm.rng.Int64N(int64(4 * time.Second))))
				}
			}
			assertNoViolations(t, sm)
		})
	}
}
