package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Message returns what this host tells others. isRelay is true if it also passes on what it
// has heard. sequence varies which quarantines are told if there are too many for a message.
func (t *Table) Message(now time.Duration, isRelay bool, sequence uint64) Message {
	var m Message
	for _, i := range t.announcedCrashes(now, isRelay) {
		c := t.crashes[i]
		told := Crash{Incarnation: i, Age: now - c.at}
		for p := range c.parts {
			told.Parts = append(told.Parts, p)
		}
		told.Parts = t.mostSuspect(told.Parts, maxAnnouncedParts)
		slices.Sort(told.Parts)
		m.Crashes = append(m.Crashes, told)
	}
	for p, r := range t.records {
		if r.hasAnswer && now < r.announceUntil && (isRelay || r.isOwnAnswer) {
			m.Answers = append(m.Answers, Answer{Part: p, Age: now - r.answeredAt})
		}
	}
	m.Answers = sortByAge(m.Answers, func(a Answer) time.Duration { return a.Age }, maxAnnouncedAnswers)
	m.Quarantines = t.announcedQuarantines(now, sequence)
	m.Claims = t.announcedClaims(now, isRelay)
	return m
}

// announcedCrashes returns the newest crashes that other hosts have to be told of.
func (t *Table) announcedCrashes(now time.Duration, isRelay bool) []Incarnation {
	var list []Incarnation
	for i, c := range t.crashes {
		if now-c.at < announcementSpan && (isRelay || c.isOwn) {
			list = append(list, i)
		}
	}
	return sortByAge(list, func(i Incarnation) time.Duration { return -t.crashes[i].at }, maxAnnouncedCrashes)
}

// announcedQuarantines returns the quarantines, or in turns a part of them.
func (t *Table) announcedQuarantines(now time.Duration, sequence uint64) []Quarantine {
	parts := t.QuarantinedParts()
	if n := len(parts); n > maxAnnouncedQuarantines {
		start := int(sequence % uint64(n))
		parts = append(parts[start:], parts[:start]...)[:maxAnnouncedQuarantines]
	}
	var list []Quarantine
	for _, p := range parts {
		told := t.quarantines[p].describe(now, p)
		told.SinceUse = 0
		told.Rivals = limited(told.Rivals, maxAnnouncedRivals)
		list = append(list, told)
	}
	return list
}

// describe returns the state of a quarantine.
func (q *quarantine) describe(now time.Duration, p Part) Quarantine {
	return Quarantine{
		Part: p, Age: now - q.lastCrashAt, IdleFor: now - q.lastRequestAt, Permits: q.permits, Used: q.used, Holder: q.holder, IsUsed: q.isUsed,
		IsDiscriminating: q.isDiscriminating, Rivals: slices.Sorted(maps.Keys(q.rivals)), SinceUse: now - q.usedAt,
	}
}

// announcedClaims returns the claims that other hosts have to be told of.
func (t *Table) announcedClaims(now time.Duration, isRelay bool) []Claim {
	var claims []Claim
	for _, c := range t.currentClaims(now) {
		if isRelay || c.Host == t.self {
			told := c.Claim
			told.Age = now - c.at
			claims = append(claims, told)
		}
	}
	return limited(claims, maxAnnouncedClaims)
}

// Apply adopts what another host tells.
func (t *Table) Apply(now time.Duration, m Message) {
	for _, a := range limited(m.Answers, maxAnnouncedAnswers) {
		t.acquit(now, now-a.Age, a.Part, false)
	}
	for _, c := range limited(m.Crashes, maxAnnouncedCrashes) {
		if c.Age < crashMemory {
			t.addCrash(now, now-c.Age, c.Incarnation, limited(c.Parts, maxAnnouncedParts), false)
		}
	}
	for _, told := range limited(m.Quarantines, maxAnnouncedQuarantines) {
		t.adoptQuarantine(now, told)
	}
	for _, c := range limited(m.Claims, maxAnnouncedClaims) {
		if c.Host != t.self {
			c.Parts = limited(c.Parts, maxClaimedParts)
			t.addClaim(now, c)
		}
	}
	t.review(now)
}

// adoptQuarantine merges a quarantine that another host tells of. One that an answered request
// speaks against is not adopted, and the other host is told of the answer.
func (t *Table) adoptQuarantine(now time.Duration, told Quarantine) {
	lastCrashAt := now - told.Age
	if r := t.record(told.Part); r != nil && r.vouchesAt(lastCrashAt) {
		r.announceUntil = max(r.announceUntil, now+announcementSpan)
		return
	}
	rivals := limited(told.Rivals, maxAnnouncedRivals)
	q, isKnown := t.quarantines[told.Part]
	if !isKnown {
		if len(t.quarantines) >= maxQuarantines || told.IdleFor > idleLifetime {
			return
		}
		q = startQuarantine(now-told.SinceUse, now-told.IdleFor)
		q.lastCrashAt = lastCrashAt
		for _, rival := range rivals {
			q.rivals[rival] = true
		}
		t.quarantines[told.Part] = q
		t.explainCrashes(told.Part)
	}
	maps.DeleteFunc(q.rivals, func(rival Part, _ bool) bool { return !slices.Contains(rivals, rival) })
	if isNewer(lastCrashAt, q.lastCrashAt, false) {
		q.lastCrashAt = lastCrashAt
	}
	if at := now - told.IdleFor; isNewer(at, q.lastRequestAt, false) {
		q.lastRequestAt = at
	}
	if told.Used > q.used {
		q.usedAt = now - told.SinceUse
	}
	q.used = max(q.used, told.Used)
	switch {
	case told.Permits > q.permits:
		q.permits, q.holder, q.isUsed, q.isDiscriminating, q.permitAt = told.Permits, told.Holder, told.IsUsed, told.IsDiscriminating, now
		q.isHeld = false
	case told.Permits == q.permits && told.IsUsed && !q.isUsed:
		q.isUsed = true
		t.endClaims(q.holder, []Part{told.Part})
	}
}

// limited returns the first elements of a list.
func limited[T any](list []T, length int) []T { return list[:min(len(list), length)] }

// sortByAge sorts a list by age, the newest first, and cuts it to a length.
func sortByAge[T any](list []T, age func(T) time.Duration, length int) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(age(a), age(b)) })
	return list[:min(len(list), length)]
}
