package grouper

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// evidenceTime is the time for which an advancing stream proves that the
	// members of its group are alive.
	evidenceTime = 400 * time.Millisecond
	// proofTime is the time after which a server without proof of life cannot
	// serve.
	proofTime = 10 * time.Second
	// busyLeaderPeriod is the time between two probes of the leader of a group
	// that has advancing streams. They prove life, but not that it is to stay.
	busyLeaderPeriod = 2 * time.Second
	// busyMemberPeriod is the time between two probes of its other members.
	busyMemberPeriod = 3 * time.Second
	// idleProbePeriod is the time between two probes of a server whose group
	// has no streams, and of a spare.
	idleProbePeriod = 1500 * time.Millisecond
	// stalledProbePeriod is the time between two probes of a server whose group
	// has streams that do not advance.
	stalledProbePeriod = 400 * time.Millisecond
	// loadingProbePeriod is the time between two probes of a server that is to
	// take up an assignment.
	loadingProbePeriod = 300 * time.Millisecond
	// silentProbeLimit is the longest time between two probes of a silent server.
	silentProbeLimit = 5 * time.Second
	// probeAnswerLimit is the time after which a probe without any report is
	// taken as lost.
	probeAnswerLimit = 3 * time.Second
	// probesPerSecond is the sustained rate of probes of one host.
	probesPerSecond = 4.0
	// probeBurst is the largest number of probes at once.
	probeBurst = 40.0
	// changeProbesPerSecond is the sustained rate of probes of servers that are
	// to take up an assignment or have not reported yet.
	changeProbesPerSecond = 200.0
	// firstSteadyTime is the time for which a server that came back must answer
	// before it is used again. It doubles with each further silence.
	firstSteadyTime = time.Second
	// steadyTimeLimit is the longest such time.
	steadyTimeLimit = 5 * time.Minute
	// flapMemory is the time without silence after which earlier ones count no more.
	flapMemory = 10 * time.Minute
	// confirmSilences is the number of unanswered probes in a row that confirm a
	// silence.
	confirmSilences = 2
)

// serverHealth is what one host knows of one backend server.
type serverHealth struct {
	account  fuchsiapitch.Account
	reported bool
	heard    time.Duration
	probed   time.Duration
	probing  bool
	suspect  bool
	silences int
	silent   time.Duration
	back     time.Duration
	flaps    int
}

// Health holds what one host knows of backend servers from their own accounts.
// A server that answers after a silence is steady only after a time that
// doubles with each silence, so that a flapping server is not assigned again
// and again.
type Health struct {
	servers  map[fuchsiapitch.ServerID]*serverHealth
	evidence map[fuchsiapitch.GroupID]time.Duration
	tokens   float64
	// changeTokens pay for the probes of servers in change, so that forming
	// many groups at once is not held up by the limit of steady times.
	changeTokens float64
	refilled     time.Duration
}

// NewHealth returns a health table that knows nothing.
func NewHealth() *Health {
	return &Health{
		servers:  make(map[fuchsiapitch.ServerID]*serverHealth),
		evidence: make(map[fuchsiapitch.GroupID]time.Duration),
		tokens:   probeBurst, changeTokens: changeProbesPerSecond,
	}
}

func (h *Health) at(id fuchsiapitch.ServerID) *serverHealth {
	s, ok := h.servers[id]
	if !ok {
		s = &serverHealth{}
		h.servers[id] = s
	}
	return s
}

// Report takes in a server's own account. It returns false when the account only
// confirms what was known and fresh.
func (h *Health) Report(now time.Duration, account fuchsiapitch.Account) bool {
	s := h.at(account.Server())
	confirmed := s.reported && !s.suspect && s.silences == 0 && now-s.heard < proofTime && sameStanding(s.account, account)
	if s.silences >= confirmSilences {
		s.back = now
	}
	if s.flaps > 0 && now-s.back >= flapMemory {
		s.flaps = 0
	}
	s.account, s.reported, s.heard = account, true, now
	s.probing, s.suspect, s.silences = false, false, 0
	return !confirmed
}

