// Package quarantiner decides which parts of prompts are quarantined because they end the
// servers that answer requests with them ("query of death"). It is a pure state machine: it
// reads no clock, starts no goroutine, and each host has its own, which it feeds with what it
// observes itself and with what other hosts tell it.
//
// A part is suspect if requests with it had just been sent to servers that ended, or had just
// begun to be answered there. A response that outlives its begin acquits the parts of its
// request: a part that ends servers ends each of them at once. So a part that many requests
// share is not blamed when many servers end for another reason.
//
// A quarantined part comes free when a request with it is answered. Few such requests are let
// through, one at a time over all hosts: the host that leads the others gives out the permits.
package quarantiner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// SurvivalTime is the time since the first byte of a response after which it acquits the
	// parts of its request.
	SurvivalTime = 500 * time.Millisecond
	// minCrashes is the number of servers that must end under a part before it is
	// quarantined.
	minCrashes = 3
	// acquittalSpan is the time for which an answered request vouches for its parts: a server
	// that ends within it after the begin of the response does not count against them.
	acquittalSpan = 2 * time.Second
	// ageTolerance is how much younger news must be than what is known to count as other news:
	// messages take time, so that all news becomes a little younger at each host.
	ageTolerance = 250 * time.Millisecond
	// crashSpread is the time from which on crashes under a part that is not answered any more
	// count as one after the other, not as the loss of many servers at once.
	crashSpread = time.Second
	// crashMemory is how long the end of a server counts against a part.
	crashMemory = time.Minute
	// announcementSpan is how long other hosts are told of a crash or an answered request.
	announcementSpan = 3 * time.Second
	// wantedSpan is how long a refused request counts as demand for a permit.
	wantedSpan = 2 * time.Second
	// permitLifetime is the time after which a permit that no request has used may go to
	// another host.
	permitLifetime = time.Minute
	// idleLifetime is the time without requests after which a quarantine ends.
	idleLifetime = time.Hour

	// maxRecords, maxAnswered and maxQuarantines bound the parts that are remembered: those
	// under suspicion, those of answered requests in each of two generations, and those
	// that are quarantined.
	maxRecords     = 16384
	maxAnswered    = 4096
	maxQuarantines = 256
	// maxCrashes bounds the crashes that are remembered, and maxPartsPerCrash the parts of one.
	maxCrashes       = 256
	maxPartsPerCrash = 1024

	// The following bound the lists in one message.
	maxAnnouncedCrashes     = 16
	maxAnnouncedParts       = 64
	maxAnnouncedAnswers     = 64
	maxAnnouncedQuarantines = 32
	maxAnnouncedWants       = 16
)

// permitDelays are the times before the permits of a quarantine: the first since its begin,
// the others since the use of the one before. No more permits are used, so that a part that
// ends servers ends no more than these.
var permitDelays = []time.Duration{3 * time.Second, 30 * time.Second, 10 * time.Minute}

// Part identifies a part of a prompt on all hosts.
type Part uint64

// String returns the part as hosts log it. It is a hash, since the identifier may tell something
// of the prompt.
func (p Part) String() string { return fmt.Sprintf("%016x", uint64(p)) }

// NewPart returns the Part for the identifier that requests bear.
func NewPart(id string) Part {
	h := fnv.New64a()
	h.Write([]byte(id))
	return Part(h.Sum64())
}

// Incarnation is one run of a server's process.
type Incarnation struct {
	Server            fuchsiapitch.ServerID
	StartedUnixMillis int64
}

// Crash is the end of a server, with the parts of the requests that had just been sent to it or
// had just begun to be answered. It is a plain record.
type Crash struct {
	Incarnation
	Age   time.Duration
	Parts []Part
}

// Answer tells that a request with a part was answered, and how long ago the response began.
// It is a plain record.
type Answer struct {
	Part Part
	Age  time.Duration
}

