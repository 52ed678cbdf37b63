package conductor

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// silentTime is the time without a byte on all streams of a group after which
	// its members are asked whether they live. Events come every 60 ms or so; a
	// pass with long prompts takes up to 150 ms.
	silentTime = 250 * time.Millisecond
	// memberProbe is the time between questions to the members of a silent group.
	memberProbe = 300 * time.Millisecond
	// joinPoll is the time between questions to a member that should be ready.
	joinPoll = 80 * time.Millisecond
	// formLimit is the time after which a formation that does not come about is
	// given up, beyond the time of a load.
	formLimit = 8 * time.Second
)

// group is one formation of a group.
type group struct {
	ref     fuchsiapitch.GroupRef
	service fuchsiapitch.ServiceName
	domain  fuchsiapitch.FabricDomainName
	model   string
	// members are the servers in the order of their ranks, the leader first.
	members []fuchsiapitch.ServerID
	size    int
	// joined are the members that were seen in the formation, and asked the numbers
	// of orders after which others were first told to join it.
	joined map[fuchsiapitch.ServerID]bool
	asked  map[fuchsiapitch.ServerID]int64
	// since is when the formation was planned or found.
	since time.Duration
	// opened is when it was first seen open, 0 for never.
	opened time.Duration
	// failed states that it is to be taken apart.
	failed bool
	// retiring states that it finishes its requests first.
	retiring bool
	// nextProbe is when its members may be asked again for its silence.
	nextProbe time.Duration
}

func (g *group) head() fuchsiapitch.ServerID { return g.members[0] }

// isOpen reports whether the leader of a group was last seen open.
func (c *Conductor) isOpen(g *group) bool {
	s, ok := c.servers[g.head()]
	return ok && s.in(g.ref) && s.report.Membership.State == fuchsiapitch.MemberOpen
}

// replan plans after news, if this host leads.
func (c *Conductor) replan(now time.Duration) {
	if c.leads(now) {
		c.plan(now)
	}
	c.refreshStations(now)
}

// plan brings the groups closer to what is wanted.
func (c *Conductor) plan(now time.Duration) {
	if c.table == nil {
		return
	}
	if !c.survey(now) {
		return
	}
	c.adopt(now)
	for _, s := range c.servers {
		if s.opening && now >= s.openAt {
			s.opening, s.report.Membership.State = false, fuchsiapitch.MemberOpen
		}
	}
	for _, g := range c.sortedGroups() {
		c.tend(now, g)
	}
	for name, p := range c.table.Services() {
		if p.Engine == nil {
			continue
		}
		domains := c.domains(name)
		for _, d := range sortedKeys(domains) {
			c.form(now, name, d, p.Engine, domains[d])
		}
		for _, d := range sortedKeys(domains) {
			if c.busy || c.isSettled(now, domains[d]) {
				c.warm(now, p.Engine, domains[d])
			}
		}
	}
	for _, id := range sortedKeys(c.servers) {
		if s := c.servers[id]; s.wantProbe && (s.listed || s.report.Membership.Group.Name != "") {
			c.ask(now, s)
		}
	}
}

// surveyLimit is the longest time that a new leader waits for the reports of all
// servers.
const surveyLimit = 600 * time.Millisecond

// isSurveyed reports whether a leader has asked all servers.
func (c *Conductor) isSurveyed() bool { return c.leadsSince > 0 && c.surveyed == c.leadsSince }

// survey has a leader that is new in office ask every server before it plans: the
// list may be older than the last orders of the leader before it.
func (c *Conductor) survey(now time.Duration) bool {
	if c.isSurveyed() {
		return true
	}
	if len(c.servers) == 0 {
		return false
	}
	if c.surveyFrom < c.leadsSince {
		c.surveyFrom = now
	}
	missing := 0
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		if c.profileOf(s) == nil || !s.listed || s.direct >= c.leadsSince || s.failures > 0 {
			continue
		}
		missing++
		c.ask(now, s)
	}
	if missing > 0 && now-c.surveyFrom < surveyLimit {
		return false
	}
	c.surveyed = c.leadsSince
	return true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (c *Conductor) sortedGroups() []*group {
	list := make([]*group, 0, len(c.groups))
	for _, g := range c.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.ref.Epoch, b.ref.Epoch) })
	return list
}

