package conductor

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// deadFailures is the number of unanswered questions in a row after which a
	// server counts as lost.
	deadFailures = 2
	// retryProbe is the time between questions to a server that does not answer,
	// retryLost that to one that counts as lost.
	retryProbe = 20 * time.Millisecond
	retryLost  = time.Second
	// goneTime is how long a server must be off the list, besides its silence,
	// to count as gone for good.
	goneTime = time.Second
)

// server is what is known of one backend server.
type server struct {
	report fuchsiapitch.ServerReport
	listed bool
	// listedAt and unlistedAt are when the server came onto the list and went off.
	listedAt, unlistedAt time.Duration
	// direct is when the server itself last answered, 0 for never.
	direct time.Duration
	// recovered is when it last answered after it had counted as lost.
	recovered time.Duration
	// failures is the number of unanswered calls in a row.
	failures int
	// ended states that the incarnation is over, since another answers at its
	// address: the next one of this server, or another server. Only the list tells
	// which.
	ended bool
	// asking and ordering state that a call is under way.
	asking, ordering bool
	// nextProbe is when the server may be asked again.
	nextProbe time.Duration
	// wantProbe states that its report is needed.
	wantProbe bool
	// refused states that its last order was refused, and heldUntil is until when it
	// gets no other: its reports are older than what made it refuse.
	refused   bool
	heldUntil time.Duration
	// epoch is the highest epoch of a formation that it was seen in since its start.
	epoch int64
	// freeing states that an order to leave a silent leader is under way.
	freeing bool
	// opening states that an order to open was accepted and is not done.
	opening bool
	// openAt is when it will be done, by the profile.
	openAt time.Duration
	// settled is until when reports may be older than the last order.
	settled time.Duration
	// model is the model of its last group since its start.
	model string
	// staging is the model that is being staged, until about stagedAt.
	staging  string
	stagedAt time.Duration
	// loading is when a load that was begun here ends, by the profile.
	loading time.Duration
}

// isLost reports whether the server does not answer, or another in its place.
func (s *server) isLost() bool { return s.ended || s.failures >= deadFailures }

// isUsable reports whether the server may take part in a new group.
func (s *server) isUsable() bool {
	return s.listed && !s.report.Leaving && !s.ended && s.failures == 0
}

// isOpening reports whether a ready leader may open by itself: an order to open
// is under way.
func (s *server) isOpening() bool { return s.opening || s.report.Busy }

// in reports whether the server is in a formation, by its last word.
func (s *server) in(ref fuchsiapitch.GroupRef) bool { return s.report.Membership.Group == ref }

// fleet is what is known of all backend servers.
type fleet struct {
	servers map[fuchsiapitch.ServerID]*server
	// listRead is when the list was last read.
	listRead  time.Duration
	listStale bool
	// storeBack is when the list could be read again after it could not.
	storeBack time.Duration
	// groups are the formations that the leader plans or has found.
	groups map[fuchsiapitch.GroupRef]*group
	// loadsAwaited states that a formation has loads to begin.
	loadsAwaited bool
	// nextLoad is when the next load may begin.
	nextLoad time.Duration
	// dissolved are formations that are taken apart; some members may not have
	// left them yet.
	dissolved map[fuchsiapitch.GroupRef]bool
	// heads remembers the leader of each formation.
	heads map[fuchsiapitch.GroupRef]fuchsiapitch.ServerID
	// stranded is since when free servers are too few for the model that lacks groups.
	stranded map[strand]time.Duration
}

func newFleet() fleet {
	return fleet{
		servers:   make(map[fuchsiapitch.ServerID]*server),
		groups:    make(map[fuchsiapitch.GroupRef]*group),
		dissolved: make(map[fuchsiapitch.GroupRef]bool),
		heads:     make(map[fuchsiapitch.GroupRef]fuchsiapitch.ServerID),
		stranded:  make(map[strand]time.Duration),
	}
}