// Quarantine is the state of a quarantined part as hosts tell each other. It is a plain record.
type Quarantine struct {
	Part Part
	// Age is the time since the last known end of a server under the part, IdleFor the time
	// since the last request with it.
	Age, IdleFor time.Duration
	// Permits is the number of permits given out so far, and Used that of those with which a
	// request was sent. Holder is the host that has the last permit, and IsUsed whether it
	// has sent a request with it.
	Permits, Used int
	Holder        fuchsiapitch.HostID
	IsUsed        bool
}

// Want tells that a host has lately refused requests with a quarantined part. It is a plain record.
type Want struct {
	Part Part
	Host fuchsiapitch.HostID
}

// Message is what hosts tell each other. Its lists are bounded. It is a plain record.
type Message struct {
	Crashes     []Crash
	Answers     []Answer
	Quarantines []Quarantine
	Wants       []Want
}

// Table holds the evidence and the quarantines. It is not safe for concurrent use.
type Table struct {
	self fuchsiapitch.HostID
	// settleTime is the time after the news of a crash within which other hosts can tell of
	// answered requests.
	settleTime time.Duration
	// crashes are the remembered ends of servers.
	crashes map[Incarnation]*crash
	records map[Part]*record
	// answered holds the answers of this host, for all parts that were lately answered.
	// formerlyAnswered is the generation before.
	answered, formerlyAnswered map[Part]answers
	quarantines                map[Part]*quarantine
}

// crash is the end of a server.
type crash struct {
	at time.Duration
	// heardAt is when this host has observed it or heard of it.
	heardAt time.Duration
	// isOwn is true if this host has observed it.
	isOwn bool
	parts map[Part]bool
	// isExplained is true if a part was quarantined for it.
	isExplained bool
}

// answers are the answered requests with a part: their number, and when the newest response
// began.
type answers struct {
	count    int
	newestAt time.Duration
}

// record is the evidence for and against one part.
type record struct {
	crashes []Incarnation
	// hasAnswer is true if a request was answered, and answeredAt when the newest such
	// response began. isOwnAnswer is true if that was at this host.
	hasAnswer, isOwnAnswer bool
	answeredAt             time.Duration
	// announceUntil is the time until which other hosts are told of the answer.
	announceUntil time.Duration
}

// vouchesAt reports whether an answered request speaks for the part at the time of a crash.
func (r *record) vouchesAt(crashAt time.Duration) bool {
	return r.hasAnswer && r.answeredAt >= crashAt-acquittalSpan
}

// quarantine is the state of a quarantined part.
type quarantine struct {
	lastCrashAt, lastRequestAt time.Duration
	// permits is the number of permits given out so far, used that of those with which a
	// request was sent. holder is the host that has the last one, and isUsed whether it has
	// sent a request with it.
	permits, used int
	holder        fuchsiapitch.HostID
	isUsed        bool
	// permitAt is when the last permit was given out or used, or the quarantine began.
	permitAt time.Duration
	// isHeld is true while a request waits with the permit of this host.
	isHeld bool
	// refusedAt is when this host last refused a request, and wantedBy the other hosts that
	// have lately done so, with the time.
	refusedAt time.Duration
	wantedBy  map[fuchsiapitch.HostID]time.Duration
}

// New returns an empty table of a host.
func New(self fuchsiapitch.HostID) *Table {
	return &Table{
		self: self, crashes: make(map[Incarnation]*crash), records: make(map[Part]*record),
		answered: make(map[Part]answers), formerlyAnswered: make(map[Part]answers), quarantines: make(map[Part]*quarantine),
	}
}

// SetSettleTime sets the time after the news of a crash within which other hosts can tell of answered
// requests.
func (t *Table) SetSettleTime(d time.Duration) { t.settleTime = d }

// HasCrash reports whether the end of an incarnation is known.
func (t *Table) HasCrash(i Incarnation) bool { return t.crashes[i] != nil }

