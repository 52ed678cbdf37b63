package acceptor

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// roomPollInterval is the time between two attempts to make room for a connection.
	roomPollInterval = 20 * time.Millisecond
	// defaultStallTimeout is the time after which a connection that has not sent a complete header, or
	// whose client does not read, is closed if others wait for its place.
	defaultStallTimeout = time.Second
	// endingDivisor divides the bound on connections. The quotient, and one more, bounds those that
	// end at the same time to make room, since clients may take their time to receive that.
	endingDivisor = 2
	// receiveBufferBytes and sendBufferBytes bound what the kernel holds for a connection that the
	// host does not read, or whose client does not. The kernel doubles them.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 64 << 10
	// queuedBufferBytes is the receive buffer of a connection that waits to be accepted, of which
	// there may be thousands, and of those beyond a share of the bound on connections, which
	// calmDivisor divides.
	queuedBufferBytes = 8 << 10
	calmDivisor       = 2
)

const (
	// descriptorMargin is the least number of descriptors that are kept for what is not a request.
	descriptorMargin = 32
	// marginDivisor divides the descriptors. The quotient is kept as well if it is larger.
	marginDivisor = 8
	// bytesPerConnection is the memory that a connection takes beyond the bodies on it.
	bytesPerConnection = 128 << 10
)

// MaxConnections returns how many connections of clients a host may have that may open a number of
// descriptors and use some memory. Each request needs a connection to a server as well. 0 stands
// for no bound.
func MaxConnections(descriptors int, memoryBytes int64) int {
	bound := 0
	if descriptors > 0 {
		bound = max(1, (descriptors-max(descriptorMargin, descriptors/marginDivisor))/2)
	}
	if n := int(memoryBytes / bytesPerConnection); n > 0 && (bound == 0 || n < bound) {
		bound = n
	}
	return bound
}

const (
	// minInternalConnections and maxInternalConnections bound the connections to a listener that is
	// not for clients.
	minInternalConnections, maxInternalConnections = 8, 128
	// internalDivisor divides the descriptors that are kept for what is not a request. The quotient
	// is the bound between the two.
	internalDivisor = 4
	// InternalStallTimeout is the stall time-out of such a listener, which has fewer places. Its
	// clients are near.
	InternalStallTimeout = 100 * time.Millisecond
)

// MaxInternalConnections returns how many connections a listener that is not for clients, such as
// that of operators, may have at a host that may open a number of descriptors, 0 if that is unknown.
func MaxInternalConnections(descriptors int) int {
	if descriptors <= 0 {
		return maxInternalConnections
	}
	kept := max(descriptorMargin, descriptors/marginDivisor)
	return min(max(kept/internalDivisor, minInternalConnections), maxInternalConnections)
}

// boundSocketBuffers bounds the buffers of the connections in the queue of a listener. Those that it
// accepts keep them until growReceiveBuffer.
func boundSocketBuffers(listener net.Listener, log zerolog.Logger) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		var optionErr error
		err = errors.Join(raw.Control(func(descriptor uintptr) {
			optionErr = errors.Join(
				syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, queuedBufferBytes),
				syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes))
		}), optionErr)
	}
	if err != nil {
		log.Warn().Err(err).Msg("failed to bound the buffers of connections")
	}
}

// growReceiveBuffer gives the connection the whole receive buffer, unless the host has many. The caller
// holds the mutex, or is the only one that knows the connection.
func (c *connection) growReceiveBuffer() {
	a := c.acceptor
	if c.hasWholeBuffer || a.maxConnections > 0 && a.openCount.Load() > int64(a.maxConnections/calmDivisor) {
		return
	}
	c.hasWholeBuffer = true
	socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok {
		return
	}
	if err := socket.SetReadBuffer(receiveBufferBytes); err != nil {
		a.log.Debug().Err(err).Msg("failed to set the receive buffer of a connection")
	}
}

// awaitRoom waits until a further connection may be accepted, and makes room for it if one is in
// the queue. A stopping listener does not wait.
func (l *trackedListener) awaitRoom() {
	a := l.acceptor
	if a.maxConnections <= 0 || a.openCount.Load() < int64(a.maxConnections) {
		return
	}
	wasCounted := false
	ticker := time.NewTicker(roomPollInterval)
	defer ticker.Stop()
	for !l.stopping.Load() && a.openCount.Load() >= int64(a.maxConnections) {
		if queued := queuedConnections(l.Listener); queued > 0 {
			if now := time.Now(); now.Sub(a.roomMadeAt) >= roomPollInterval {
				a.roomMadeAt = now
				a.makeRoom(now, queued)
			}
			if !wasCounted {
				a.meter.CountFullHost()
			}
			wasCounted = true
		}
		select {
		case <-ticker.C:
		case <-a.closed:
			return
		}
	}
}