// domains returns the servers of a service by fabric domain.
func (c *Conductor) domains(service fuchsiapitch.ServiceName) map[fuchsiapitch.FabricDomainName][]*server {
	domains := make(map[fuchsiapitch.FabricDomainName][]*server)
	for _, id := range sortedKeys(c.servers) {
		if s := c.servers[id]; s.report.Service == service {
			domains[s.report.Domain] = append(domains[s.report.Domain], s)
		}
	}
	return domains
}

// adopt finds the formations that servers report and this host did not plan.
func (c *Conductor) adopt(now time.Duration) {
	found := make(map[fuchsiapitch.GroupRef]*group)
	for _, id := range sortedKeys(c.servers) {
		s := c.servers[id]
		m := s.report.Membership
		if m.Group.Name == "" {
			continue
		}
		if c.dissolved[m.Group] {
			if m.Rank != 0 || m.State != fuchsiapitch.MemberOpen || s.isLost() {
				continue
			}
			// Its leader was out of reach and still takes requests.
			delete(c.dissolved, m.Group)
		}
		if g, ok := c.groups[m.Group]; ok {
			g.joined[id] = g.joined[id] || slices.Contains(g.members, id)
			continue
		}
		p := c.profileOf(s)
		if p == nil {
			continue
		}
		g, ok := found[m.Group]
		if !ok {
			g = &group{ref: m.Group, service: s.report.Service, domain: s.report.Domain, since: now, joined: make(map[fuchsiapitch.ServerID]bool)}
			found[m.Group] = g
		}
		if len(s.report.Loaded) > 0 {
			g.model = s.report.Loaded[0]
		}
		for len(g.members) <= m.Rank {
			g.members = append(g.members, "")
		}
		if m.Rank >= 0 {
			g.members[m.Rank] = id
			g.joined[id] = true
		}
		if model, ok := p.Model(g.model); ok {
			g.size = model.Size
		}
	}
	for ref, g := range found {
		if len(g.members) == 0 || g.size == 0 && g.model == "" {
			continue
		}
		g.failed = g.size != len(g.members) || slices.Contains(g.members, "")
		c.groups[ref] = g
	}
}

// tend takes the next step in the life of a formation.
func (c *Conductor) tend(now time.Duration, g *group) {
	c.judge(now, g)
	if g.failed {
		c.dissolve(now, g)
		return
	}
	if c.isOutOfReach(now, g) {
		c.watchAll(now, g)
		return
	}
	if c.isOpen(g) {
		if g.opened == 0 {
			g.opened = now
			c.emit(GroupOpened{Group: g.ref.Name, Model: g.model, Took: now - g.since})
		}
		if g.retiring {
			c.order(now, g.head(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderClose, Group: g.ref})
			return
		}
		c.watch(now, g)
		return
	}
	c.gather(now, g)
}

// judge decides whether a formation has failed.
func (c *Conductor) judge(now time.Duration, g *group) {
	if c.isOutOfReach(now, g) {
		return
	}
	for _, id := range g.members {
		s, ok := c.servers[id]
		switch {
		case !ok, s.isLost():
			g.fail(c, "member lost", id)
		case g.joined[id] && !s.in(g.ref):
			g.fail(c, "member left", id)
		case s.report.Membership.State == fuchsiapitch.MemberBroken && s.in(g.ref):
			g.fail(c, "group is broken", id)
		case s.report.Leaving && !g.retiring, id == g.head() && !g.retiring && c.isOffList(now, s) && c.isReplaceable(g):
			if g.opened == 0 && !c.isOpen(g) {
				g.fail(c, "member leaves", id)
			} else {
				c.note("group retires", map[string]any{"group": g.ref.Name, "server": id})
				g.retiring = true
			}
		}
	}
	if g.opened == 0 && !c.isOpen(g) && now-g.since > c.loadLimit(g) {
		g.fail(c, "formation took too long", "")
	}
	if s, ok := c.servers[g.head()]; g.retiring && ok && s.in(g.ref) && s.report.Membership.State == fuchsiapitch.MemberReady && g.opened > 0 {
		g.fail(c, "group has retired", "")
	}
}

