package grouper

import (
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// targetVersion returns the version that the groups of a service are to load.
// This is the configured version, unless its rollout failed; then it is the
// version that the groups had before.
func (p *planner) targetVersion(service fuchsiapitch.Service) string {
	rejected := p.speculative.RejectedVersion(service.Name())
	if service.Version() != rejected || rejected == "" {
		return service.Version()
	}
	for _, group := range p.groups {
		if group.Service == service.Name() && group.Version != rejected {
			return group.Version
		}
	}
	for _, group := range p.groups {
		if group.Service == service.Name() && group.PreviousVersion != "" {
			return group.PreviousVersion
		}
	}
	return service.Version()
}

// isUpToDate reports whether a group is assigned the model, version, adapters
// and size that its service requires.
func isUpToDate(group Group, service fuchsiapitch.Service, version string) bool {
	return group.Model == service.Model() && group.Version == version &&
		slices.Equal(group.Adapters, service.Adapters()) && len(group.Members) == service.GroupSize()
}

// rollOut brings the groups of each service to its model, version, adapters and
// group size, one group at a time: drain the group, assign it, and continue
// with the next once it works again. All of this is recorded in the stream, so
// a new controller continues where the previous one stopped. If the first group
// does not work on a new version within rolloutTimeout, the version is rejected
// and the group returns to its previous version.
func (p *planner) rollOut() []Change {
	var list []Change
	for _, s := range p.configuration.Services() {
		if s.Kind() == fuchsiapitch.ModelService {
			list = append(list, p.rollOutService(s)...)
		}
	}
	return list
}

func (p *planner) rollOutService(service fuchsiapitch.Service) []Change {
	version := p.targetVersion(service)
	var outdated []Group
	for _, group := range p.groups {
		if group.Service != service.Name() || p.changedGroups[group.ID] || p.groupStates[group.ID] == groupBroken {
			continue
		}
		switch {
		case !isUpToDate(group, service, version) && group.Draining:
			return p.updateGroup(group, service, version)
		case !isUpToDate(group, service, version):
			outdated = append(outdated, group)
		case p.groupStates[group.ID] == groupForming:
			return p.checkRollout(group)
		case group.Draining && !p.hasLeavingMember(group):
			p.changedGroups[group.ID] = true
			return []Change{{Kind: Assign, Group: group}}
		}
	}
	if len(outdated) == 0 {
		return nil
	}
	return []Change{p.drainGroup(outdated[0])}
}

// updateGroup assigns the target version to a group once it is drained. A group
// of the wrong size is disbanded, and its members become spares.
func (p *planner) updateGroup(group Group, service fuchsiapitch.Service, version string) []Change {
	if !p.isDrained(group) {
		return nil
	}
	p.changedGroups[group.ID] = true
	if len(group.Members) != service.GroupSize() {
		return []Change{{Kind: Disband, Group: Group{ID: group.ID}}}
	}
	updated := group
	updated.Model, updated.Version, updated.Adapters = service.Model(), version, service.Adapters()
	updated.PreviousVersion = ""
	if group.Version != version && version == service.Version() {
		updated.PreviousVersion = group.Version
	}
	return []Change{{Kind: Assign, Group: updated}}
}

// checkRollout rejects the version of a group that does not work within
// rolloutTimeout, and assigns the group its previous version.
func (p *planner) checkRollout(group Group) []Change {
	check, ok := p.controller.rolloutChecks[group.ID]
	if !ok || check.fencingToken != group.FencingToken {
		p.controller.rolloutChecks[group.ID] = rolloutCheck{fencingToken: group.FencingToken, startedAt: p.now}
		return nil
	}
	if group.PreviousVersion == "" || p.now-check.startedAt < rolloutTimeout {
		return nil
	}
	p.changedGroups[group.ID] = true
	restored := group
	restored.Version, restored.PreviousVersion = group.PreviousVersion, ""
	return []Change{
		{Kind: Reject, Service: group.Service, Version: group.Version},
		{Kind: Assign, Group: restored},
	}
}
