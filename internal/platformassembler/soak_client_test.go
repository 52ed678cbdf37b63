package platformassembler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	// soakDeadline is the time limit of a request, soakPatience the time after which it
	// counts as unanswered.
	soakDeadline = 8 * time.Second
	soakPatience = 20 * time.Second
	// soakFirstIdle is the longest time between the connection and its first request.
	soakFirstIdle = 200 * time.Millisecond
	// soakOveruse is the longest time for which a client goes on using a connection beyond
	// the announced time. It covers the margin of the hosts and the interval of their
	// checks.
	soakOveruse = 2200 * time.Millisecond
	// soakHeaderLimit is max_header_bytes in the configuration of the stand-in.
	soakHeaderLimit = 16384
)

// soakClient is a client that sends one request at a time and keeps its connection until
// either side announces its end.
type soakClient struct {
	soak         *soak
	number       int
	rng          *rand.Rand
	requestCount int
	// closeShare is the number of every four requests after which the client opens a new
	// connection.
	closeShare int
}

// soakConnection is a connection of a client.
type soakConnection struct {
	net.Conn
	host    string
	reader  *bufio.Reader
	process *soakProcess
	// used is the time at which the last request was sent, answered that at which its
	// response ended. Before the first request both are the time of the connection.
	used, answered time.Time
	// reliance is the time after the last response for which the client may rely on the
	// connection.
	reliance time.Duration
	requests int
}

// soakRequest is a request with the pieces in which it is sent.
type soakRequest struct {
	id, path string
	// parts are those of the prompt, nil for a request without one.
	parts  []string
	body   []byte
	pieces [][]byte
	pause  time.Duration
}

func (c *soakClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		host := c.soak.selectHost(c.rng)
		process := host.process.Load()
		conn, err := (&net.Dialer{Timeout: soakPatience}).DialContext(ctx, "tcp4", host.clientAddress)
		if err != nil {
			c.soak.count("refused connections")
			c.soak.pause(ctx, c.rng, 10*time.Millisecond, 100*time.Millisecond)
			continue
		}
		c.soak.count("connections")
		now := time.Now()
		c.useConnection(ctx, &soakConnection{Conn: conn, host: hostName(slices.Index(c.soak.hosts, host)), reader: bufio.NewReader(conn), process: process, used: now, answered: now, reliance: time.Second})
		conn.Close()
	}
}

// useConnection sends requests until the connection ends or its end is announced.
func (c *soakClient) useConnection(ctx context.Context, conn *soakConnection) {
	for c.awaitNextRequest(conn) && ctx.Err() == nil {
		r := c.newRequest()
		response, isComplete := c.exchange(conn, r)
		if !isComplete || response.Close || c.rng.IntN(4) < c.closeShare {
			return
		}
		conn.reliance = c.soak.currentLimits().idleTimeout
		if seconds, found := strings.CutPrefix(response.Header.Get("Keep-Alive"), "timeout="); found {
			if n, err := strconv.Atoi(seconds); err == nil {
				conn.reliance = time.Duration(n) * time.Second
			}
		}
	}
}

// awaitNextRequest waits for a random time. It returns false if the host has closed the
// connection meanwhile, which it may do when it stops or the announced time is over.
func (c *soakClient) awaitNextRequest(conn *soakConnection) bool {
	var idle time.Duration
	switch kind := c.rng.IntN(20); {
	case conn.requests == 0:
		idle = time.Duration(c.rng.Int64N(int64(soakFirstIdle)))
	case kind < 11:
		idle = time.Duration(c.rng.Int64N(int64(100 * time.Millisecond)))
	case kind < 16:
		idle = time.Duration(c.rng.Int64N(int64(conn.reliance*4/5) + 1))
	case kind < 18:
		idle = conn.reliance*4/5 + time.Duration(c.rng.Int64N(int64(conn.reliance/5)+1))
	default:
		// The host may close the connection in this time.
		idle = conn.reliance + time.Duration(c.rng.Int64N(int64(soakOveruse)))
	}
	next := conn.answered.Add(idle)
	if next.After(c.soak.end) {
		next = c.soak.end
	}
	conn.SetReadDeadline(next)
	_, err := conn.reader.Peek(1)
	if err == nil && c.isAnnouncedEnd(conn) {
		err = io.EOF
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return true
	case err == nil:
		c.soak.report("got bytes of a response on a connection without a request")
	case conn.process.stopped.Load() != 0:
		c.soak.count("idle connections closed at a stop")
	case time.Since(conn.used) <= conn.reliance:
		c.soak.report("%s: got the end of a connection (%v) %s after its last request, want it not before %s", conn.LocalAddr(), err, time.Since(conn.used), conn.reliance)
	default:
		c.soak.count("idle connections closed")
	}
	return false
}

