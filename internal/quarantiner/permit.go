package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Verdict is the decision on a request.
type Verdict int

const (
	// Admitted means that the request has no quarantined part.
	Admitted Verdict = iota
	// Permitted means that the request may be sent by the permit of this host. The table
	// holds the permit back until Use or Cancel is called.
	Permitted
	// Awaiting means that the request must not be sent now, but may get a permit soon if it is
	// claimed for it.
	Awaiting
	// Refused means that the request must not be sent.
	Refused
)

// Check decides on a request with parts. A request with several quarantined parts needs a
// permit for each: its answer acquits all.
func (t *Table) Check(now time.Duration, parts []Part) Verdict {
	var found []*quarantine
	for _, p := range parts {
		if q, ok := t.quarantines[p]; ok {
			found = append(found, q)
		}
	}
	if len(found) == 0 {
		return Admitted
	}
	isDiscriminating := t.IsDiscriminating(parts)
	isPermitted, mayBePermitted := true, true
	for _, q := range found {
		q.lastRequestAt = now
		isPermitted = isPermitted && q.holder == t.self && !q.isUsed && !q.isHeld && (isDiscriminating || !q.isDiscriminating)
		mayBePermitted = mayBePermitted && q.mayBePermitted(now, isDiscriminating)
	}
	switch {
	case isPermitted:
		for _, q := range found {
			q.isHeld = true
		}
		return Permitted
	case mayBePermitted && len(found) <= maxClaimedParts:
		return Awaiting
	}
	return Refused
}

// IsDiscriminating reports whether the outcome of a request tells each of its quarantined parts
// from a rival.
func (t *Table) IsDiscriminating(parts []Part) bool {
	found := t.Quarantined(parts)
	return len(found) > 0 && !slices.ContainsFunc(found, func(p Part) bool { return !t.quarantines[p].lacksRival(parts) })
}

// lacksRival reports whether a rival of the part is not among the parts of a request.
func (q *quarantine) lacksRival(parts []Part) bool {
	for rival := range q.rivals {
		if !slices.Contains(parts, rival) {
			return true
		}
	}
	return false
}

// mayBePermitted reports whether a request can expect a permit soon.
func (q *quarantine) mayBePermitted(now time.Duration, isDiscriminating bool) bool {
	if isDiscriminating {
		return q.used < len(permitDelays)
	}
	return q.isDueFor(now, false)
}

// isDueFor reports whether a permit is due, for a discriminating request or for any.
func (q *quarantine) isDueFor(now time.Duration, isDiscriminating bool) bool {
	limit := len(permitDelays)
	switch {
	case isDiscriminating:
		return q.used < limit && (q.used == 0 || now-q.usedAt >= trialInterval)
	case len(q.rivals) > 0:
		limit--
	}
	return q.used < limit && now-q.usedAt >= permitDelays[q.used]
}

// IsQuarantined reports whether a request with parts must not be sent without a permit.
func (t *Table) IsQuarantined(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return t.quarantines[p] != nil })
}

// Quarantined returns the quarantined ones among parts, in ascending order.
func (t *Table) Quarantined(parts []Part) []Part {
	var found []Part
	for _, p := range parts {
		if t.quarantines[p] != nil {
			found = append(found, p)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// ShareQuarantined reports whether two requests have a quarantined part in common.
func (t *Table) ShareQuarantined(parts, others []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return t.quarantines[p] != nil && slices.Contains(others, p) })
}

// HoldsPermits reports whether this host holds back the permits for all quarantined parts of a
// request.
func (t *Table) HoldsPermits(parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool { return t.quarantines[p] != nil && !t.quarantines[p].isHeld })
}

// Claim records that a request with parts waits for permits at this host. It holds for a short
// time.
func (t *Table) Claim(now time.Duration, parts []Part) {
	t.addClaim(now, Claim{Host: t.self, Parts: t.Quarantined(parts), IsDiscriminating: t.IsDiscriminating(parts)})
}

func (t *Table) addClaim(now time.Duration, c Claim) {
	if len(c.Parts) == 0 {
		return
	}
	k, at := claimKey{c.Host, c.Parts[0]}, now-c.Age
	if known, ok := t.claims[k]; !ok || at > known.at {
		t.claims[k] = &heardClaim{Claim: c, at: at}
	}
}

// Withdraw records that a request with parts no longer waits for permits at this host.
func (t *Table) Withdraw(parts []Part) { t.endClaims(t.self, parts) }

