package grouper

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// versionOf returns the version that the groups of a service are to load: the
// configured one, unless it failed its first check; then the version that the
// groups had before.
func (p *planner) versionOf(service fuchsiapitch.Service) string {
	rejected := p.view.Rejected(service.Name())
	if service.Version() != rejected || rejected == "" {
		return service.Version()
	}
	for _, group := range p.groups {
		if group.Service == service.Name() && group.Version != rejected {
			return group.Version
		}
	}
	for _, group := range p.groups {
		if group.Service == service.Name() && group.Previous != "" {
			return group.Previous
		}
	}
	return service.Version()
}

// isCurrent reports whether a group is assigned what its service wants.
func isCurrent(group Group, service fuchsiapitch.Service, version string) bool {
	return group.Model == service.Model() && group.Version == version &&
		slices.Equal(group.Adapters, service.Adapters()) && len(group.Members) == service.GroupSize()
}

// roll brings the groups of each service to its model, version and adapters,
// one group at a time: drain, assign, and go on once the group works again. All
// of it is read from the stream, so that a new controller goes on where the old
// one stopped. A version whose first group does not work in time is ruled out,
// and the group returns to the version that it had.
func (p *planner) roll() []Change {
	var list []Change
	for _, s := range p.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService {
			list = append(list, p.rollService(s)...)
		}
	}
	return list
}

func (p *planner) rollService(service fuchsiapitch.Service) []Change {
	version := p.versionOf(service)
	var behind []Group
	for _, group := range p.groups {
		if group.Service != service.Name() || p.touched[group.ID] || p.state[group.ID] == groupBroken {
			continue
		}
		switch {
		case !isCurrent(group, service, version) && group.Draining:
			return p.upgrade(group, service, version)
		case !isCurrent(group, service, version):
			behind = append(behind, group)
		case p.state[group.ID] == groupForming:
			return p.firstCheck(group)
		case group.Draining && !p.hasLeaver(group):
			p.touched[group.ID] = true
			return []Change{{Kind: Assign, Group: group}}
		}
	}
	if len(behind) == 0 {
		return nil
	}
	return []Change{p.drain(behind[0])}
}

// upgrade assigns the wanted version to a group once it is drained. A group of
// another size than wanted is disbanded, and its members are formed anew.
func (p *planner) upgrade(group Group, service fuchsiapitch.Service, version string) []Change {
	if !p.isDrained(group) {
		return nil
	}
	p.touched[group.ID] = true
	if len(group.Members) != service.GroupSize() {
		return []Change{{Kind: Disband, Group: Group{ID: group.ID}}}
	}
	next := group
	next.Model, next.Version, next.Adapters = service.Model(), version, service.Adapters()
	next.Previous = ""
	if group.Version != version && version == service.Version() {
		next.Previous = group.Version
	}
	return []Change{{Kind: Assign, Group: next}}
}

// firstCheck rules out a version whose group does not work in time.
func (p *planner) firstCheck(group Group) []Change {
	c, ok := p.tenure.checked[group.ID]
	if !ok || c.fence != group.Fence {
		p.tenure.checked[group.ID] = check{fence: group.Fence, since: p.now}
		return nil
	}
	if group.Previous == "" || p.now-c.since < firstCheckTime {
		return nil
	}
	p.touched[group.ID] = true
	next := group
	next.Version, next.Previous = group.Previous, ""
	return []Change{
		{Kind: Reject, Service: group.Service, Version: group.Version},
		{Kind: Assign, Group: next},
	}
}