// isAnnouncedEnd reports whether the next bytes announce that an idle connection ends, and
// nothing else arrives before the end.
func (c *soakClient) isAnnouncedEnd(conn *soakConnection) bool {
	conn.SetReadDeadline(time.Now().Add(soakPatience))
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout || !response.Close || response.ContentLength != 0 {
		return false
	}
	_, err = conn.reader.Peek(1)
	c.soak.count("announced ends of idle connections")
	return errors.Is(err, io.EOF)
}

// exchange sends a request, reads its response and checks it. It returns false if there is
// no complete response.
func (c *soakClient) exchange(conn *soakConnection, r *soakRequest) (*http.Response, bool) {
	c.soak.count("requests")
	lastUsed, isReliable := conn.used, false
	isBooking := strings.HasPrefix(r.path, standin.BookPathPrefix)
	if isBooking {
		c.soak.recordBooking(r.id, 0)
	}
	conn.requests++
	conn.used = time.Now()
	c.soak.Fleet.RecordSent(r.id, conn.host, r.parts)
	var sendError error
	for n, p := range r.pieces {
		if n > 0 {
			time.Sleep(r.pause)
		}
		if _, sendError = conn.Write(p); sendError != nil {
			break
		}
		// The host has been idle for less than the time since the last request.
		isReliable = isReliable || time.Since(lastUsed) <= conn.reliance
	}
	sent := time.Now()
	conn.SetReadDeadline(sent.Add(soakPatience))
	response, err := http.ReadResponse(conn.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	conn.answered = time.Now()
	if err != nil {
		c.reportMissingResponse(conn, r, &soakFailure{sendError: sendError, err: err, lastUsed: lastUsed, sent: sent, isReliable: isReliable, isBegun: response != nil && r.parts != nil, bodyBytes: len(body), server: sealOf(response)})
		return nil, false
	}
	if isBooking {
		c.soak.recordBooking(r.id, response.StatusCode)
	}
	c.soak.count(fmt.Sprintf("status %d", response.StatusCode))
	if response.StatusCode == http.StatusRequestTimeout && isReliable && conn.process.stopped.Load() == 0 {
		c.soak.report("request %s: got the end of the connection %s after the last request, want it not before %s", r.id, sent.Sub(lastUsed), conn.reliance)
	}
	c.checkResponse(r, response, body)
	return response, sendError == nil
}

// soakFailure describes how a request ended without a complete response.
type soakFailure struct {
	sendError, err error
	// lastUsed is the time at which the previous request was sent, sent that at which this
	// one was.
	lastUsed, sent time.Time
	// isReliable is true if it was sent within the time that the host had announced.
	isReliable bool
	// isBegun is true if the header of the response to a stream request has arrived.
	isBegun   bool
	bodyBytes int
	// server is that with which the response has begun, "" for none.
	server string
}

// sealOf returns the server with which a response has begun, "" for none.
func sealOf(response *http.Response) string {
	if response == nil {
		return ""
	}
	return strings.TrimPrefix(response.Header.Get("X-Response-Seal"), "seal-")
}

// reportMissingResponse classifies a request without a complete response. It is lost if all
// of it reached the socket of the host before the host closed the connection, whether
// the host read it or not.
func (c *soakClient) reportMissingResponse(conn *soakConnection, r *soakRequest, f *soakFailure) {
	// A host that closes before the request arrives has sent the end of the connection,
	// and its kernel does not acknowledge the request. One that closes a connection
	// with unread data resets it.
	unacknowledged, isReset := unacknowledgedBytes(conn.Conn), errors.Is(f.err, syscall.ECONNRESET)
	hasArrived := isReset || unacknowledged == 0
	stopped := conn.process.stopped.Load()
	switch {
	case f.sendError != nil:
		c.soak.count("connections closed in the middle of a request")
	case f.isBegun && c.soak.Fleet.LastCrash().After(conn.used):
		c.soak.count("streams whose servers crashed")
	case f.bodyBytes > 0 && conn.answered.Sub(conn.used) >= soakDeadline:
		c.soak.count("streams that reached their time limit")
	case !f.isReliable && isReset:
		c.soak.count("requests after the announced time that were not read")
	case !f.isReliable && !hasArrived:
		c.soak.count("requests after the announced time that crossed the close")
	case c.soak.isPlanned && f.isBegun && stopped != 0 && c.soak.isAtWorkAtEnd(conn, r, f, time.Unix(0, stopped)):
		c.soak.count("streams at work until the end of a stop")
	case !hasArrived && stopped != 0:
		c.soak.recordCrossing(conn.process, f.sent)
	default:
		caller, sinceStop := conn.LocalAddr().String(), "no stop"
		if stopped != 0 {
			sinceStop = fmt.Sprintf("%s after the stop", f.sent.Sub(time.Unix(0, stopped)))
		}
		c.soak.report("%s: lost request %s to %s, number %d of its connection, sent %s after the one before (%s): got error %q after %s and %d bytes of a body, %d bytes unacknowledged; begun at %q, silences %s; logs: %q",
			caller, r.id, r.path, conn.requests, f.sent.Sub(f.lastUsed), sinceStop, f.err, time.Since(f.sent), f.bodyBytes, unacknowledged, f.server, c.soak.describeSilences(conn.used, conn.answered), slices.Concat(c.soak.log.find(caller), c.soak.log.find(strconv.Quote(r.id)), c.soak.log.find(fmt.Sprintf(`"order":"leave","server":%q`, f.server))))
	}
}

// unacknowledgedBytes returns the number of bytes that were written to a connection and
// not acknowledged by the kernel of the other side, -1 if it is unknown.
func unacknowledgedBytes(conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	if err := raw.Control(func(descriptor uintptr) {
		if got, err := unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ); err == nil {
			n = got
		}
	}); err != nil {
		return -1
	}
	return n
}