// isOutOfReach reports whether no member of a formation answers: behind a cut it
// may be whole and at work, so that nothing is decided about it. A silent leader
// counts as lost only beside a member that has just answered.
func (c *Conductor) isOutOfReach(now time.Duration, g *group) bool {
	head, ok := c.servers[g.head()]
	if !ok || head.failures == 0 {
		return false
	}
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && s.failures == 0 && now-s.direct < freshTime && head.isLost() {
			return false
		}
	}
	return true
}

// relistTime is how long a server that is back in reach may take to return to the
// list, with the list's own lag.
const relistTime = 3 * time.Second

// isOffList reports whether a server that answers is off the list for good.
func (c *Conductor) isOffList(now time.Duration, s *server) bool {
	return !s.listed && !c.listStale && s.failures == 0 && s.direct > s.unlistedAt &&
		now-max(s.unlistedAt, s.recovered) > relistTime
}

// isReplaceable reports whether a domain has enough servers on the list to form a
// group again. Where it has not, its servers may be cut off from the list only.
func (c *Conductor) isReplaceable(g *group) bool {
	usable := 0
	for id, s := range c.servers {
		if s.report.Domain == g.domain && s.isUsable() && (slices.Contains(g.members, id) || !c.isPlanned(id)) {
			usable++
		}
	}
	return usable >= g.size
}

// freshTime is how old an answer of a server may be to show that it is in reach.
const freshTime = time.Second

func (c *Conductor) loadLimit(g *group) time.Duration {
	p, ok := c.table.Service(g.service)
	if !ok || p.Engine == nil {
		return formLimit
	}
	m, _ := p.Engine.Model(g.model)
	return m.Load + formLimit
}

func (g *group) fail(c *Conductor, why string, id fuchsiapitch.ServerID) {
	if g.failed {
		return
	}
	g.failed = true
	c.note("group is taken apart", map[string]any{"group": g.ref.Name, "model": g.model, "why": why, "server": id})
}

// dissolve takes a failed formation off the plan. Its leader must have refused
// requests first, or be out of reach; mayJoin guards its members.
func (c *Conductor) dissolve(now time.Duration, g *group) {
	head, ok := c.servers[g.head()]
	if ok && head.in(g.ref) && !head.isLost() {
		switch head.report.Membership.State {
		case fuchsiapitch.MemberOpen:
			c.order(now, g.head(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: g.ref})
			return
		case fuchsiapitch.MemberClosing:
			c.poll(now, head)
			return
		case fuchsiapitch.MemberReady:
			if head.isOpening() {
				if !head.opening {
					c.poll(now, head)
				}
				return
			}
		case fuchsiapitch.MemberJoining, fuchsiapitch.MemberBroken:
		}
	}
	delete(c.groups, g.ref)
	c.dissolved[g.ref] = true
}

// headHasLeft reports whether the leader of a formation can serve it no more: it
// has gone on to another formation, has started again, or is broken.
func (c *Conductor) headHasLeft(ref fuchsiapitch.GroupRef) bool {
	s, ok := c.servers[c.heads[ref]]
	return ok && (!s.in(ref) || s.report.Membership.State == fuchsiapitch.MemberBroken)
}

// isHeadSilent reports whether the leader of a formation does not answer, or is
// not known at all.
func (c *Conductor) isHeadSilent(ref fuchsiapitch.GroupRef) bool {
	s, ok := c.servers[c.heads[ref]]
	return !ok || s.isLost()
}

// watch asks the members of a group that has fallen silent.
func (c *Conductor) watch(now time.Duration, g *group) {
	if !c.isSilent(now, g.head()) && !c.isSuspect(now, g) || now < g.nextProbe {
		return
	}
	c.watchAll(now, g)
}

// watchAll has all members of a group asked.
func (c *Conductor) watchAll(now time.Duration, g *group) {
	if now < g.nextProbe {
		return
	}
	g.nextProbe = now + memberProbe
	for _, id := range g.members {
		if s, ok := c.servers[id]; ok && now-s.direct > memberProbe/2 {
			s.wantProbe = true
		}
	}
}

// isSuspect reports whether a member was named in a refusal.
func (c *Conductor) isSuspect(now time.Duration, g *group) bool {
	for _, id := range g.members {
		if now < c.suspects[id] {
			return true
		}
	}
	return false
}