// Reasons for which connections end to make room.
const (
	endedWithoutHeader = "header"
	endedIdle          = "idle"
	endedUnread        = "unread"
)

// makeRoom ends connections until as many end as wait in the queue of the listener: those that do
// not send the header that they have begun or were opened for, those that are idle, those whose
// bodies are not complete, and those whose clients do not read. Who has waited for longest ends
// first, and of bodies the slowest one.
func (a *Acceptor) makeRoom(now time.Time, queued int) {
	wanted := min(queued, a.maxConnections/endingDivisor+1) - int(a.endingCount.Load())
	if wanted <= 0 {
		return
	}
	withoutHeader, idle, unread := a.roomCandidates(now)
	for _, c := range longestWaiting(withoutHeader, wanted) {
		if c.giveUpHeader(now) {
			a.countEnd(c.connection, endedWithoutHeader)
		} else {
			a.closeForGood(c.connection, endedWithoutHeader)
		}
		wanted--
	}
	for _, c := range longestWaiting(idle, wanted) {
		if c.isMultiplexed {
			a.closeForGood(c.connection, endedIdle)
		} else if c.expireForRoom(now) {
			a.countEnd(c.connection, endedIdle)
		}
		wanted--
	}
	if n := a.endBodies(max(0, wanted)); n > 0 {
		a.log.Info().Int("requests", n).Msg("requests with slow bodies given up to make room")
		wanted -= n
	}
	for _, c := range longestWaiting(unread, wanted) {
		a.closeForGood(c.connection, endedUnread)
	}
}

// roomCandidate is a connection that may end to make room, with the time for which its client has
// kept the host waiting.
type roomCandidate struct {
	*connection
	waiting time.Duration
}

// longestWaiting returns a number of candidates, those that have waited for longest.
func longestWaiting(candidates []roomCandidate, wanted int) []roomCandidate {
	slices.SortFunc(candidates, func(a, b roomCandidate) int { return cmp.Compare(b.waiting, a.waiting) })
	return candidates[:max(0, min(wanted, len(candidates)))]
}

// roomCandidates returns the connections that may end to make room: those without a header for
// the stall time-out, those that are idle, and those whose clients have not read for as long.
func (a *Acceptor) roomCandidates(now time.Time) (withoutHeader, idle, unread []roomCandidate) {
	for _, c := range a.allConnections() {
		phase, since, served, isGivenUp := c.waitingState()
		r := roomCandidate{connection: c, waiting: now.Sub(since)}
		switch {
		case phase == ending || isGivenUp:
		case c.writingFor() > a.stallTimeout:
			r.waiting = c.writingFor()
			unread = append(unread, r)
		case phase == waiting && served && (!c.isMultiplexed || r.waiting > a.stallTimeout):
			// HTTP/2 leaves no time to announce the end. Its connections must be idle for longer.
			idle = append(idle, r)
		case (phase == waiting && !served || phase == receiving) && r.waiting > a.stallTimeout:
			withoutHeader = append(withoutHeader, r)
		}
	}
	return withoutHeader, idle, unread
}

// closeForGood closes a connection without an announcement.
func (a *Acceptor) closeForGood(c *connection, reason string) {
	a.countEnd(c, reason)
	if err := c.Close(); err != nil {
		a.log.Debug().Err(err).Msg("failed to close a connection")
	}
}

func (a *Acceptor) countEnd(c *connection, reason string) {
	a.meter.CountEndedConnection(reason)
	a.log.Info().Str("caller", c.RemoteAddr().String()).Str("reason", reason).Msg("connection ended to make room")
}

// waitingState returns the phase of the connection, since when it has lasted if that is waiting or
// receiving, whether a request has been served, and whether its header is given up.
func (c *connection) waitingState() (current phase, since time.Time, served, isGivenUp bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == receiving {
		return c.phase, c.receivingSince, c.served, c.isGivenUp
	}
	return c.phase, c.waitingSince, c.served, false
}

// giveUpHeader makes the goroutine that reads respond and close the connection, if a part of a header
// has arrived. It reports whether that will be.
func (c *connection) giveUpHeader(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != receiving || c.acceptor.encrypted {
		return false
	}
	c.isGivenUp = true
	return c.replaceDeadline(now) == nil
}

// expireForRoom makes the HTTP server close the connection if it waits for a request.
func (c *connection) expireForRoom(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.expire(now)
}