func (s *soak) recordBooking(id string, status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bookingStatuses[id] = status
}

// recordCrossing records a request that arrived after its host had closed the connection.
func (s *soak) recordCrossing(p *soakProcess, sent time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crossings = append(s.crossings, soakCrossing{process: p, sent: sent})
	s.counts["requests that crossed the close at a stop"]++
}

// checkResponse checks that a response belongs to its request.
func (c *soakClient) checkResponse(r *soakRequest, response *http.Response, body []byte) {
	if id := response.Header.Get("X-Request-Id"); id != "" && id != r.id {
		c.soak.report("request %s: got the response to %s", r.id, id)
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	if !strings.HasPrefix(r.path, standin.StreamPathPrefix) {
		if !bytes.HasSuffix(body, append([]byte(" got "), r.body...)) {
			c.soak.report("request %s: got a body of %d bytes that begins with %q, want that of the request", r.id, len(body), body[:min(len(body), 40)])
		}
		return
	}
	var want strings.Builder
	for n := 1; n <= 20; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", n, n)
	}
	if string(body) != want.String() {
		c.soak.report("request %s: got stream %q, want 20 events in order", r.id, body)
	}
}

// newRequest returns a random request.
func (c *soakClient) newRequest() *soakRequest {
	c.requestCount++
	r := &soakRequest{id: fmt.Sprintf("s%d-c%d-%d", c.soak.seed, c.number, c.requestCount), pause: time.Duration(c.rng.Int64N(int64(40 * time.Millisecond)))}
	switch kind := c.rng.IntN(20); {
	case kind < 3:
		r.path = standin.StreamPathPrefix + "x"
		r.parts = soundParts(c.rng)
		if c.soak.isLethal() && c.requestCount > 5 && c.rng.IntN(4) == 0 {
			r.parts = lethalParts(c.rng)
		}
	case kind < 11:
		r.path = standin.BookPathPrefix + "x"
	case kind < 15:
		r.path = standin.LookPathPrefix + "part/x"
	default:
		r.path = standin.LookPathPrefix + "x"
	}
	size := c.rng.IntN(200)
	switch kind := c.rng.IntN(40); {
	case kind < 2:
		size = 8 << 10
	case kind < 4:
		size = c.soak.currentLimits().maxBodyBytes + c.rng.IntN(3) - 1
	}
	r.body = []byte(r.id + " ")
	r.body = append(r.body, soakPadding[:max(size-len(r.body), 0)]...)
	c.split(r)
	return r
}

// split sets the pieces in which a request is sent.
func (c *soakClient) split(r *soakRequest) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\nX-Model: %s\r\nX-Token-Usage: 100,120\r\n",
		r.path, standin.HostName, r.id, standin.APIKey, soakDeadline.Milliseconds(), standin.LargeModel)
	if r.parts != nil {
		head += "X-Prompt-Prefix: " + promptHeader(r.parts) + "\r\n"
	}
	body := r.body
	if c.rng.IntN(3) == 0 {
		head += "Transfer-Encoding: chunked\r\n"
		body = []byte(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body))
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if c.rng.IntN(30) == 0 {
		const field = "X-Padding: \r\n"
		size := soakHeaderLimit + c.rng.IntN(3) - 1
		head += "X-Padding: " + strings.Repeat("x", size-len(head)-len(field)-len("\r\n")) + "\r\n"
	}
	whole := append([]byte(head+"\r\n"), body...)
	switch c.rng.IntN(6) {
	case 0:
		cut := len(whole) - c.rng.IntN(len(body))
		r.pieces = [][]byte{whole[:cut], whole[cut:]}
	case 1:
		cut := 1 + c.rng.IntN(len(head))
		r.pieces = [][]byte{whole[:cut], whole[cut:]}
	default:
		r.pieces = [][]byte{whole}
	}
}
