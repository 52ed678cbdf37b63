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
//
// Parts with the same evidence are quarantined together; they are rivals, of which one may
// explain all crashes. A request that lacks a rival of each of its quarantined parts is
// discriminating: its outcome tells them apart. Such a request gets a permit soon. One with
// all rivals tells nothing of a single part, so it must not use up the permits of the
// others.
package quarantiner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
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
	// claimLifetime is the time after which a claim for permits that was not heard again has
	// ended.
	claimLifetime = time.Second
	// permitLifetime is the time after which a permit that no request has used may go to
	// another host.
	permitLifetime = 3 * time.Second
	// trialInterval is the time from the use of a permit until a discriminating request may
	// get the next one. All hosts know the outcome of a request by then.
	trialInterval = 2 * time.Second
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
	maxAnnouncedClaims      = 16
	maxAnnouncedRivals      = 16
	// maxClaimedParts bounds the quarantined parts of a request that may get permits.
	maxClaimedParts = 64
)

// permitDelays are the times before the permits of a quarantine for any request: the first
// since its begin, the others since the use of the one before. No more permits are used, so
// that a part that ends servers ends no more than these. The last one of a part with rivals
// is left to a discriminating request.
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

// ParsePart returns the part that String has written, false if the text is something else.
func ParsePart(text string) (Part, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Part(n), err == nil && Part(n).String() == text
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
	// IsDiscriminating is true if the last permit is for a discriminating request.
	IsDiscriminating bool
	// Rivals are the quarantined parts with the same evidence, in ascending order.
	Rivals []Part
	// SinceUse is the time since a permit was last used, or since the quarantine began. Hosts do not tell each
	// other of it; it is 0 in their messages.
	SinceUse time.Duration
}

// Claim tells that a request waits for permits at a host. It is a plain record.
type Claim struct {
	Host fuchsiapitch.HostID
	// Parts are the quarantined parts of the request, in ascending order. It needs a permit for
	// each.
	Parts            []Part
	IsDiscriminating bool
	// Age is the time since the request was last known to wait.
	Age time.Duration
}

// Message is what hosts tell each other. Its lists are bounded. It is a plain record.
type Message struct {
	Crashes     []Crash
	Answers     []Answer
	Quarantines []Quarantine
	Claims      []Claim
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
	// claims holds the waiting requests of all hosts.
	claims map[claimKey]*heardClaim
}

// claimKey identifies a claim. Waiting requests of one host have no part in common.
type claimKey struct {
	host  fuchsiapitch.HostID
	first Part
}

// heardClaim is a claim with the time at which its request was last known to wait.
type heardClaim struct {
	Claim
	at time.Duration
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
	// isDiscriminating is true if the last permit is for a discriminating request.
	isDiscriminating bool
	// permitAt is when the last permit was given out, and usedAt when one was last used, or the
	// quarantine began. formerlyUsedAt is the time before that.
	permitAt, usedAt, formerlyUsedAt time.Duration
	// isHeld is true while a request waits with the permit of this host.
	isHeld bool
	// rivals are the quarantined parts with the same evidence. One of them, or this part, may
	// explain all crashes.
	rivals map[Part]bool
}

func startQuarantine(now, lastRequestAt time.Duration) *quarantine {
	return &quarantine{usedAt: now, lastRequestAt: lastRequestAt, rivals: make(map[Part]bool)}
}

// New returns an empty table of a host.
func New(self fuchsiapitch.HostID) *Table {
	return &Table{
		self: self, crashes: make(map[Incarnation]*crash), records: make(map[Part]*record),
		answered: make(map[Part]answers), formerlyAnswered: make(map[Part]answers), quarantines: make(map[Part]*quarantine), claims: make(map[claimKey]*heardClaim),
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
		t.endQuarantine(p)
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

// endQuarantine ends the quarantine of a part.
func (t *Table) endQuarantine(p Part) {
	delete(t.quarantines, p)
	for _, q := range t.quarantines {
		delete(q.rivals, p)
	}
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
			t.endQuarantine(p)
		}
	}
	t.review(now)
	t.declinePermits(now)
}

// review imposes the quarantines that the evidence supports, the best explanation first. A crash
// that a quarantine explains no longer counts against other parts, whose requests were at the
// same server.
func (t *Table) review(now time.Duration) {
	for len(t.quarantines) < maxQuarantines {
		best := t.bestSuspect(now, t.settleTime)
		if best == nil {
			return
		}
		imposed := t.rivals(now, t.settleTime, best)
		if len(t.quarantines)+len(imposed) > maxQuarantines {
			return
		}
		for _, p := range imposed {
			q := startQuarantine(now, now)
			for _, rival := range imposed {
				q.rivals[rival] = true
			}
			delete(q.rivals, p)
			t.quarantines[p] = q
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