// sameStanding reports whether two accounts of a server differ at most in its
// load.
func sameStanding(a, b fuchsiapitch.Account) bool {
	return a.Incarnation() == b.Incarnation() && a.Fence() == b.Fence() && a.Ready() == b.Ready() &&
		a.Leaving() == b.Leaving() && a.Running() == 0 == (b.Running() == 0) &&
		a.Assignment().Group() == b.Assignment().Group() && a.Assignment().Model() == b.Assignment().Model() &&
		a.Assignment().Version() == b.Assignment().Version() &&
		slices.Equal(a.Assignment().Members(), b.Assignment().Members()) &&
		slices.Equal(a.Assignment().Adapters(), b.Assignment().Adapters())
}

// Silence takes in that a server did not answer a probe.
func (h *Health) Silence(now time.Duration, id fuchsiapitch.ServerID) {
	s := h.at(id)
	s.probing, s.suspect = false, false
	s.silences++
	if s.silences == 1 {
		s.silent = now
	}
	if s.silences == confirmSilences && s.reported {
		s.flaps++
	}
}

// Suspect has a server probed at once.
func (h *Health) Suspect(id fuchsiapitch.ServerID) { h.at(id).suspect = true }

// Progress takes in that a stream of a group advances.
func (h *Health) Progress(now time.Duration, group fuchsiapitch.GroupID) { h.evidence[group] = now }

// Discredit drops the evidence of a group, so that its members are probed.
func (h *Health) Discredit(group fuchsiapitch.GroupID) { delete(h.evidence, group) }

// Keep forgets the servers and groups that are not wanted.
func (h *Health) Keep(server func(fuchsiapitch.ServerID) bool, group func(fuchsiapitch.GroupID) bool) {
	for id := range h.servers {
		if !server(id) {
			delete(h.servers, id)
		}
	}
	for id := range h.evidence {
		if !group(id) {
			delete(h.evidence, id)
		}
	}
}

// Account returns the last account of a server.
func (h *Health) Account(id fuchsiapitch.ServerID) (fuchsiapitch.Account, bool) {
	s, ok := h.servers[id]
	if !ok || !s.reported {
		return fuchsiapitch.Account{}, false
	}
	return s.account, true
}

// Heard returns the time of the last account of a server since an instant, and
// whether there is one.
func (h *Health) Heard(id fuchsiapitch.ServerID, since time.Duration) bool {
	s, ok := h.servers[id]
	return ok && s.reported && s.silences == 0 && s.heard >= since
}

// Answered reports whether the last probe of a server since an instant has an
// answer, or its silence is confirmed.
func (h *Health) Answered(id fuchsiapitch.ServerID, since time.Duration) bool {
	return h.Heard(id, since) || (h.Silent(id) && h.servers[id].probed >= since)
}

// Silent reports whether the silence of a server is confirmed.
func (h *Health) Silent(id fuchsiapitch.ServerID) bool {
	s, ok := h.servers[id]
	return ok && s.silences >= confirmSilences
}

// Steady reports whether a server answers and has not flapped of late.
func (h *Health) Steady(now time.Duration, id fuchsiapitch.ServerID) bool {
	s, ok := h.servers[id]
	if !ok || !s.reported || s.silences > 0 {
		return false
	}
	return s.flaps == 0 || now-s.back >= steadyTime(s.flaps)
}

func steadyTime(flaps int) time.Duration {
	const doublingLimit = 10
	return min(firstSteadyTime<<min(flaps-1, doublingLimit), steadyTimeLimit)
}

// Fault states why a group is not whole.
type Fault int

// The faults of a group, 0 for none.
const (
	// MemberUnproved means that a member has not reported yet.
	MemberUnproved Fault = iota + 1
	// MemberSilent means that a member does not answer.
	MemberSilent
	// MemberLeaving means that a member is about to leave.
	MemberLeaving
	// MemberStray means that a member reports another assignment.
	MemberStray
	// MemberLoading means that a member is not ready yet.
	MemberLoading
)

