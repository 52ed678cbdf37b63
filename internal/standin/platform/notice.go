package platform

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sealPrefix precedes the identifier of the server in the seal of a response.
const sealPrefix = "seal-"

// drainLimit is the time after which a host that has passed on that a server leaves must
// send it no further requests.
const drainLimit = 500 * time.Millisecond

const (
	// pauseSlack is the time after a refusal with a pause in which requests that were on
	// their way may arrive.
	pauseSlack = 500 * time.Millisecond
	// maxPausedRequests is the number of requests that may arrive in the rest of a pause.
	maxPausedRequests = 2
)

// StartDraining makes the server leave: its entry says so, and so do its responses. It
// serves on.
func (s *Server) StartDraining() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isDraining, s.isLeaving = true, true
}

// LeaveUnannounced makes the server leave without saying so in its entry, which is deleted
// after a time. Its responses say so at once. It serves on.
func (s *Server) LeaveUnannounced(untilDeleted time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isLeaving = true
	time.AfterFunc(untilDeleted, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.isUnlisted = true
		s.fleet.store.put(serversTopic, s.id, nil)
	})
}

// PauseRequests makes the server refuse the requests of an entry host for a time, and state
// how long that will be. The empty name stands for all hosts. The server knows the host of a
// request only if Fleet.Requester has sent it. Reports, orders and health checks are not
// requests and are served.
func (s *Server) PauseRequests(host string, d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pauseEnds[host] = time.Now().Add(d)
}

// pauseEnd returns the end of the pause of a host, which is the zero time or in the past if
// there is none.
func (s *Server) pauseEnd(host string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all, own := s.pauseEnds[""], s.pauseEnds[host]
	if own.After(all) {
		return own
	}
	return all
}

// stateLeaving sets the header field of a server that leaves.
func (s *Server) stateLeaving(w http.ResponseWriter, request string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isLeaving {
		w.Header().Set("Server-Leaving", "1")
		s.fleet.notices.recordStatement(request, s.id)
	}
}

