package gossiper

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// KnownHosts returns the hosts of the data centre that have not announced their
// shutdown, including this host, ordered by identifier. Some may be dead.
func (m *Membership) KnownHosts() []fuchsiapitch.HostID {
	hosts := []fuchsiapitch.HostID{m.self.ID()}
	for id, p := range m.members {
		if p.host.DataCentre() == m.self.DataCentre() && p.state != Leaving {
			hosts = append(hosts, id)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Demand returns the demand of a customer that another host last reported.
func (m *Membership) Demand(id fuchsiapitch.HostID, customer fuchsiapitch.CustomerName) CustomerDemand {
	if p, ok := m.members[id]; ok {
		return p.demands[customer]
	}
	return CustomerDemand{Customer: customer}
}