// takeList takes in the platform's list of servers.
func (c *Conductor) takeList(now time.Duration, list []fuchsiapitch.ServerReport) {
	if c.listStale {
		c.storeBack = now
	}
	c.listRead, c.listStale = now, false
	seen := make(map[fuchsiapitch.ServerID]bool, len(list))
	for _, r := range list {
		seen[r.ID] = true
		s, ok := c.servers[r.ID]
		if !ok {
			s = &server{report: r}
			c.servers[r.ID] = s
		}
		if !s.listed {
			s.listed, s.listedAt = true, now
		}
		c.merge(now, s, r, false)
	}
	for id, s := range c.servers {
		if seen[id] {
			continue
		}
		if s.listed {
			s.listed, s.unlistedAt = false, now
			s.wantProbe = true
		}
		if now-s.unlistedAt > c.stall+goneTime && s.isLost() {
			c.forget(id, s)
		}
	}
}

// forget drops a server that is gone for good.
func (c *Conductor) forget(id fuchsiapitch.ServerID, s *server) {
	for ref := range c.groups {
		if c.heads[ref] == id {
			return
		}
	}
	if !s.asking && !s.ordering {
		delete(c.servers, id)
	}
}

// listLag is the usual age of the list, with the time between two reads.
const listLag = 3 * time.Second

// merge takes in a report. The list lags, by seconds after an outage of the
// store, so of a server that has answered itself it tells only what cannot be
// older: a later incarnation, a later formation, or the end of a broken one.
func (c *Conductor) merge(now time.Duration, s *server, r fuchsiapitch.ServerReport, direct bool) {
	old := s.report
	if r.Started < old.Started {
		return
	}
	reborn := r.Started > old.Started
	if !direct && !reborn && (s.direct > 0 || s.ended) {
		r = c.mergeListed(now, s, r)
	}
	if direct {
		// A report leaves out what only the list tells.
		r.Service, r.Address, r.DataCentre = old.Service, old.Address, old.DataCentre
		r.Slots, r.Leaving = old.Slots, old.Leaving
		if r.Domain == "" {
			r.Domain = old.Domain
		}
	}
	if reborn {
		s.direct = 0
		s.model, s.staging, s.loading, s.epoch = "", "", 0, 0
		s.failures, s.ended = 0, false
	}
	s.report = r
	s.epoch = max(s.epoch, r.Membership.Group.Epoch)
	if g := r.Membership.Group; g.Name != "" {
		if f, ok := c.groups[g]; ok {
			s.model = f.model
		} else if len(r.Loaded) > 0 {
			s.model = r.Loaded[0]
		}
		if r.Membership.Rank == 0 {
			c.heads[g] = r.ID
		}
	}
	if s.staging != "" && slices.Contains(r.Staged, s.staging) {
		s.staging = ""
	}
}

// mergeListed returns what a server has said of itself with what only the list
// tells, or tells later.
func (c *Conductor) mergeListed(now time.Duration, s *server, listed fuchsiapitch.ServerReport) fuchsiapitch.ServerReport {
	r := s.report
	r.Service, r.Address, r.DataCentre, r.Domain = listed.Service, listed.Address, listed.DataCentre, listed.Domain
	r.Slots, r.Leaving = listed.Slots, listed.Leaving
	if now-s.direct > listLag {
		r.Staged = listed.Staged
	}
	m := listed.Membership
	if m == r.Membership || s.ended {
		return r
	}
	if now-s.direct > listLag {
		s.wantProbe = true
	}
	if m.Group.Epoch > s.epoch || m.Group == r.Membership.Group && m.State == fuchsiapitch.MemberBroken {
		r.Membership, r.Loaded = m, listed.Loaded
	}
	return r
}