// gather has the members of a new formation join, and opens it when each of
// them has reported ready.
func (c *Conductor) gather(now time.Duration, g *group) {
	ready := 0
	for _, id := range g.members {
		s := c.servers[id]
		if !s.in(g.ref) {
			c.join(now, g, s)
			continue
		}
		switch s.report.Membership.State {
		case fuchsiapitch.MemberReady:
			ready++
		case fuchsiapitch.MemberJoining:
			c.poll(now, s)
		case fuchsiapitch.MemberOpen, fuchsiapitch.MemberClosing, fuchsiapitch.MemberBroken:
		}
	}
	head := c.servers[g.head()]
	if ready < g.size || len(g.members) != g.size {
		return
	}
	if head.opening {
		return
	}
	if head.report.Busy {
		c.poll(now, head)
		return
	}
	c.order(now, g.head(), fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderOpen, Group: g.ref})
}

// join has a server join a formation. What has left a formation never comes back
// to it: a member that took the order and is not in it has left.
func (c *Conductor) join(now time.Duration, g *group, s *server) {
	id := s.report.ID
	after, asked := g.asked[id]
	switch {
	case asked && s.report.OrdersKnown && s.report.Orders != after:
		g.fail(c, "member left", id)
	case !c.mayJoin(s):
	case c.order(now, id, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderJoin, Group: g.ref, Model: g.model, Members: g.members}):
		if g.asked == nil {
			g.asked = make(map[fuchsiapitch.ServerID]int64)
		}
		if !asked {
			g.asked[id] = s.report.Orders
		}
	}
}

// poll has a server that is at work asked a little later.
func (c *Conductor) poll(now time.Duration, s *server) {
	if !s.wantProbe {
		s.wantProbe, s.nextProbe = true, now+joinPoll
	}
}

// mayJoin reports whether a server may join another formation: it is in none,
// or the leader of the one it is in can serve it no more. A leader itself may
// go while it takes no requests.
func (c *Conductor) mayJoin(s *server) bool {
	m := s.report.Membership
	if m.Group.Name == "" {
		return true
	}
	if c.heads[m.Group] == s.report.ID {
		return m.State == fuchsiapitch.MemberReady && !s.isOpening() || m.State == fuchsiapitch.MemberJoining || m.State == fuchsiapitch.MemberBroken
	}
	return c.headHasLeft(m.Group)
}

// leaveSilentHead has a member leave a formation whose leader does not answer. A
// leader that goes on unseen cannot work without it.
func (c *Conductor) leaveSilentHead(now time.Duration, s *server) {
	ref := s.report.Membership.Group
	if c.isHeadSilent(ref) && c.heads[ref] != s.report.ID {
		s.freeing = c.order(now, s.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref}) || s.freeing
	}
}

// order emits an order to a server and reports whether it did. It does not while
// a call to the server is under way or its state is not known.
func (c *Conductor) order(now time.Duration, id fuchsiapitch.ServerID, o fuchsiapitch.GroupOrder) bool {
	s, ok := c.servers[id]
	if !ok || s.asking || s.ordering || now < s.heldUntil {
		return false
	}
	if s.failures > 0 || s.direct < c.leadsSince || !s.report.OrdersKnown || s.wantProbe && now >= s.nextProbe {
		s.wantProbe = true
		c.ask(now, s)
		return false
	}
	if !c.reserveLoad(now, s, o) {
		return false
	}
	if o.Kind == fuchsiapitch.OrderOpen && s.wantProbe && now < s.nextProbe {
		return false
	}
	o.Server, o.Address, o.After, o.Fence = id, s.report.Address, s.report.Orders, c.claim
	if err := c.check(o, s); err != nil {
		c.violations++
		c.note(err.Error(), map[string]any{"invariant": err.Invariant})
		return false
	}
	s.ordering = true
	c.note("order", map[string]any{"order": o.Kind.String(), "server": id, "group": o.Group.Name, "model": o.Model, "after": o.After})
	c.emit(GiveOrder{Order: o})
	return true
}

// check asserts what must hold for an order. An order that it finds wrong is not
// given.
func (c *Conductor) check(o fuchsiapitch.GroupOrder, s *server) *fuchsiapitch.InvariantError {
	var broken string
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if !c.mayJoin(s) {
			broken = "one-group-per-server"
		}
	case fuchsiapitch.OrderOpen:
		g := c.groups[o.Group]
		for _, id := range g.members {
			m := c.servers[id]
			if !m.in(o.Group) || m.report.Membership.State != fuchsiapitch.MemberReady {
				broken = "whole-or-not-serving"
			}
		}
	case fuchsiapitch.OrderStage, fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict, fuchsiapitch.OrderLeave:
	}
	if broken == "" {
		return nil
	}
	return &fuchsiapitch.InvariantError{Invariant: broken, Detail: fmt.Sprintf("%s to %s for %s", o.Kind, o.Server, o.Group.Name)}
}