// endClaims forgets the claims of a host for any of the parts.
func (t *Table) endClaims(host fuchsiapitch.HostID, parts []Part) {
	for k, c := range t.claims {
		if k.host == host && slices.ContainsFunc(c.Parts, func(p Part) bool { return slices.Contains(parts, p) }) {
			delete(t.claims, k)
		}
	}
}

// declinePermits gives back the permits of this host for which no request waits any more.
func (t *Table) declinePermits(now time.Duration) {
	for p, q := range t.quarantines {
		if q.holder != t.self || q.isUsed || q.isHeld {
			continue
		}
		isClaimed := false
		for k, c := range t.claims {
			isClaimed = isClaimed || k.host == t.self && now-c.at < claimLifetime && slices.Contains(c.Parts, p)
		}
		q.isUsed = !isClaimed
	}
}

// Use records that a request with parts is sent by the permits of this host.
func (t *Table) Use(now time.Duration, parts []Part) {
	for _, p := range parts {
		if q, ok := t.quarantines[p]; ok && q.isHeld {
			q.isHeld, q.isUsed, q.formerlyUsedAt, q.usedAt = false, true, q.usedAt, now
			q.used++
		}
	}
}

// Return records that the request with parts that was sent by the permits of this host reached no
// server, so that the permits are unused.
func (t *Table) Return(parts []Part) {
	for _, p := range parts {
		if q, ok := t.quarantines[p]; ok && q.holder == t.self && q.isUsed {
			q.isUsed, q.usedAt = false, q.formerlyUsedAt
			q.used--
		}
	}
}

// Cancel records that a request with parts is not sent although it had permits.
func (t *Table) Cancel(parts []Part) {
	for _, p := range parts {
		if q, ok := t.quarantines[p]; ok {
			q.isHeld = false
		}
	}
}

// GrantPermits gives out the permits that are due and reports whether it has. Only the host
// that leads the others may call it.
func (t *Table) GrantPermits(now time.Duration) bool {
	granted := false
	for _, c := range t.currentClaims(now) {
		granted = t.grantClaim(now, c) || granted
	}
	return granted
}

// currentClaims returns the claims that have not ended, those of discriminating requests first.
func (t *Table) currentClaims(now time.Duration) []*heardClaim {
	maps.DeleteFunc(t.claims, func(_ claimKey, c *heardClaim) bool { return now-c.at >= claimLifetime })
	list := slices.Collect(maps.Values(t.claims))
	slices.SortFunc(list, func(a, b *heardClaim) int {
		switch {
		case a.IsDiscriminating == b.IsDiscriminating:
			return cmp.Or(cmp.Compare(a.Host, b.Host), slices.Compare(a.Parts, b.Parts))
		case a.IsDiscriminating:
			return -1
		}
		return 1
	})
	return list
}

// grantClaim gives a claim the permits for all its parts, or none. It reports whether it has.
func (t *Table) grantClaim(now time.Duration, c *heardClaim) bool {
	var wanted []*quarantine
	for _, p := range c.Parts {
		q, ok := t.quarantines[p]
		if !ok {
			continue
		}
		if q.isOutstanding(now) || !q.isDueFor(now, c.IsDiscriminating) || t.hasRivalOnTrial(now, q) {
			return false
		}
		wanted = append(wanted, q)
	}
	for _, q := range wanted {
		q.permits++
		q.holder, q.isUsed, q.isHeld, q.isDiscriminating, q.permitAt = c.Host, false, false, c.IsDiscriminating, now
	}
	return len(wanted) > 0
}

// isOutstanding reports whether a host has a permit that it may still use.
func (q *quarantine) isOutstanding(now time.Duration) bool {
	return q.permits > 0 && !q.isUsed && now-q.permitAt < permitLifetime
}

// hasRivalOnTrial reports whether a request with a rival of a part may be running. Both at one server
// would not tell them apart.
func (t *Table) hasRivalOnTrial(now time.Duration, q *quarantine) bool {
	for rival := range q.rivals {
		if r, ok := t.quarantines[rival]; ok && (r.isOutstanding(now) || r.used > 0 && now-r.usedAt < trialInterval) {
			return true
		}
	}
	return false
}

// RecordTrialCrash records that a server has ended under a request that was sent by a permit: no
// rival that the request lacks explains all crashes.
func (t *Table) RecordTrialCrash(parts []Part) {
	for _, p := range parts {
		if q, ok := t.quarantines[p]; ok {
			maps.DeleteFunc(q.rivals, func(rival Part, _ bool) bool { return !slices.Contains(parts, rival) })
		}
	}
}
