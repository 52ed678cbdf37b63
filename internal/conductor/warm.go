package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// stageSlack is the time beyond that of a load after which a stage order
// counts as failed. Loads are slower while many are under way.
const stageSlack = 8 * time.Second

// warm prepares the servers of a domain for the next repair. A server joins the
// fastest with the model of its last group, and fast with a model that is staged
// on its host. So a spare joins the largest model once, in a formation of its
// own that never opens, and then every server stages another model than its last.
func (c *Conductor) warm(now time.Duration, p *fuchsiapitch.EngineProfile, servers []*server) {
	if len(p.Models) == 0 {
		return
	}
	models := slices.SortedFunc(slices.Values(p.Models), func(a, b fuchsiapitch.Model) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name))
	})
	for _, spares := range []bool{true, false} {
		for _, s := range servers {
			if s.isUsable() && c.isPlanned(s.report.ID) != spares {
				c.warmOne(now, models, s, spares)
			}
		}
	}
}

// warmOne takes the next step to warm one server.
func (c *Conductor) warmOne(now time.Duration, models []fuchsiapitch.Model, s *server, spare bool) {
	largest := models[0].Name
	switch {
	case s.staging != "" && now < s.stagedAt+stageSlack, s.report.Membership.State == fuchsiapitch.MemberJoining:
		return
	case !spare && s.report.Membership.State == 0:
		// It is about to join.
		return
	case !spare:
	case s.report.Membership.Group.Name != "" && !c.mayJoin(s):
		c.leaveRestingHead(now, s)
		return
	case s.model == "" && (!c.busy || slices.Contains(s.report.Staged, largest)):
		c.joinAlone(now, s, largest)
		return
	case s.model == "":
		c.stage(now, s, models[0])
		return
	}
	for _, m := range models {
		if m.Name == s.model {
			continue
		}
		if !slices.Contains(s.report.Staged, m.Name) {
			c.stage(now, s, m)
		}
		return
	}
}

// leaveRestingHead has the leader of a server's last formation leave it, so that
// the server is free.
func (c *Conductor) leaveRestingHead(now time.Duration, s *server) {
	ref := s.report.Membership.Group
	head, ok := c.servers[c.heads[ref]]
	if ok && head.in(ref) && c.willBeFree(s) && !c.isPlanned(head.report.ID) {
		c.order(now, head.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref})
	}
}

// joinAlone has a spare join a formation of its own, which loads the model.
func (c *Conductor) joinAlone(now time.Duration, s *server, model string) {
	if !c.mayWarm(now, s, model) {
		return
	}
	ref := fuchsiapitch.GroupRef{Epoch: c.nextEpoch()}
	ref.Name = fuchsiapitch.GroupID(fmt.Sprintf("w%d", ref.Epoch))
	id := s.report.ID
	if c.order(now, id, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderJoin, Group: ref, Model: model, Members: []fuchsiapitch.ServerID{id}}) {
		c.heads[ref], c.dissolved[ref] = id, true
	}
}

// stage has a server stage a model.
func (c *Conductor) stage(now time.Duration, s *server, m fuchsiapitch.Model) {
	if !c.mayWarm(now, s, m.Name) {
		return
	}
	took := c.loadTime(m)
	if c.order(now, s.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderStage, Model: m.Name}) {
		s.staging, s.stagedAt = m.Name, now+took
	}
}