// reserveLoad reports whether a server may begin an order: those that need no
// load always, others within the limits of the weight store.
func (c *Conductor) reserveLoad(now time.Duration, s *server, o fuchsiapitch.GroupOrder) bool {
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if s.model == o.Model || slices.Contains(s.report.Staged, o.Model) || s.staging == o.Model {
			return true
		}
	case fuchsiapitch.OrderStage:
	case fuchsiapitch.OrderOpen, fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict, fuchsiapitch.OrderLeave:
		return true
	}
	return c.beginLoad(now, s, o.Model)
}

// beginLoad notes a load if the weight store has room for it.
func (c *Conductor) beginLoad(now time.Duration, s *server, model string) bool {
	p := c.profileOf(s)
	if p == nil {
		return false
	}
	if !c.busy {
		// Loads before the first request are fast and not limited.
		return true
	}
	if p.LoadsAtOnce > 0 && c.runningLoads(now) >= p.LoadsAtOnce || now < c.nextLoad {
		return false
	}
	if p.LoadsPerSecond > 0 {
		c.nextLoad = now + time.Duration(float64(time.Second)/p.LoadsPerSecond)
	}
	s.loading = now + c.joinTime(s, model)
	return true
}

// form plans new formations of the servers of a domain that are free.
func (c *Conductor) form(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile, servers []*server) {
	settled := c.isSettled(now, servers)
	if !settled && !c.busy {
		return
	}
	for {
		free := c.free(now, servers)
		if slices.ContainsFunc(servers, func(s *server) bool { return s.freeing }) {
			// More of them will be free in a moment.
			return
		}
		model, ok := c.nextModel(service, domain, p, len(free), settled)
		if !ok {
			break
		}
		c.formOne(now, service, domain, model, free)
	}
}

// settleTime is how long a domain must be without news before its first groups are
// formed, and before a model gets one because another does not fit: the servers
// appear on the list one after the other.
const settleTime = time.Second

// isSettled reports whether all servers of a domain are likely to be known and
// usable.
func (c *Conductor) isSettled(now time.Duration, servers []*server) bool {
	for _, s := range servers {
		back := s.recovered > 0 && now-s.recovered < settleTime
		if s.listed && (now-s.listedAt < settleTime || back || s.failures > 0) {
			return false
		}
	}
	return true
}

// free returns the servers that a new formation may use.
func (c *Conductor) free(now time.Duration, servers []*server) []*server {
	var free []*server
	for _, s := range servers {
		if !s.isUsable() || c.isPlanned(s.report.ID) {
			continue
		}
		if s.direct < c.leadsSince {
			s.wantProbe = true
			continue
		}
		m := s.report.Membership
		if m.Group.Name != "" && !c.mayJoin(s) && !c.willBeFree(s) {
			c.leaveSilentHead(now, s)
			continue
		}
		free = append(free, s)
	}
	return free
}

// willBeFree reports whether the leader of a server's last formation is at rest
// and will be moved on first.
func (c *Conductor) willBeFree(s *server) bool {
	head, ok := c.servers[c.heads[s.report.Membership.Group]]
	if !ok || !head.in(s.report.Membership.Group) || head.isLost() {
		return false
	}
	switch head.report.Membership.State {
	case fuchsiapitch.MemberReady, fuchsiapitch.MemberJoining, fuchsiapitch.MemberBroken:
		return true
	case fuchsiapitch.MemberOpen, fuchsiapitch.MemberClosing:
	}
	return false
}

// isPlanned reports whether a server is a member of a formation.
func (c *Conductor) isPlanned(id fuchsiapitch.ServerID) bool {
	for _, g := range c.groups {
		if slices.Contains(g.members, id) {
			return true
		}
	}
	return false
}

// sparesBeyond is the number of free servers that a domain keeps once it holds
// a group of each model.
const sparesBeyond = 2

