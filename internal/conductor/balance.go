package conductor

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// sparesBeyond is the number of free servers that a domain keeps once it holds
	// a group of each model.
	sparesBeyond = 2
	// fullPressure is the share of the places of a model in use from which on it
	// gets groups beyond its share.
	fullPressure = 0.85
	// strandLimit is how long servers wait for others to come for the model that
	// lacks groups, before they serve one that they are enough for: longer than the
	// restart of a server or its replacement after a notice takes.
	strandLimit = 6 * time.Second
)

// census counts the formations of a service.
type census struct {
	profile *fuchsiapitch.EngineProfile
	// counts are the formations of each model in all domains but those that retire.
	counts map[string]int
	// here are those of one domain, moving those that are not yet open or retire.
	here, moving int
}

func (c *Conductor) count(service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile) census {
	k := census{profile: p, counts: make(map[string]int)}
	for _, g := range c.groups {
		if g.service != service || g.failed {
			continue
		}
		if !g.retiring {
			k.counts[g.model]++
		}
		if g.domain != domain {
			continue
		}
		k.here++
		if g.retiring || !c.isOpen(g) {
			k.moving++
		}
	}
	return k
}

// supply is the servers that a number of formations of a model take, against the
// share of the requests that ask for it.
func supply(m fuchsiapitch.Model, formations int) float64 {
	return float64(formations*m.Size) / max(m.Share, 0.01)
}

// lacking returns the model with the smallest supply of those that at most a number
// of servers can form, the largest of several.
func (k census) lacking(servers int) fuchsiapitch.Model {
	var best fuchsiapitch.Model
	for _, m := range k.profile.Models {
		if m.Size > servers || m.Size <= 0 {
			continue
		}
		mine, least := supply(m, k.counts[m.Name]), supply(best, k.counts[best.Name])
		if best.Size == 0 || mine < least || mine == least && m.Size > best.Size {
			best = m
		}
	}
	return best
}

// spare returns the free servers of a domain that a formation may use when the
// domain holds a number of others.
func (k census) spare(free, here int) int {
	if here >= len(k.profile.Models) {
		return free - sparesBeyond
	}
	return free
}

// strand names the servers of a domain that wait for others.
type strand struct {
	service fuchsiapitch.ServiceName
	domain  fuchsiapitch.FabricDomainName
}

// maxGroupSize exceeds the servers of any group.
const maxGroupSize = 1 << 16

// nextModel returns the model that the next formation in a domain should serve.
// Servers that are too few for the model that lacks groups wait for others to come.
// After strandLimit a group makes room for that model, or else they serve another
// that has no less pressure.
func (c *Conductor) nextModel(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile, free int, settled bool) (fuchsiapitch.Model, bool) {
	k := c.count(service, domain, p)
	wanted := k.lacking(maxGroupSize)
	best := k.lacking(k.spare(free, k.here))
	at := strand{service: service, domain: domain}
	if best.Size > 0 && (best.Name == wanted.Name || settled && c.pressure(service, best.Name) >= fullPressure) {
		delete(c.stranded, at)
		return best, true
	}
	room := c.roomFor(service, domain, k, wanted, free)
	if best.Size > 0 && c.pressure(service, best.Name) < c.pressure(service, wanted.Name) {
		// They are of more use as spares of the model that is pressed.
		best = fuchsiapitch.Model{}
	}
	if best.Size == 0 && room == nil || k.moving > 0 || !settled {
		delete(c.stranded, at)
		return fuchsiapitch.Model{}, false
	}
	since, waits := c.stranded[at]
	switch {
	case !waits:
		c.stranded[at] = now
		return fuchsiapitch.Model{}, false
	case now-since < strandLimit:
		return fuchsiapitch.Model{}, false
	}
	delete(c.stranded, at)
	if room != nil {
		c.note("group retires", map[string]any{"group": room.ref.Name, "model": room.model, "for": wanted.Name, "domain": domain, "free": free})
		room.retiring = true
		return fuchsiapitch.Model{}, false
	}
	c.note("servers wait no longer", map[string]any{"domain": domain, "model": best.Name, "wanted": wanted.Name, "free": free})
	return best, true
}

// roomFor returns a group of another model whose servers and the free ones of the
// domain are enough for a model that has no less pressure, and less supply than the
// other one keeps.
func (c *Conductor) roomFor(service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, k census, wanted fuchsiapitch.Model, free int) *group {
	least := supply(wanted, k.counts[wanted.Name])
	for _, g := range c.sortedGroups() {
		m, ok := k.profile.Model(g.model)
		switch {
		case !ok, g.service != service, g.domain != domain, g.failed, m.Name == wanted.Name:
		case k.spare(free+g.size, k.here-1) < wanted.Size:
		case supply(m, k.counts[m.Name]-1) <= least, c.pressure(service, m.Name) > c.pressure(service, wanted.Name):
		default:
			return g
		}
	}
	return nil
}

// pressure returns the requests for a model, running and waiting, as a share of
// its places.
func (c *Conductor) pressure(service fuchsiapitch.ServiceName, model string) float64 {
	slots, wants := 0, 0
	for _, s := range c.stations {
		if s.open && s.service == service && s.model == model {
			slots += s.slots
			wants += s.load()
		}
	}
	for _, w := range c.waiting {
		if w.Service == service && w.Model == model {
			wants++
		}
	}
	for _, p := range c.peers {
		for _, q := range p.beat.Queues {
			if q.Service == service && q.Model == model && p.isLive(c.now) {
				wants += q.Waiting
			}
		}
	}
	return float64(wants) / float64(max(slots, 1))
}
