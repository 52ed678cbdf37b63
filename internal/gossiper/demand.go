package gossiper

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Known returns the hosts of the data centre that have not announced their
// stop, this host included, in the order of their identifiers. Some of them may
// be dead.
func (m *Membership) Known() []fuchsiapitch.HostID {
	known := []fuchsiapitch.HostID{m.self.ID()}
	for id, p := range m.members {
		if p.host.DataCentre() == m.self.DataCentre() && p.standing != Leaving {
			known = append(known, id)
		}
	}
	slices.Sort(known)
	return known
}

// Demand returns the last reported demand of a customer at another host.
func (m *Membership) Demand(id fuchsiapitch.HostID, customer fuchsiapitch.CustomerName) CustomerDemand {
	if p, ok := m.members[id]; ok {
		return p.demands[customer]
	}
	return CustomerDemand{Customer: customer}
}