// nextModel returns the model that the next formation in a domain should serve.
func (c *Conductor) nextModel(service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, p *fuchsiapitch.EngineProfile, free int, settled bool) (fuchsiapitch.Model, bool) {
	here := 0
	counts := make(map[string]float64)
	for _, g := range c.groups {
		if g.service != service || g.failed {
			continue
		}
		counts[g.model]++
		if g.domain == domain {
			here++
		}
	}
	if here >= len(p.Models) {
		free -= sparesBeyond
	}
	weight := func(m fuchsiapitch.Model) float64 {
		return counts[m.Name] * float64(m.Size) / max(m.Share, 0.01)
	}
	var best, wanted fuchsiapitch.Model
	for _, m := range p.Models {
		if wanted.Size == 0 || weight(m) < weight(wanted) || weight(m) == weight(wanted) && m.Size > wanted.Size {
			wanted = m
		}
		if m.Size > free || m.Size <= 0 {
			continue
		}
		if best.Size == 0 || weight(m) < weight(best) || weight(m) == weight(best) && m.Size > best.Size {
			best = m
		}
	}
	if best.Name != wanted.Name && (!settled || c.pressure(service, best.Name) < fullPressure) {
		// The servers wait for others to come for the model that lacks groups.
		return fuchsiapitch.Model{}, false
	}
	return best, best.Size > 0
}

// fullPressure is the share of the places of a model in use from which on it gets
// groups beyond its share.
const fullPressure = 0.85

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

// formOne plans one formation. Servers that need the least time come first; a
// leader that must go first for others to be free is taken in or told to leave.
func (c *Conductor) formOne(now time.Duration, service fuchsiapitch.ServiceName, domain fuchsiapitch.FabricDomainName, model fuchsiapitch.Model, free []*server) {
	slices.SortStableFunc(free, func(a, b *server) int {
		return cmp.Compare(c.joinTime(a, model.Name)+c.displaced(a, model.Name), c.joinTime(b, model.Name)+c.displaced(b, model.Name))
	})
	chosen := free[:model.Size]
	g := &group{
		service: service, domain: domain, model: model.Name, size: model.Size, since: now,
		joined: make(map[fuchsiapitch.ServerID]bool),
		ref:    fuchsiapitch.GroupRef{Epoch: c.nextEpoch()},
	}
	g.ref.Name = fuchsiapitch.GroupID(fmt.Sprintf("g%d", g.ref.Epoch))
	head := chosen[0]
	for _, s := range chosen {
		if c.heads[s.report.Membership.Group] == s.report.ID {
			head = s
			break
		}
	}
	g.members = append(g.members, head.report.ID)
	for _, s := range chosen {
		if s != head {
			g.members = append(g.members, s.report.ID)
		}
	}
	c.groups[g.ref] = g
	c.heads[g.ref] = head.report.ID
	c.note("group is formed", map[string]any{"group": g.ref.Name, "model": g.model, "domain": domain, "members": g.members})
	c.releaseHeads(now, chosen, g)
	c.gather(now, g)
}

// displaced weighs the use of a spare that holds another model.
func (c *Conductor) displaced(s *server, model string) time.Duration {
	if s.model != "" && s.model != model || len(s.report.Staged) > 0 && !slices.Contains(s.report.Staged, model) {
		return time.Second
	}
	return 0
}

// releaseHeads has the leaders that are not part of a formation leave the
// formations that its members were in.
func (c *Conductor) releaseHeads(now time.Duration, chosen []*server, g *group) {
	for _, s := range chosen {
		ref := s.report.Membership.Group
		head, ok := c.servers[c.heads[ref]]
		if ref.Name == "" || !ok || !head.in(ref) || slices.Contains(g.members, head.report.ID) {
			continue
		}
		c.order(now, head.report.ID, fuchsiapitch.GroupOrder{Kind: fuchsiapitch.OrderLeave, Group: ref})
	}
}

// groupLines returns all formations as other hosts learn them.
func (c *Conductor) groupLines() []GroupLine {
	lines := make([]GroupLine, 0, len(c.groups))
	for _, g := range c.sortedGroups() {
		lines = append(lines, GroupLine{
			Ref: g.ref, Model: g.model, Head: g.head(),
			Open: c.isOpen(g) && !g.failed && !g.retiring && !c.servers[g.head()].isLost(),
		})
	}
	return lines
}