// refusePaused checks the arrival of a request and refuses it if the server has paused its
// host. It reports whether it has.
func (s *Server) refusePaused(w http.ResponseWriter, request string) bool {
	now := time.Now()
	for _, v := range s.fleet.notices.recordArrival(request, s.id, now) {
		s.fleet.recordViolation(v)
	}
	end := s.pauseEnd(s.fleet.notices.hostOf(request))
	if !end.After(now) {
		return false
	}
	// The stated time is rounded up, so that it does not end before the pause.
	seconds := (end.Sub(now) + time.Millisecond).Truncate(time.Millisecond).Seconds()
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	w.Header().Set("X-Not-Executed", "1")
	s.fleet.notices.recordPause(request, s.id, now, end)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Requester returns a transport for the requests that a requester sends to an entry host.
// Servers tell hosts apart by these requests alone, and the violations of what they state
// beside their responses are found among them alone:
//
//   - DRAIN: a request that was sent later than the drain limit after the host had passed on a
//     response in which a server says that it leaves reaches that server from that host.
//   - BUDGET: more than two requests reach a server from a host between half a second after
//     it has refused one with a pause and the end of that pause.
//   - BUDGET: more than three requests with a lethal part reach servers later than the stable
//     window after the fifth server has ended under it.
//
// Reports, orders, health checks and requests that get 421 count for neither. A request that
// arrives while its server is silent counts when the server goes on, one whose response is
// crossed as the earlier request whose identifier it bears.
func (f *Fleet) Requester(host string) http.RoundTripper { return &requester{fleet: f, host: host} }

// ExcuseRestart forgives a host what it was told before a restart or a freeze. Call it
// after the end of a freeze.
func (f *Fleet) ExcuseRestart(host string) {
	f.notices.forget(host, true)
	f.lethal.excuse(host, time.Now())
}

// ExcuseCut forgives a host the pauses of which it was told before its links were cut. Call
// it after the end of the cut.
func (f *Fleet) ExcuseCut(host string) {
	f.notices.forget(host, false)
	f.lethal.excuse(host, time.Now())
}

// requester implements http.RoundTripper for the requests to one entry host.
type requester struct {
	fleet *Fleet
	host  string
}

// RoundTrip implements http.RoundTripper.
func (q *requester) RoundTrip(r *http.Request) (*http.Response, error) {
	id := r.Header.Get("X-Request-Id")
	q.fleet.RecordSent(id, q.host, parsePartIDs(r.Header.Get("X-Prompt-Prefix")))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if server, ok := strings.CutPrefix(response.Header.Get("X-Response-Seal"), sealPrefix); ok {
		q.fleet.notices.recordPassedOn(id, server, time.Now())
	}
	return response, nil
}

// noticeChecker checks that hosts heed what servers state beside their responses. It knows
// requests by the identifiers that their requesters gave them.
type noticeChecker struct {
	mutex sync.Mutex
	sent  map[string]sentRequest
	// statements holds the requests in whose response a server has said that it leaves.
	statements map[requestAtServer]bool
	// departures holds when a host first passed on that a server leaves.
	departures map[hostAtServer]time.Time
	pauses     map[hostAtServer][]*pause
}

// sentRequest says to which host and when a request was sent.
type sentRequest struct {
	host string
	at   time.Time
}

type requestAtServer struct{ request, server string }

type hostAtServer struct{ host, server string }

// pause is a time in which few requests of a host may reach a server, and their number.
type pause struct {
	start, end time.Time
	arrivals   int
}

func newNoticeChecker() *noticeChecker {
	return &noticeChecker{
		sent: make(map[string]sentRequest), statements: make(map[requestAtServer]bool),
		departures: make(map[hostAtServer]time.Time), pauses: make(map[hostAtServer][]*pause),
	}
}

// recordSent records that a requester sends a request to a host.
func (c *noticeChecker) recordSent(request, host string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent[request] = sentRequest{host: host, at: now}
}

// hostOf returns the host that a request was sent to, "" if that is not known.
func (c *noticeChecker) hostOf(request string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent[request].host
}

// recordStatement records that a server says in its response to a request that it leaves.
func (c *noticeChecker) recordStatement(request, server string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.sent[request]; known {
		c.statements[requestAtServer{request, server}] = true
	}
}

// recordPassedOn records that a host has passed on the response of a server.
func (c *noticeChecker) recordPassedOn(request, server string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := hostAtServer{c.sent[request].host, server}
	if _, known := c.departures[key]; !known && c.statements[requestAtServer{request, server}] {
		c.departures[key] = now
	}
}

// recordPause records that a server has refused a request and wants no further ones of its
// host until a time.
func (c *noticeChecker) recordPause(request, server string, now, end time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, known := c.sent[request]
	if !known {
		return
	}
	key := hostAtServer{r.host, server}
	for _, p := range c.pauses[key] {
		if !p.end.Before(end) {
			return // What arrives in the new pause counts in this one.
		}
	}
	c.pauses[key] = append(c.pauses[key], &pause{start: now.Add(pauseSlack), end: end})
}

// recordArrival records that a request has reached a server and returns the violations.
func (c *noticeChecker) recordArrival(request, server string, now time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, known := c.sent[request]
	if !known {
		return nil
	}
	var violations []string
	key := hostAtServer{r.host, server}
	if d, ok := c.departures[key]; ok && r.at.Sub(d) > drainLimit {
		violations = append(violations, fmt.Sprintf("DRAIN: request %s of %s reaches %s and was sent %s after the host had passed on that the server leaves", request, r.host, server, r.at.Sub(d)))
	}
	for _, p := range c.pauses[key] {
		if now.Before(p.start) || !now.Before(p.end) {
			continue
		}
		if p.arrivals++; p.arrivals > maxPausedRequests {
			violations = append(violations, fmt.Sprintf("BUDGET: request %s of %s is number %d to reach %s, which wants none for another %s", request, r.host, p.arrivals, server, p.end.Sub(now)))
		}
	}
	return violations
}

// forget forgets the pauses of which a host was told, and the departures too if it has
// restarted.
func (c *noticeChecker) forget(host string, restarted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key := range c.pauses {
		if key.host == host {
			delete(c.pauses, key)
		}
	}
	for key := range c.departures {
		if restarted && key.host == host {
			delete(c.departures, key)
		}
	}
}