// RecordCrash records the end of a server that this host has observed at a time.
func (t *Table) RecordCrash(now, at time.Duration, i Incarnation, parts []Part) {
	t.addCrash(now, at, i, parts, true)
	t.review(now)
}

// addCrash adds an end of a server, or the further parts of a known one.
func (t *Table) addCrash(now, at time.Duration, i Incarnation, parts []Part, isOwn bool) {
	c, ok := t.crashes[i]
	if !ok {
		if len(t.crashes) >= maxCrashes {
			return
		}
		c = &crash{at: at, heardAt: now, parts: make(map[Part]bool)}
		t.crashes[i] = c
	}
	c.isOwn = c.isOwn || isOwn
	for _, p := range t.mostSuspect(parts, maxPartsPerCrash) {
		if q, isQuarantined := t.quarantines[p]; isQuarantined {
			q.lastCrashAt, c.isExplained = max(q.lastCrashAt, c.at), true
		}
		if c.parts[p] || len(c.parts) >= maxPartsPerCrash {
			continue
		}
		c.parts[p] = true
		r := t.record(p)
		if r == nil {
			continue
		}
		r.crashes = append(r.crashes, i)
		if r.hasAnswer {
			r.announceUntil = max(r.announceUntil, now+announcementSpan)
		}
	}
}

