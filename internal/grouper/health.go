package grouper

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// progressTimeout is how long an advance of a stream proves that all members
	// of its group are alive.
	progressTimeout = 400 * time.Millisecond
	// livenessTimeout is the time without any sign of life after which a server
	// cannot serve.
	livenessTimeout = 10 * time.Second
	// streamingLeaderProbePeriod is the time between two probes of the leader of a
	// group whose streams advance. The streams prove that it is alive, but not
	// that it is not about to leave.
	streamingLeaderProbePeriod = 2 * time.Second
	// streamingMemberProbePeriod is the time between two probes of the other
	// members of such a group.
	streamingMemberProbePeriod = 3 * time.Second
	// idleProbePeriod is the time between two probes of a server whose group has
	// no streams or is draining.
	idleProbePeriod = 1500 * time.Millisecond
	// stalledProbePeriod is the time between two probes of a server whose group
	// has streams that do not advance.
	stalledProbePeriod = 400 * time.Millisecond
	// loadingProbePeriod is the time between two probes of a server that is to
	// adopt an assignment.
	loadingProbePeriod = 300 * time.Millisecond
	// maxSilentProbePeriod is the maximum time between two probes of a silent
	// server.
	maxSilentProbePeriod = 5 * time.Second
	// probeTimeout is the time after which a probe without any result is
	// considered lost.
	probeTimeout = 3 * time.Second
	// probesPerSecond is the sustained rate of probes of one host.
	probesPerSecond = 4.0
	// probeBurst is the maximum number of probes at once.
	probeBurst = 40.0
	// changeProbesPerSecond is the sustained rate, and the maximum burst, of probes
	// of servers that are to adopt an assignment or have not reported yet.
	changeProbesPerSecond = 200.0
	// initialHoldDown is how long a server must answer after a silence before it
	// is assigned again. It doubles with each further silence, up to maxHoldDown.
	initialHoldDown = time.Second
	// maxHoldDown bounds the hold-down of a flapping server.
	maxHoldDown = 5 * time.Minute
	// flapExpiry is the time without a silence after which earlier silences are
	// forgotten.
	flapExpiry = 10 * time.Minute
	// silenceThreshold is the number of consecutive missed probes that confirm a
	// silence.
	silenceThreshold = 2
)

// serverHealth is what this host knows about one backend server.
type serverHealth struct {
	status         fuchsiapitch.EngineStatus
	hasStatus      bool
	reportedAt     time.Duration
	probedAt       time.Duration
	probeInFlight  bool
	probeRequested bool
	missedProbes   int
	silentSince    time.Duration
	// recoveredAt is when the server last answered after a confirmed silence.
	recoveredAt time.Duration
	// flapCount is the number of confirmed silences. It is reset after flapExpiry.
	flapCount int
}

// Health records the status that backend servers report and the probes that
// they miss. After a silence, a server is steady only once a hold-down has
// passed. The hold-down doubles with each silence, so that a flapping server is
// not assigned repeatedly.
type Health struct {
	servers      map[fuchsiapitch.ServerID]*serverHealth
	progressedAt map[fuchsiapitch.GroupID]time.Duration
	probeTokens  float64
	// changeProbeTokens are spent on servers that are being assigned or have not
	// reported yet. They are separate from probeTokens, so that forming many
	// groups at once is not slowed down by the probe rate of normal operation.
	changeProbeTokens float64
	refilledAt        time.Duration
}

// NewHealth returns an empty health table with full token buckets.
func NewHealth() *Health {
	return &Health{
		servers:      make(map[fuchsiapitch.ServerID]*serverHealth),
		progressedAt: make(map[fuchsiapitch.GroupID]time.Duration),
		probeTokens:  probeBurst, changeProbeTokens: changeProbesPerSecond,
	}
}

func (h *Health) entryOf(id fuchsiapitch.ServerID) *serverHealth {
	s, ok := h.servers[id]
	if !ok {
		s = &serverHealth{}
		h.servers[id] = s
	}
	return s
}

// RecordStatus records the status that a server reports. It returns false if the
// same status was reported recently.
func (h *Health) RecordStatus(now time.Duration, status fuchsiapitch.EngineStatus) bool {
	s := h.entryOf(status.Server())
	unchanged := s.hasStatus && !s.probeRequested && s.missedProbes == 0 && now-s.reportedAt < livenessTimeout && equalExceptLoad(s.status, status)
	if s.missedProbes >= silenceThreshold {
		s.recoveredAt = now
	}
	if s.flapCount > 0 && now-s.recoveredAt >= flapExpiry {
		s.flapCount = 0
	}
	s.status, s.hasStatus, s.reportedAt = status, true, now
	s.probeInFlight, s.probeRequested, s.missedProbes = false, false, 0
	return !unchanged
}