// Check returns the first fault of a group, 0 when every member reports the
// very assignment of the group, is ready and has a recent proof of life.
func (h *Health) Check(now time.Duration, g Group, leaving func(fuchsiapitch.ServerID) bool) Fault {
	for _, m := range g.Members {
		if f := h.checkMember(now, g, m); f != 0 {
			return f
		}
		if leaving(m) {
			return MemberLeaving
		}
	}
	return 0
}

func (h *Health) checkMember(now time.Duration, g Group, id fuchsiapitch.ServerID) Fault {
	s, ok := h.servers[id]
	switch {
	case ok && !s.reported && s.silences > 0:
		return MemberSilent
	case !ok || !s.reported:
		return MemberUnproved
	}
	proof := s.heard
	if e, streaming := h.evidence[g.ID]; streaming {
		proof = max(proof, e)
	}
	switch {
	case s.silences >= confirmSilences || (s.silences > 0 && !h.isStreaming(now, g.ID)) || now-proof >= proofTime:
		return MemberSilent
	case s.account.Leaving():
		return MemberLeaving
	case !g.Matches(s.account):
		return MemberStray
	case !s.account.Ready():
		return MemberLoading
	}
	return 0
}

// isStreaming reports whether the streams of a group advance.
func (h *Health) isStreaming(now time.Duration, group fuchsiapitch.GroupID) bool {
	e, ok := h.evidence[group]
	return ok && now-e < evidenceTime
}

// Watch is the wish to have a server probed.
type Watch struct {
	// Server is the server.
	Server fuchsiapitch.ServerID
	// Period is the time between two probes of an answering server.
	Period time.Duration
}

// Due returns the servers to probe now, the most overdue first, under the rate
// limit of the host. Silent servers are probed less and less often.
func (h *Health) Due(now time.Duration, watches []Watch) []fuchsiapitch.ServerID {
	h.tokens = min(probeBurst, h.tokens+probesPerSecond*(now-h.refilled).Seconds())
	h.changeTokens = min(changeProbesPerSecond, h.changeTokens+changeProbesPerSecond*(now-h.refilled).Seconds())
	h.refilled = now
	type late struct {
		server fuchsiapitch.ServerID
		by     float64
		tokens *float64
	}
	var due []late
	for _, w := range watches {
		if by := h.overdue(now, w); by >= 1 {
			due = append(due, late{server: w.Server, by: by, tokens: h.payer(w)})
		}
	}
	slices.SortStableFunc(due, func(a, b late) int { return cmp.Compare(b.by, a.by) })
	var chosen []fuchsiapitch.ServerID
	for _, d := range due {
		if *d.tokens < 1 {
			continue
		}
		*d.tokens--
		s := h.at(d.server)
		s.probing, s.probed = true, now
		chosen = append(chosen, d.server)
	}
	return chosen
}

// payer returns the tokens that pay for the probes of a watched server.
func (h *Health) payer(w Watch) *float64 {
	s := h.at(w.Server)
	isNew := !s.reported && s.silences == 0
	if isNew || (w.Period == loadingProbePeriod && s.silences == 0) {
		return &h.changeTokens
	}
	return &h.tokens
}

// overdue returns the time since the last probe as a multiple of the period.
func (h *Health) overdue(now time.Duration, w Watch) float64 {
	const first = 1e6
	s := h.at(w.Server)
	if s.probing && now-s.probed < probeAnswerLimit {
		return 0
	}
	if s.suspect || (!s.reported && s.silences == 0) {
		return first
	}
	period := w.Period
	if s.silences > 0 {
		period = min(stalledProbePeriod*time.Duration(s.silences), silentProbeLimit)
	}
	last := max(s.probed, s.heard)
	return float64(now-last) / float64(period)
}
