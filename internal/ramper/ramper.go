// Package ramper bounds the requests that all hosts together send to a cold backend server.
// It is pure: it performs no I/O, starts no goroutine and reads no clock.
//
// The hosts do not negotiate. Each one computes from the identifiers of all registered hosts
// which few of them may send to a server while it is cold, and each of these has a fixed
// number of requests a second. Hosts that do not hear each other come to the same result from
// the same list. A host whose list is too short for the hosts that it hears of counts the
// others as if they were spread evenly. One that is out of touch for listLifetime cannot know
// whether hosts were added, and sends nothing, as does one that has no list.
package ramper

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// usableShare is the share of the bound that the hosts use. The rest is for hosts that know
	// an old list, and for requests that arrive closer together than they were sent.
	usableShare = 0.8
	// maxSendsPerSecond is the largest number of requests that one host may send a cold server in
	// any second. It bounds what a host with too short a list sends.
	maxSendsPerSecond = 4
	// sendJitter is the part of an interval between two requests by which they may arrive
	// closer together.
	sendJitter = 0.1
	// listLifetime is how long the list of hosts is used without news of other hosts or of the
	// store.
	listLifetime = 3 * time.Second
	// maxNews is the number of cold servers in an announcement.
	maxNews = 64
)

// Limits bound the requests of all hosts to a cold server in any second to
// PerSecond * Over + Slack. It is a plain record.
type Limits struct{ PerSecond, Over, Slack float64 }

// share is how the bound for a server is divided.
type share struct {
	// hosts is the number of hosts that may send, interval the time between two requests of
	// each.
	hosts    int
	interval time.Duration
}

// divide divides a bound over hosts: among as many as possible, so that few hosts have no share.
func (l Limits) divide(hosts int) share {
	usable := usableShare * (l.PerSecond*max(l.Over, 1) + l.Slack)
	sends := min(max(int(usable)/max(hosts, 1), 1), maxSendsPerSecond)
	return share{hosts: max(int(usable)/sends, 1), interval: time.Duration(float64(time.Second) / (float64(sends) - sendJitter))}
}

// News says how long a server remains cold. It is a plain record.
type News struct {
	Server fuchsiapitch.ServerID
	Left   time.Duration
}

// Ramper holds what one host knows of cold servers. It is not safe for concurrent use.
type Ramper struct {
	self  fuchsiapitch.HostID
	hosts []fuchsiapitch.HostID
	// hostCount is the number of hosts that are known to live, which may exceed those in hosts.
	// confirmedAt is when it was last heard, isConfirmed false for never.
	hostCount   int
	confirmedAt time.Duration
	isConfirmed bool
	cold        map[fuchsiapitch.ServerID]*coldServer
	// stated is the last statement of each server on the list about how long it remains cold.
	stated map[fuchsiapitch.ServerID]time.Duration
}

// coldServer is a server that is or was cold.
type coldServer struct {
	until time.Duration
	// announcedUntil is the part of it that this host knows from the server or the operator,
	// and tells other hosts.
	announcedUntil time.Duration
	// isShare is true if this host may send the server requests while it is cold, by the known
	// hosts; shareIsKnown is false until it is computed.
	isShare, shareIsKnown bool
	// isReported is true if Advance has returned the server.
	isReported bool
}

// New returns the Ramper of a host that knows of no cold server and of no other host.
func New(self fuchsiapitch.HostID) *Ramper {
	return &Ramper{self: self, cold: make(map[fuchsiapitch.ServerID]*coldServer), stated: make(map[fuchsiapitch.ServerID]time.Duration)}
}

// SetHosts sets the registered hosts, with this one, whether or not they are heard.
func (r *Ramper) SetHosts(hosts []fuchsiapitch.HostID) {
	r.hosts = slices.Clone(hosts)
	r.forgetShares()
}

// Confirm records that this host is in touch, and the number of hosts that are known to live.
func (r *Ramper) Confirm(now time.Duration, hostCount int) {
	r.confirmedAt, r.isConfirmed = now, true
	if hostCount != r.hostCount {
		r.hostCount = hostCount
		r.forgetShares()
	}
}

// Expire records that this host has been out of touch for an unknown time.
func (r *Ramper) Expire() { r.isConfirmed = false }

func (r *Ramper) forgetShares() {
	for _, s := range r.cold {
		s.shareIsKnown = false
	}
}

// ReadEntry processes an entry of the server list, which says how long the server remains
// cold. The entry may be read again and again, and its age is unknown: the time counts from
// when it was first read, which is too late rather than too early.
func (r *Ramper) ReadEntry(now time.Duration, server fuchsiapitch.ServerID, left time.Duration) {
	if left == r.stated[server] {
		return
	}
	r.stated[server] = left
	if left > 0 {
		r.Observe(now, server, left)
	} else {
		delete(r.stated, server)
	}
}

