package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// stableWindow is the time after a disturbance from which on hosts are held to the
	// bounds below.
	stableWindow = 3 * time.Second
	// lethalDowntime is how long a server is away that a lethal request has ended.
	lethalDowntime = 1500 * time.Millisecond
	// lethalCrashLimit is the number of servers that may end under a part before hosts have
	// to know it, and maxLethalArrivals the number of requests with that part that may
	// reach servers later than stableWindow after that.
	lethalCrashLimit  = 5
	maxLethalArrivals = 3
	// minComparedRequests is the number of sound requests from which on their share of
	// served ones is compared.
	minComparedRequests = 20
	// minServedShare is the share of sound requests that must begin to run beside lethal
	// ones, compared with that before.
	minServedShare = 0.5
)

// SetLethalPart makes each engine end that begins to write an answer to a request with a part
// in its prompt that is not the last one. The engine is back after a time, under the same
// identifier. "" ends the fault.
func (f *Fleet) SetLethalPart(part string) { f.lethal.setPart(part) }

// LethalCrashes returns how many servers have ended under a part.
func (f *Fleet) LethalCrashes(part string) int { return f.lethal.crashCount(part) }

// LastCrash returns when a server has last crashed, the zero time for never.
func (f *Fleet) LastCrash() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastCrash
}

// RecordSent records that a requester sends a request with the parts of a prompt to an entry
// host, as Requester does for the requests that it sends itself.
func (f *Fleet) RecordSent(request, host string, parts []string) {
	f.notices.recordSent(request, host, time.Now())
	f.lethal.recordSent(request, host, parts, time.Now())
}

// CheckSoundRequests returns a violation if requests without a lethal part begin to run less
// than half as often beside lethal ones as before the first crash: those that were sent from
// twice the stable window after the crash that had to teach hosts the part, until the last
// lethal request.
func (f *Fleet) CheckSoundRequests(part string) []string { return f.lethal.checkSoundRequests(part) }

// Crash ends the process of a server: its connections break off, and its state is lost. It
// starts again after the downtime, as a new incarnation under the same identifier.
func (s *Server) Crash(downtime time.Duration) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.isStopped || s.faultServer.Dead() {
		return
	}
	s.fleet.recordCrash()
	s.mutex.Lock()
	s.isLost = true
	s.mutex.Unlock()
	if s.engine != nil {
		s.engine.Kill()
	} else {
		s.faultServer.Kill()
	}
	time.AfterFunc(5*entryInterval, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.isLost {
			s.fleet.store.put(serversTopic, s.id, nil)
		}
	})
	time.AfterFunc(downtime, s.restart)
}

// restart starts a crashed server as a new incarnation.
func (s *Server) restart() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.isStopped {
		return
	}
	s.mutex.Lock()
	s.startedUnixMillis, s.acceptedOrders = time.Now().UnixMilli(), 0
	s.group, s.epoch, s.highestEpoch, s.members, s.rank, s.state = "", 0, 0, nil, 0, ""
	s.model, s.lastLoadedModel, s.opensAt = "", "", time.Time{}
	s.isLost = false
	s.mutex.Unlock()
	restart := s.faultServer.Restart
	if s.engine != nil {
		restart = s.engine.Restart
	}
	if err := restart(); err != nil {
		s.fleet.recordViolation(fmt.Sprintf("stand-in: %s does not start again: %v", s.id, err))
	}
}

// shutDown stops the server for good.
func (s *Server) shutDown() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.isStopped = true
	s.stop()
}

// endIfLethal ends the server if a request has the lethal part. It is called before the first
// event of the answer and reports whether the server ends.
func (s *Server) endIfLethal(w http.ResponseWriter, r *http.Request) bool {
	n, isLethal := s.fleet.lethal.recordRun(r.Header.Get("X-Request-Id"), parsePartIDs(r.Header.Get("X-Prompt-Prefix")), s.incarnation(), time.Now())
	if !isLethal {
		return false
	}
	if n%2 == 0 {
		// Every second answer breaks off within its first event, the others before it.
		w.Write([]byte("id: 1\nda"))
		_ = http.NewResponseController(w).Flush()
	}
	go s.Crash(lethalDowntime)
	return true
}

// parsePartIDs returns the identifiers of the parts of a prompt.
func parsePartIDs(header string) []string {
	if header == "" {
		return nil
	}
	parts := strings.Split(header, ",")
	for n, p := range parts {
		parts[n], _, _ = strings.Cut(p, ":")
	}
	return parts
}

// hasPart reports whether a part is among those of a prompt and is not the last one.
func hasPart(parts []string, part string) bool {
	return part != "" && len(parts) > 0 && slices.Contains(parts[:len(parts)-1], part)
}