// takeReport takes in a server's own report, or its silence.
func (c *Conductor) takeReport(now time.Duration, e Reported) {
	s, ok := c.servers[e.Server]
	if !ok {
		return
	}
	s.asking = false
	if e.Err != nil {
		c.fail(now, s)
		return
	}
	if (s.ended || e.Report.Started > s.report.Started) && e.Named != e.Server {
		c.end(now, s)
		return
	}
	if e.Report.Started < s.report.Started {
		// The list knows of a later incarnation than the one that answers.
		c.fail(now, s)
		return
	}
	if s.isLost() && !s.ended {
		s.recovered = now
		c.doubtLosses(now, s.report.Domain)
	}
	s.failures, s.direct = 0, now
	s.wantProbe = false
	e.Report.ID = e.Server
	if s.refused {
		s.refused = false
		c.note("server reports after a refused order", map[string]any{
			fieldServer: e.Server, "orders": e.Report.Orders, "counted": s.report.Orders, "group": e.Report.Membership.Group.Name,
			"state": e.Report.Membership.State.String(), "busy": e.Report.Busy, "started": e.Report.Started, "known-start": s.report.Started,
		})
	}
	if c.isStale(now, s, e.Report) {
		s.wantProbe, s.nextProbe = true, max(s.settled, now+joinPoll)
	} else {
		s.opening = s.opening && e.Report.Busy
		c.merge(now, s, e.Report, true)
	}
	c.replan(now)
}

// end takes in that the incarnation of a server is over. A report does not name
// its server, and addresses are used again: what is said at the address is not
// taken for this server's word until the list shows a later start of it.
func (c *Conductor) end(now time.Duration, s *server) {
	s.wantProbe, s.opening, s.refused = false, false, false
	if s.ended {
		return
	}
	c.note("incarnation of a server is over", map[string]any{
		fieldServer: s.report.ID, "group": s.report.Membership.Group.Name, "address": s.report.Address,
	})
	s.ended = true
	s.report.Membership, s.report.Loaded, s.report.Busy = fuchsiapitch.Membership{}, nil, false
	c.replan(now)
}

// doubtLosses has the lost servers of a domain asked once more: one of them has
// answered again, so that the others may have been behind the same cut.
func (c *Conductor) doubtLosses(now time.Duration, domain fuchsiapitch.FabricDomainName) {
	for _, s := range c.servers {
		if s.report.Domain == domain && s.isLost() && !s.ended {
			s.failures, s.wantProbe, s.nextProbe = deadFailures-1, true, now
		}
	}
}

// isStale reports whether a server's report is older than the last order that it
// accepted.
func (c *Conductor) isStale(now time.Duration, s *server, r fuchsiapitch.ServerReport) bool {
	if r.Started > s.report.Started {
		return false
	}
	return s.report.OrdersKnown && now < s.settled && r.Orders <= s.report.Orders
}

// fail counts a call that a server did not answer.
func (c *Conductor) fail(now time.Duration, s *server) {
	s.failures++
	s.wantProbe = true
	s.nextProbe = now + retryProbe
	if s.isLost() {
		s.nextProbe = now + retryLost
	}
	if s.failures == deadFailures {
		c.note("server is lost", map[string]any{fieldServer: s.report.ID, "group": s.report.Membership.Group.Name})
		c.replan(now)
	}
}

// takeAnswer takes in the answer to an order.
func (c *Conductor) takeAnswer(now time.Duration, e Ordered) {
	s, ok := c.servers[e.Order.Server]
	if !ok {
		return
	}
	s.ordering, s.freeing = false, false
	switch e.Answer {
	case fuchsiapitch.OrderBegun, fuchsiapitch.OrderDone:
		s.failures, s.direct = 0, now
		c.assume(now, s, e.Order, e.Answer)
	case fuchsiapitch.OrderRefused, fuchsiapitch.OrderMisdirected:
		// If another server stands at the address, its report tells a later start.
		s.refused = true
		s.heldUntil = now + c.reportLag(s)
		s.failures, s.direct = 0, now
		s.wantProbe, s.nextProbe = true, s.heldUntil
		c.undoLoad(s, e.Order)
	case fuchsiapitch.OrderUnknown:
		c.fail(now, s)
	}
	c.replan(now)
}

// undoLoad takes back what was noted of a load that was refused.
func (c *Conductor) undoLoad(s *server, o fuchsiapitch.GroupOrder) {
	if o.Kind == fuchsiapitch.OrderStage || o.Kind == fuchsiapitch.OrderJoin {
		s.staging, s.loading = "", 0
	}
}