// equalExceptLoad reports whether two statuses of a server differ at most in
// their load. A change between idle and busy counts as a difference.
func equalExceptLoad(a, b fuchsiapitch.EngineStatus) bool {
	return a.Incarnation() == b.Incarnation() && a.FencingToken() == b.FencingToken() && a.Ready() == b.Ready() &&
		a.Leaving() == b.Leaving() && a.RunningRequests() == 0 == (b.RunningRequests() == 0) &&
		a.Assignment().Group() == b.Assignment().Group() && a.Assignment().Model() == b.Assignment().Model() &&
		a.Assignment().Version() == b.Assignment().Version() &&
		slices.Equal(a.Assignment().Members(), b.Assignment().Members()) &&
		slices.Equal(a.Assignment().Adapters(), b.Assignment().Adapters())
}

// RecordMissedProbe records that a server did not answer a probe.
func (h *Health) RecordMissedProbe(now time.Duration, id fuchsiapitch.ServerID) {
	s := h.entryOf(id)
	s.probeInFlight, s.probeRequested = false, false
	s.missedProbes++
	if s.missedProbes == 1 {
		s.silentSince = now
	}
	if s.missedProbes == silenceThreshold && s.hasStatus {
		s.flapCount++
	}
}

// RequestProbe schedules an immediate probe of a server.
func (h *Health) RequestProbe(id fuchsiapitch.ServerID) { h.entryOf(id).probeRequested = true }

// RecordProgress records that a stream of a group has advanced.
func (h *Health) RecordProgress(now time.Duration, group fuchsiapitch.GroupID) {
	h.progressedAt[group] = now
}

// ForgetProgress discards the last progress of a group, so that it no longer
// counts as proof that the members are alive.
func (h *Health) ForgetProgress(group fuchsiapitch.GroupID) { delete(h.progressedAt, group) }

// Retain removes the servers and groups for which the predicates return false.
func (h *Health) Retain(keepServer func(fuchsiapitch.ServerID) bool, keepGroup func(fuchsiapitch.GroupID) bool) {
	for id := range h.servers {
		if !keepServer(id) {
			delete(h.servers, id)
		}
	}
	for id := range h.progressedAt {
		if !keepGroup(id) {
			delete(h.progressedAt, id)
		}
	}
}

// LastStatus returns the status that a server last reported, if any.
func (h *Health) LastStatus(id fuchsiapitch.ServerID) (fuchsiapitch.EngineStatus, bool) {
	s, ok := h.servers[id]
	if !ok || !s.hasStatus {
		return fuchsiapitch.EngineStatus{}, false
	}
	return s.status, true
}

// ReportedSince reports whether a server has reported its status since the given
// time and has missed no probe after that.
func (h *Health) ReportedSince(id fuchsiapitch.ServerID, since time.Duration) bool {
	s, ok := h.servers[id]
	return ok && s.hasStatus && s.missedProbes == 0 && s.reportedAt >= since
}

// ProbeResolvedSince reports whether a server has reported its status since the
// given time, or is silent and has been probed since then.
func (h *Health) ProbeResolvedSince(id fuchsiapitch.ServerID, since time.Duration) bool {
	return h.ReportedSince(id, since) || (h.IsSilent(id) && h.servers[id].probedAt >= since)
}

// IsSilent reports whether a server has missed silenceThreshold probes in a
// row.
func (h *Health) IsSilent(id fuchsiapitch.ServerID) bool {
	s, ok := h.servers[id]
	return ok && s.missedProbes >= silenceThreshold
}

// IsSteady reports whether a server answers and is not in hold-down.
func (h *Health) IsSteady(now time.Duration, id fuchsiapitch.ServerID) bool {
	s, ok := h.servers[id]
	if !ok || !s.hasStatus || s.missedProbes > 0 {
		return false
	}
	return s.flapCount == 0 || now-s.recoveredAt >= holdDown(s.flapCount)
}

func holdDown(flapCount int) time.Duration {
	const maxDoublings = 10
	return min(initialHoldDown<<min(flapCount-1, maxDoublings), maxHoldDown)
}

// Fault is the reason why a group is not whole.
type Fault int

// The faults of a group, 0 for none.
const (
	// MemberUnproved means that a member has not reported yet.
	MemberUnproved Fault = iota + 1
	// MemberSilent means that a member does not answer probes.
	MemberSilent
	// MemberLeaving means that a member is about to leave.
	MemberLeaving
	// MemberStray means that a member reports a different assignment.
	MemberStray
	// MemberLoading means that a member is not ready yet.
	MemberLoading
)