// lethalChecker counts the requests with lethal parts that reach servers, and compares how
// often sound requests run. It knows requests by the identifiers that their requesters gave
// them.
type lethalChecker struct {
	mutex sync.Mutex
	part  string
	// crashes holds when servers ended, by the part.
	crashes map[string][]time.Time
	// ended holds the incarnations of servers that have ended under a part.
	ended map[incarnation]bool
	// arrivals counts the requests with a part that count against the limit.
	arrivals map[string]int
	sent     map[string]*promptRequest
	// excusedUntil is the time until which a host is not held to the limit.
	excusedUntil map[string]time.Time
}

// incarnation is one run of a server's process.
type incarnation struct {
	server            string
	startedUnixMillis int64
}

// incarnation returns the current run of the server's process.
func (s *Server) incarnation() incarnation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return incarnation{server: s.id, startedUnixMillis: s.startedUnixMillis}
}

// promptRequest is a request with the parts of a prompt.
type promptRequest struct {
	host  string
	at    time.Time
	parts []string
	began bool
}

func newLethalChecker() *lethalChecker {
	return &lethalChecker{
		crashes: make(map[string][]time.Time), ended: make(map[incarnation]bool), arrivals: make(map[string]int), sent: make(map[string]*promptRequest), excusedUntil: make(map[string]time.Time),
	}
}

func (c *lethalChecker) setPart(part string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.part = part
}

func (c *lethalChecker) crashCount(part string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.crashes[part])
}

// recordSent records that a requester sends a request to a host.
func (c *lethalChecker) recordSent(request, host string, parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent[request] = &promptRequest{host: host, at: now, parts: parts}
}

// excuse does not hold a host to the limit until the stable window has passed.
func (c *lethalChecker) excuse(host string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.excusedUntil[host] = now.Add(stableWindow)
}

// recordArrival records that a request has reached a server and returns the violations.
func (c *lethalChecker) recordArrival(request, server string, now time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, known := c.sent[request]
	if !known || now.Before(c.excusedUntil[r.host]) {
		return nil
	}
	var violations []string
	for part, crashes := range c.crashes {
		if !hasPart(r.parts, part) || len(crashes) < lethalCrashLimit || !now.After(crashes[lethalCrashLimit-1].Add(stableWindow)) {
			continue
		}
		if c.arrivals[part]++; c.arrivals[part] > maxLethalArrivals {
			violations = append(violations, fmt.Sprintf("BUDGET: request %s of %s is number %d to reach a server (%s) with part %s, under which %d have ended, the fifth %s ago",
				request, r.host, c.arrivals[part], server, part, len(crashes), now.Sub(crashes[lethalCrashLimit-1])))
		}
	}
	return violations
}

// recordRun records that an incarnation of a server begins to write an answer. It reports
// whether that ends the server, and the number of servers that have ended under the part.
func (c *lethalChecker) recordRun(request string, parts []string, server incarnation, now time.Time) (crashed int, isLethal bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if r, known := c.sent[request]; known {
		r.began = true
	}
	if !hasPart(parts, c.part) {
		return 0, false
	}
	if !c.ended[server] {
		c.ended[server] = true
		c.crashes[c.part] = append(c.crashes[c.part], now)
	}
	return len(c.crashes[c.part]), true
}

func (c *lethalChecker) checkSoundRequests(part string) []string {
	before, beside := c.compareSoundRequests(part)
	if before.total < minComparedRequests || beside.total < minComparedRequests || beside.share() >= minServedShare*before.share() {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d sound requests run beside those with part %s, %d of %d before", beside.served, beside.total, part, before.served, before.total)}
}

// compareSoundRequests counts the sound requests before the first crash under a part, and
// those beside the lethal requests that are held to the limit.
func (c *lethalChecker) compareSoundRequests(part string) (before, beside servedCount) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	crashes := c.crashes[part]
	if len(crashes) == 0 {
		return before, beside
	}
	learned := crashes[min(lethalCrashLimit, len(crashes))-1].Add(2 * stableWindow)
	var lastLethal time.Time
	for _, r := range c.sent {
		if hasPart(r.parts, part) && r.at.After(lastLethal) {
			lastLethal = r.at
		}
	}
	for _, r := range c.sent {
		switch {
		case hasPart(r.parts, part):
		case r.at.Before(crashes[0].Add(-time.Second)):
			before.add(r.began)
		case r.at.After(learned) && r.at.Before(lastLethal):
			beside.add(r.began)
		}
	}
	return before, beside
}

// ComparedRequests returns the numbers of sound requests that CheckSoundRequests compares.
func (f *Fleet) ComparedRequests(part string) (before, beside int) {
	b, l := f.lethal.compareSoundRequests(part)
	return b.total, l.total
}

// servedCount counts requests and those of them that were served.
type servedCount struct{ served, total int }

func (c *servedCount) add(served bool) {
	c.total++
	if served {
		c.served++
	}
}

func (c *servedCount) share() float64 { return float64(c.served) / float64(c.total) }