// assume enters what an accepted order has changed, until the next report.
func (c *Conductor) assume(now time.Duration, s *server, o fuchsiapitch.GroupOrder, answer fuchsiapitch.OrderAnswer) {
	if s.report.Orders == o.After && (answer == fuchsiapitch.OrderBegun || o.Kind == fuchsiapitch.OrderEvict || o.Kind == fuchsiapitch.OrderLeave) {
		s.report.Orders++
	}
	s.settled = now + c.reportLag(s)
	m := &s.report.Membership
	switch o.Kind {
	case fuchsiapitch.OrderJoin:
		if answer == fuchsiapitch.OrderBegun {
			*m = fuchsiapitch.Membership{Group: o.Group, Rank: rankOf(o.Members, o.Server), State: fuchsiapitch.MemberJoining}
		}
		s.wantProbe, s.nextProbe = true, now+c.joinTime(s, o.Model)+c.reportLag(s)
		s.epoch = max(s.epoch, o.Group.Epoch)
		s.model = o.Model
	case fuchsiapitch.OrderOpen:
		s.opening, s.openAt = true, now+c.formTime(s)
		s.settled = s.openAt + c.reportLag(s)
		s.wantProbe, s.nextProbe = true, s.settled
	case fuchsiapitch.OrderClose, fuchsiapitch.OrderEvict:
		m.State = fuchsiapitch.MemberClosing
		if answer == fuchsiapitch.OrderDone {
			m.State = fuchsiapitch.MemberReady
			return
		}
		s.wantProbe, s.nextProbe = true, s.settled
	case fuchsiapitch.OrderLeave:
		if s.in(o.Group) {
			*m = fuchsiapitch.Membership{}
		}
	case fuchsiapitch.OrderStage:
		if answer == fuchsiapitch.OrderDone {
			s.staging, s.loading = "", 0
			s.report.Staged = append(slices.Clone(s.report.Staged), o.Model)
		}
	}
}

func rankOf(members []fuchsiapitch.ServerID, id fuchsiapitch.ServerID) int {
	for n, m := range members {
		if m == id {
			return n
		}
	}
	return -1
}

// ask emits a question to a server if none is under way and one is due.
func (c *Conductor) ask(now time.Duration, s *server) {
	if s.asking || s.ordering || s.ended || now < s.nextProbe {
		return
	}
	s.asking, s.nextProbe = true, 0
	c.emit(AskReport{Server: s.report.ID, Address: s.report.Address, Started: s.report.Started})
}

// profileOf returns the engine profile of a server's service, nil for none.
func (c *Conductor) profileOf(s *server) *fuchsiapitch.EngineProfile {
	if c.table == nil {
		return nil
	}
	p, _ := c.table.Service(s.report.Service)
	return p.Engine
}

// sameModelTime is the time of a join with the model of the last group.
const sameModelTime = 200 * time.Millisecond

// joinTime returns how long a join takes by the profile.
func (c *Conductor) joinTime(s *server, model string) time.Duration {
	p := c.profileOf(s)
	if p == nil {
		return sameModelTime
	}
	m, _ := p.Model(model)
	switch {
	case s.model == model:
		return sameModelTime
	case slices.Contains(s.report.Staged, model):
		return m.Warm
	case s.staging == model:
		return max(0, s.stagedAt-c.now) + m.Warm
	}
	return c.loadTime(m)
}

// loadTime returns how long a load from the weight store takes.
func (c *Conductor) loadTime(m fuchsiapitch.Model) time.Duration {
	if !c.busy {
		return m.Load / loadsEarly
	}
	return m.Load
}

// loadsEarly is the factor by which loads are faster before the first request.
const loadsEarly = 10

// lagMargin is added to the age of reports, for the way and for timers.
const lagMargin = 30 * time.Millisecond

// reportLag returns the age of what a server reports.
func (c *Conductor) reportLag(s *server) time.Duration {
	if p := c.profileOf(s); p != nil {
		return p.ReportLag + lagMargin
	}
	return 0
}

func (c *Conductor) formTime(s *server) time.Duration {
	if p := c.profileOf(s); p != nil {
		return p.Form
	}
	return 0
}
