package deduplicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// groupLimit is the largest number of claims and completions in one record.
	groupLimit = 256
	// waitingLimit is the largest number of claims that wait for one shard.
	waitingLimit = 1024
	// completionLimit is the largest number of completions that wait for one
	// shard while the log is away. The oldest are dropped; other hosts then say
	// unknown of their keys.
	completionLimit = 4096
	// appendInterval is the time between two appends for each host that shares
	// the log: 100 appends a second for all together.
	appendInterval = 10 * time.Millisecond
	// appendBurst is the number of appends that a host may make at once.
	appendBurst = 4
	// repeatTime is the time after a lost answer for which the record is looked
	// for in the stream before it is appended again.
	repeatTime = time.Second
)

// Append asks for one record to be appended to the stream of a shard.
type Append struct {
	// Shard is the number of the stream.
	Shard int
	// Record identifies the record, also when it is appended again.
	Record fuchsiapitch.RecordID
	// Group is the content.
	Group Group
}

// Result states what is known of an append.
type Result int

// The results of an append.
const (
	// Landed means that the record is in the stream.
	Landed Result = iota + 1
	// Lost means that the record is not in the stream.
	Lost
	// Uncertain means that the answer was lost.
	Uncertain
)

// lane is the queue towards one shard. One record is under way at a time, so
// that whatever comes meanwhile travels together.
type lane struct {
	claims      []Claim
	completions []Completion
	record      fuchsiapitch.RecordID
	group       Group
	// uncertain states that the answer to the last append was lost, and doubtful
	// that the answer to any append of the record was.
	uncertain bool
	doubtful  bool
	due       time.Duration
}

// Outbox gathers the claims and completions of this host into records.
type Outbox struct {
	lanes  [ShardCount]lane
	next   time.Duration
	count  uint64
	cursor int
}

// Claim queues a claim. It returns false when too many wait.
func (o *Outbox) Claim(c Claim) bool {
	l := &o.lanes[c.Key.Shard()]
	if len(l.claims) >= waitingLimit {
		return false
	}
	l.claims = append(l.claims, c)
	return true
}

// Withdraw takes back a claim that is not under way yet. It returns false when
// the claim may reach the log.
func (o *Outbox) Withdraw(key Key, request fuchsiapitch.RequestID) bool {
	l := &o.lanes[key.Shard()]
	before := len(l.claims)
	l.claims = slices.DeleteFunc(l.claims, func(c Claim) bool { return c.Request == request })
	return len(l.claims) < before
}

// Complete queues a completion.
func (o *Outbox) Complete(c Completion) {
	l := &o.lanes[c.Key.Shard()]
	if len(l.completions) >= completionLimit {
		l.completions = l.completions[1:]
	}
	l.completions = append(l.completions, c)
}

// Pending returns the number of claims and completions that no append has
// carried yet.
func (o *Outbox) Pending() int {
	count := 0
	for i := range o.lanes {
		l := &o.lanes[i]
		count += len(l.claims) + len(l.completions) + len(l.group.Claims) + len(l.group.Completions)
	}
	return count
}

// Due returns the appends to make now. The shards take turns, within the share
// of the log's capacity that each of a number of hosts has.
func (o *Outbox) Due(now time.Duration, hosts int) []Append {
	interval := time.Duration(max(hosts, 1)) * appendInterval
	var appends []Append
	for range ShardCount {
		o.cursor = (o.cursor + 1) % ShardCount
		if now < o.next-appendBurst*interval {
			return appends
		}
		if !o.lanes[o.cursor].load(now, &o.count) {
			continue
		}
		l := &o.lanes[o.cursor]
		o.next = max(o.next, now) + interval
		appends = append(appends, Append{Shard: o.cursor, Record: l.record, Group: l.group})
	}
	return appends
}

// load prepares the next record of a lane and reports whether there is one.
func (l *lane) load(now time.Duration, count *uint64) bool {
	if now < l.due {
		return false
	}
	if l.record != "" {
		again := l.uncertain
		l.uncertain = false
		return again
	}
	claims := min(len(l.claims), groupLimit)
	completions := min(len(l.completions), groupLimit-claims)
	if claims+completions == 0 {
		return false
	}
	l.group = Group{Claims: slices.Clone(l.claims[:claims]), Completions: slices.Clone(l.completions[:completions])}
	l.claims, l.completions = l.claims[claims:], l.completions[completions:]
	*count++
	l.record = l.group.identify(*count)
	return true
}

// identify returns a record identifier that no other process and no other
// record of this one has: request identifiers are unique.
func (g Group) identify(count uint64) fuchsiapitch.RecordID {
	request := fuchsiapitch.RequestID("")
	if len(g.Claims) > 0 {
		request = g.Claims[0].Request
	} else {
		request = g.Completions[0].Request
	}
	return fuchsiapitch.RecordID(fmt.Sprintf("%s-%d", request, count))
}

// Ended takes in the result of an append and returns the claims that are
// certainly not in the log. Completions are kept for the next record.
func (o *Outbox) Ended(now time.Duration, shard int, record fuchsiapitch.RecordID, result Result) []Claim {
	l := &o.lanes[shard]
	if l.record != record {
		return nil
	}
	if result == Lost && l.doubtful {
		result = Uncertain
	}
	switch result {
	case Landed:
		l.clear()
	case Uncertain:
		l.uncertain, l.doubtful, l.due = true, true, now+repeatTime
	case Lost:
		claims := l.group.Claims
		l.completions = append(l.group.Completions, l.completions...)
		l.clear()
		l.due = now + repeatTime
		if len(claims) > 0 {
			l.due = now
		}
		return claims
	}
	return nil
}

// Folded takes in that a record stands in the stream of a shard.
func (o *Outbox) Folded(shard int, record fuchsiapitch.RecordID) {
	if l := &o.lanes[shard]; l.record == record {
		l.clear()
	}
}

func (l *lane) clear() {
	l.record, l.group, l.uncertain, l.doubtful, l.due = "", Group{}, false, false, 0
}
