package coordinator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// stagingMargin is added to the load time: a stage order that has not completed within
// the sum counts as failed. Loads take longer while many are in progress.
const stagingMargin = 8 * time.Second

// preloadDomain prepares the servers of a domain for the next repair. A server joins
// fastest with the model of its last group, and second fastest with a model that is
// staged on its host. A spare therefore joins, once, a formation of its own with the
// largest model, which never opens. Then every server stages a model other than its
// last one.
func (c *Coordinator) preloadDomain(now time.Duration, p *fuchsiapitch.EngineProfile, servers []*server) {
	if len(p.Models) == 0 {
		return
	}
	models := slices.SortedFunc(slices.Values(p.Models), func(a, b fuchsiapitch.Model) int {
		return cmp.Or(cmp.Compare(b.GroupSize, a.GroupSize), cmp.Compare(a.Name, b.Name))
	})
	for _, wantSpares := range []bool{true, false} {
		for _, s := range servers {
			if s.isUsable() && c.isGroupMember(s.report.ID) != wantSpares {
				c.preloadServer(now, models, s, wantSpares)
			}
		}
	}
}

// preloadServer performs the next step in the preparation of one server.
func (c *Coordinator) preloadServer(now time.Duration, models []fuchsiapitch.Model, s *server, isSpare bool) {
	largest := models[0].Name
	switch {
	case s.stagingModel != "" && now < s.expectedStagingEnd+stagingMargin, s.report.Membership.State == fuchsiapitch.MemberJoining:
		return
	case !isSpare && s.report.Membership.State == 0:
		// The server is about to join its group.
		return
	case !isSpare:
	case s.report.Membership.Group.Name != "" && !c.mayJoin(s):
		c.releaseIdleLeader(now, s)
		return
	case s.lastModel == "" && (!c.hasReceivedRequests || slices.Contains(s.report.StagedModels, largest)):
		c.joinSoloGroup(now, s, largest)
		return
	case s.lastModel == "":
		c.stageModel(now, s, models[0])
		return
	}
	for _, m := range models {
		if m.Name == s.lastModel {
			continue
		}
		if !slices.Contains(s.report.StagedModels, m.Name) {
			c.stageModel(now, s, m)
		}
		return
	}
}

// releaseIdleLeader orders the idle leader of a server's last formation to leave it, so
// that the server becomes free.
func (c *Coordinator) releaseIdleLeader(now time.Duration, s *server) {
	ref := s.report.Membership.Group
	leader, ok := c.servers[c.leaders[ref]]
	if ok && leader.isMemberOf(ref) && c.canReleaseLeader(s) && !c.isGroupMember(leader.report.ID) {
		c.sendOrder(now, leader.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref})
	}
}

// joinSoloGroup orders a spare to join a formation of its own, for which it loads the
// model. The prefix w of its name distinguishes it from formations that are to open,
// which have the prefix g.
func (c *Coordinator) joinSoloGroup(now time.Duration, s *server, model string) {
	if !c.mayPreload(now, s, model) {
		return
	}
	ref := fuchsiapitch.GroupRef{Epoch: c.nextEpoch()}
	ref.Name = fuchsiapitch.GroupID(fmt.Sprintf("w%d", ref.Epoch))
	id := s.report.ID
	if c.sendOrder(now, id, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderJoin, Group: ref, Model: model, Members: []fuchsiapitch.ServerID{id}}) {
		c.leaders[ref], c.dissolved[ref] = id, true
	}
}

// stageModel orders a server to stage a model.
func (c *Coordinator) stageModel(now time.Duration, s *server, m fuchsiapitch.Model) {
	if !c.mayPreload(now, s, m.Name) {
		return
	}
	duration := c.loadTime(m)
	if c.sendOrder(now, s.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderStage, Model: m.Name}) {
		s.stagingModel, s.expectedStagingEnd = m.Name, now+duration
	}
}