// mostSuspect returns at most n parts, first those that were never answered, and then those
// under which most servers have ended.
func (t *Table) mostSuspect(parts []Part, n int) []Part {
	if len(parts) <= n {
		return parts
	}
	crashCount := func(p Part) int {
		if r, ok := t.records[p]; ok {
			return len(r.crashes)
		}
		return 0
	}
	sorted := slices.Clone(parts)
	slices.SortFunc(sorted, func(a, b Part) int {
		_, isAnswered := t.lastAnswered(a)
		_, isOtherAnswered := t.lastAnswered(b)
		if isAnswered != isOtherAnswered {
			if isOtherAnswered {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(crashCount(b), crashCount(a)), cmp.Compare(a, b))
	})
	return sorted[:n]
}

// record returns the evidence for a part, nil if too many parts are under suspicion.
func (t *Table) record(p Part) *record {
	if r, ok := t.records[p]; ok {
		return r
	}
	if len(t.records) >= maxRecords {
		return nil
	}
	r := &record{}
	if at, ok := t.lastAnswered(p); ok {
		r.hasAnswer, r.isOwnAnswer, r.answeredAt = true, true, at
	}
	t.records[p] = r
	return r
}

// lastAnswered returns when the newest response of this host with a part began.
func (t *Table) lastAnswered(p Part) (time.Duration, bool) {
	if a, ok := t.answered[p]; ok {
		return a.newestAt, true
	}
	a, ok := t.formerlyAnswered[p]
	return a.newestAt, ok
}

// answerCount returns the number of answers of this host with a part.
func (t *Table) answerCount(p Part) int { return t.answered[p].count + t.formerlyAnswered[p].count }

// RecordAnswer records that this host has got a response that acquits the parts of its
// request, and when the response began.
func (t *Table) RecordAnswer(now, startedAt time.Duration, parts []Part) {
	for _, p := range parts {
		a := t.answered[p]
		t.answered[p] = answers{count: a.count + 1, newestAt: max(a.newestAt, startedAt)}
		t.acquit(now, startedAt, p, true)
	}
	if len(t.answered) >= maxAnswered {
		t.answered, t.formerlyAnswered = make(map[Part]answers), t.answered
	}
}

// acquit applies that a request with a part was answered.
func (t *Table) acquit(now, startedAt time.Duration, p Part, isOwn bool) {
	if q, ok := t.quarantines[p]; ok && startedAt >= q.lastCrashAt-acquittalSpan {
		delete(t.quarantines, p)
		if r := t.record(p); r != nil {
			r.crashes = nil
		}
	}
	r, ok := t.records[p]
	if !ok || r.hasAnswer && !isNewer(startedAt, r.answeredAt, isOwn) {
		return
	}
	r.hasAnswer, r.isOwnAnswer, r.answeredAt, r.announceUntil = true, isOwn, startedAt, now+announcementSpan
}

// isNewer reports whether a time is later than a known one, by more than the tolerance if another
// host has told of it.
func isNewer(at, known time.Duration, isOwn bool) bool {
	if isOwn {
		return at > known
	}
	return at > known+ageTolerance
}

// Review imposes the quarantines that the evidence supports and forgets what is old.
func (t *Table) Review(now time.Duration) {
	for i, c := range t.crashes {
		if now-c.at > crashMemory {
			delete(t.crashes, i)
		}
	}
	for p, r := range t.records {
		r.crashes = slices.DeleteFunc(r.crashes, func(i Incarnation) bool { return t.crashes[i] == nil })
		if len(r.crashes) == 0 && (!r.hasAnswer || now-r.answeredAt > crashMemory) {
			delete(t.records, p)
		}
	}
	for p, q := range t.quarantines {
		if now-q.lastRequestAt > idleLifetime {
			delete(t.quarantines, p)
		}
	}
	t.review(now)
}

// review imposes the quarantines that the evidence supports, the best explanation first. A crash
// that a quarantine explains no longer counts against other parts, whose requests were at the
// same server.
func (t *Table) review(now time.Duration) {
	for {
		var best *suspect
		var imposed []Part
		for p, r := range t.records {
			if _, isQuarantined := t.quarantines[p]; isQuarantined {
				continue
			}
			s := &suspect{crashes: t.countedCrashes(now, r), hasAnswer: r.hasAnswer, answers: t.answerCount(p)}
			if len(s.crashes) < minCrashes {
				continue
			}
			switch n := s.compare(best); {
			case n > 0:
				best, imposed = s, []Part{p}
			case n == 0:
				// Nothing tells the parts apart but a request with only one of them.
				imposed = append(imposed, p)
			}
		}
		if best == nil || len(t.quarantines)+len(imposed) > maxQuarantines {
			return
		}
		for _, p := range imposed {
			t.quarantines[p] = &quarantine{permitAt: now, lastRequestAt: now, refusedAt: -wantedSpan, wantedBy: make(map[fuchsiapitch.HostID]time.Duration)}
			t.explainCrashes(p)
		}
	}
}

// explainCrashes marks the crashes under a quarantined part as explained.
func (t *Table) explainCrashes(p Part) {
	r, ok := t.records[p]
	if !ok {
		return
	}
	for _, i := range r.crashes {
		if c, isKnown := t.crashes[i]; isKnown {
			c.isExplained = true
			t.quarantines[p].lastCrashAt = max(t.quarantines[p].lastCrashAt, c.at)
		}
	}
}

// suspect is a part that may be quarantined.
type suspect struct {
	crashes   []Incarnation
	hasAnswer bool
	answers   int
}

// compare returns a positive number if a suspect explains crashes better than another one: it has
// never been answered, ended more servers, or has been answered less often. It returns 0 if
// the evidence is the same.
func (s *suspect) compare(o *suspect) int {
	if o == nil {
		return 1
	}
	if s.hasAnswer != o.hasAnswer {
		if o.hasAnswer {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(s.crashes), len(o.crashes)), cmp.Compare(o.answers, s.answers), slices.CompareFunc(s.crashes, o.crashes, Incarnation.compare))
}

func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Server, o.Server), cmp.Compare(i.StartedUnixMillis, o.StartedUnixMillis))
}