// CheckGroup returns the first fault of a group. It returns 0 if every member
// reports exactly the group's assignment, is ready and not leaving, and has
// shown a recent sign of life.
func (h *Health) CheckGroup(now time.Duration, g Group, isLeaving func(fuchsiapitch.ServerID) bool) Fault {
	for _, m := range g.Members {
		if f := h.checkMember(now, g, m); f != 0 {
			return f
		}
		if isLeaving(m) {
			return MemberLeaving
		}
	}
	return 0
}

func (h *Health) checkMember(now time.Duration, g Group, id fuchsiapitch.ServerID) Fault {
	s, ok := h.servers[id]
	switch {
	case ok && !s.hasStatus && s.missedProbes > 0:
		return MemberSilent
	case !ok || !s.hasStatus:
		return MemberUnproved
	}
	aliveAt := s.reportedAt
	if progressedAt, hasProgress := h.progressedAt[g.ID]; hasProgress {
		aliveAt = max(aliveAt, progressedAt)
	}
	switch {
	case s.missedProbes >= silenceThreshold || (s.missedProbes > 0 && !h.isStreaming(now, g.ID)) || now-aliveAt >= livenessTimeout:
		return MemberSilent
	case s.status.Leaving():
		return MemberLeaving
	case !g.Matches(s.status):
		return MemberStray
	case !s.status.Ready():
		return MemberLoading
	}
	return 0
}

// isStreaming reports whether a stream of a group has advanced within
// progressTimeout.
func (h *Health) isStreaming(now time.Duration, group fuchsiapitch.GroupID) bool {
	progressedAt, ok := h.progressedAt[group]
	return ok && now-progressedAt < progressTimeout
}

// ProbeTarget is a server to be probed periodically.
type ProbeTarget struct {
	Server fuchsiapitch.ServerID
	// Period is the time between two probes while the server answers.
	Period time.Duration
}

// TakeDueProbes returns the servers to probe now, the most overdue first, within
// the host's rate limits. It marks them as being probed. Silent servers are
// probed at increasing intervals.
func (h *Health) TakeDueProbes(now time.Duration, targets []ProbeTarget) []fuchsiapitch.ServerID {
	h.probeTokens = min(probeBurst, h.probeTokens+probesPerSecond*(now-h.refilledAt).Seconds())
	h.changeProbeTokens = min(changeProbesPerSecond, h.changeProbeTokens+changeProbesPerSecond*(now-h.refilledAt).Seconds())
	h.refilledAt = now
	type overdueProbe struct {
		server fuchsiapitch.ServerID
		ratio  float64
		bucket *float64
	}
	var due []overdueProbe
	for _, t := range targets {
		if ratio := h.overdueRatio(now, t); ratio >= 1 {
			due = append(due, overdueProbe{server: t.Server, ratio: ratio, bucket: h.tokenBucket(t)})
		}
	}
	slices.SortStableFunc(due, func(a, b overdueProbe) int { return cmp.Compare(b.ratio, a.ratio) })
	var chosen []fuchsiapitch.ServerID
	for _, d := range due {
		if *d.bucket < 1 {
			continue
		}
		*d.bucket--
		s := h.entryOf(d.server)
		s.probeInFlight, s.probedAt = true, now
		chosen = append(chosen, d.server)
	}
	return chosen
}

// tokenBucket returns the token bucket that limits the probes of a target.
func (h *Health) tokenBucket(t ProbeTarget) *float64 {
	s := h.entryOf(t.Server)
	isNew := !s.hasStatus && s.missedProbes == 0
	if isNew || (t.Period == loadingProbePeriod && s.missedProbes == 0) {
		return &h.changeProbeTokens
	}
	return &h.probeTokens
}

// overdueRatio returns the time since the last contact as a multiple of the
// probe period. A probe is due from 1 on. Requested and first probes come
// before all others.
func (h *Health) overdueRatio(now time.Duration, t ProbeTarget) float64 {
	const immediate = 1e6
	s := h.entryOf(t.Server)
	if s.probeInFlight && now-s.probedAt < probeTimeout {
		return 0
	}
	if s.probeRequested || (!s.hasStatus && s.missedProbes == 0) {
		return immediate
	}
	period := t.Period
	if s.missedProbes > 0 {
		period = min(stalledProbePeriod*time.Duration(s.missedProbes), maxSilentProbePeriod)
	}
	lastContactAt := max(s.probedAt, s.reportedAt)
	return float64(now-lastContactAt) / float64(period)
}