// Observe records that a server remains cold for a time, known from itself or the operator.
// This host tells the others.
func (r *Ramper) Observe(now time.Duration, server fuchsiapitch.ServerID, left time.Duration) {
	s := r.mark(server, now+left)
	s.announcedUntil = max(s.announcedUntil, now+left)
}

// Suspect records that a server may be cold for a time, and tells no other host: what this
// host has seen may have been its own link.
func (r *Ramper) Suspect(now time.Duration, server fuchsiapitch.ServerID, left time.Duration) {
	r.mark(server, now+left)
}

// Hear processes what another host knows.
func (r *Ramper) Hear(now time.Duration, news []News) {
	for _, n := range news {
		r.mark(n.Server, now+n.Left)
	}
}

func (r *Ramper) mark(server fuchsiapitch.ServerID, until time.Duration) *coldServer {
	s, ok := r.cold[server]
	if !ok {
		s = &coldServer{}
		r.cold[server] = s
	}
	s.until = max(s.until, until)
	return s
}

// ColdFor returns how long a server remains cold, 0 if it is not.
func (r *Ramper) ColdFor(now time.Duration, server fuchsiapitch.ServerID) time.Duration {
	if s, ok := r.cold[server]; ok {
		return max(0, s.until-now)
	}
	return 0
}

// AvailableAt returns from when on this host may send a server its next request, if it sent
// the last one at lastSentAt, 0 for never.
func (r *Ramper) AvailableAt(now time.Duration, server fuchsiapitch.ServerID, lastSentAt time.Duration, limits Limits) time.Duration {
	s, ok := r.cold[server]
	if !ok || limits.PerSecond <= 0 {
		return 0
	}
	d := limits.divide(max(len(r.hosts), r.hostCount))
	if !s.shareIsKnown {
		s.isShare, s.shareIsKnown = r.isAmongFirst(server, d.hosts), true
	}
	if !s.isShare || !r.isConfirmed || now-r.confirmedAt > listLifetime {
		return s.until
	}
	if lastSentAt == 0 {
		return 0
	}
	return min(s.until, lastSentAt+d.interval)
}

// isAmongFirst reports whether this host is among the first hosts for a server, in an order
// that differs from server to server.
func (r *Ramper) isAmongFirst(server fuchsiapitch.ServerID, count int) bool {
	if len(r.hosts) == 0 {
		return false
	}
	own := rank(server, r.self)
	before := float64(max(0, r.hostCount-len(r.hosts))) * (float64(own) / math.MaxUint64)
	for _, h := range r.hosts {
		if h == r.self {
			continue
		}
		if n := rank(server, h); n < own || n == own && h < r.self {
			before++
		}
	}
	return before < float64(count)
}

// rank returns a number that orders the hosts for a server.
func rank(server fuchsiapitch.ServerID, host fuchsiapitch.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(server))
	h.Write([]byte{0})
	h.Write([]byte(host))
	// The last bytes of what is hashed hardly reach the high bits of the sum.
	n := h.Sum64()
	n = (n ^ n>>33) * 0xff51afd7ed558ccd
	return n ^ n>>33
}

// News returns the servers of which this host knows that they are cold, for other hosts. Of
// too many, those that remain cold for longest are named.
func (r *Ramper) News(now time.Duration) []News {
	var news []News
	for id, s := range r.cold {
		if s.announcedUntil > now {
			news = append(news, News{Server: id, Left: s.announcedUntil - now})
		}
	}
	return Merge(news)
}

// Merge returns the longest time of each server, sorted and bounded.
func Merge(news []News) []News {
	longest := make(map[fuchsiapitch.ServerID]time.Duration, len(news))
	for _, n := range news {
		longest[n.Server] = max(longest[n.Server], n.Left)
	}
	merged := make([]News, 0, len(longest))
	for id, left := range longest {
		merged = append(merged, News{Server: id, Left: left})
	}
	slices.SortFunc(merged, func(a, b News) int { return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Server, b.Server)) })
	return merged[:min(len(merged), maxNews)]
}

// Age reduces the times from an index on by the age of what was heard.
func Age(news []News, from int, age time.Duration) []News {
	for n := from; n < len(news); n++ {
		news[n].Left = max(0, news[n].Left-age)
	}
	return news
}

// Advance forgets the servers that are no longer cold, and returns those that have become cold
// since it was last called.
func (r *Ramper) Advance(now time.Duration) []News {
	var begun []News
	for id, s := range r.cold {
		if s.until <= now {
			delete(r.cold, id)
			continue
		}
		if !s.isReported {
			s.isReported = true
			begun = append(begun, News{Server: id, Left: s.until - now})
		}
	}
	return begun
}