// countedCrashes returns the crashes that count against a part, in order: those later than its
// newest answer began. An answer that began shortly before speaks for the part all the same, unless
// servers go on ending under it.
func (t *Table) countedCrashes(now time.Duration, r *record) []Incarnation {
	var counted []Incarnation
	var first, last time.Duration
	for _, i := range r.crashes {
		c, ok := t.crashes[i]
		if !ok || c.isExplained || now-c.heardAt < t.settleTime || r.hasAnswer && r.answeredAt >= c.at {
			continue
		}
		if len(counted) == 0 {
			first, last = c.at, c.at
		}
		first, last = min(first, c.at), max(last, c.at)
		counted = append(counted, i)
	}
	if last-first < crashSpread {
		counted = slices.DeleteFunc(counted, func(i Incarnation) bool { return r.vouchesAt(t.crashes[i].at) })
	}
	slices.SortFunc(counted, Incarnation.compare)
	return counted
}

// IsWatched reports whether there is evidence against any part, so that responses in progress
// have to be told by RecordAnswer before their end.
func (t *Table) IsWatched() bool { return len(t.crashes) > 0 || len(t.quarantines) > 0 }

// QuarantinedParts returns the quarantined parts in ascending order.
func (t *Table) QuarantinedParts() []Part {
	var parts []Part
	for p := range t.quarantines {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	return parts
}

// Verdict is the decision on a request.
type Verdict int

const (
	// Admitted means that the request has no quarantined part.
	Admitted Verdict = iota
	// Permitted means that the request may be sent by the permit of this host. The table
	// holds the permit back until Use or Cancel is called.
	Permitted
	// Refused means that the request must not be sent.
	Refused
)

// Check decides on a request with parts. A request with several quarantined parts needs a
// permit for each: its end would tell nothing of a single one, but its answer acquits all.
func (t *Table) Check(now time.Duration, parts []Part) Verdict {
	var found []*quarantine
	for _, p := range parts {
		if q, ok := t.quarantines[p]; ok {
			q.lastRequestAt, q.refusedAt = now, now
			found = append(found, q)
		}
	}
	if len(found) == 0 {
		return Admitted
	}
	for _, q := range found {
		if q.holder != t.self || q.isUsed || q.isHeld {
			return Refused
		}
	}
	for _, q := range found {
		q.isHeld = true
	}
	return Permitted
}

// IsQuarantined reports whether a request with parts must not be sent without a permit.
func (t *Table) IsQuarantined(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return t.quarantines[p] != nil })
}

// Use records that a request with parts is sent by the permits of this host.
func (t *Table) Use(now time.Duration, parts []Part) {
	for _, p := range parts {
		if q, ok := t.quarantines[p]; ok && q.isHeld {
			q.isHeld, q.isUsed, q.permitAt = false, true, now
			q.used++
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

// GrantPermits gives out the permits that are due. Only the host that leads the others may
// call it.
func (t *Table) GrantPermits(now time.Duration) {
	for _, q := range t.quarantines {
		isOutstanding := q.permits > 0 && !q.isUsed
		switch {
		case q.used >= len(permitDelays):
			continue
		case isOutstanding && now-q.permitAt < permitLifetime:
			continue
		case !isOutstanding && now-q.permitAt < permitDelays[q.used]:
			continue
		}
		host, ok := q.nextHolder(now, t.self)
		if !ok {
			continue
		}
		q.permits++
		q.holder, q.isUsed, q.permitAt = host, false, now
	}
}

// nextHolder returns a host that has lately refused requests.
func (q *quarantine) nextHolder(now time.Duration, self fuchsiapitch.HostID) (fuchsiapitch.HostID, bool) {
	if now-q.refusedAt < wantedSpan {
		return self, true
	}
	var best fuchsiapitch.HostID
	for h, at := range q.wantedBy {
		if now-at >= wantedSpan {
			delete(q.wantedBy, h)
			continue
		}
		if best == "" || h < best {
			best = h
		}
	}
	return best, best != ""
}

// sortByAge sorts a list by age, the newest first, and cuts it to a length.
func sortByAge[T any](list []T, age func(T) time.Duration, length int) []T {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(age(a), age(b)) })
	return list[:min(len(list), length)]
}
