package acceptor

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// roomPollInterval is the time between two attempts to make room for a connection.
	roomPollInterval = 20 * time.Millisecond
	// stallTimeout is the time after which a connection that has not sent a complete header is
	// closed if others wait for its place.
	stallTimeout = time.Second
	// endingDivisor divides the bound on connections. The quotient, and one more, bounds the idle
	// ones that end at the same time to make room.
	endingDivisor = 16
	// receiveBufferBytes and sendBufferBytes bound what the kernel holds for a connection that the
	// host does not read, or whose client does not. The kernel doubles them.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 64 << 10
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

// boundSocketBuffers bounds the buffers of the connections that a listener accepts.
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
				syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes),
				syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes))
		}), optionErr)
	}
	if err != nil {
		log.Warn().Err(err).Msg("failed to bound the buffers of connections")
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
		if hasQueuedConnection(l.Listener) {
			a.makeRoom(time.Now())
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

// makeRoom closes the connection that has been idle for longest, those that do not send the header
// that they have begun or were opened for, and those whose requests have stalled.
func (a *Acceptor) makeRoom(now time.Time) {
	var idle *connection
	var idleSince time.Time
	ends := 0
	for _, c := range a.openConnections() {
		switch phase, since, served := c.waitingState(); {
		case phase == ending:
			ends++
		case phase == waiting && served:
			if idle == nil || since.Before(idleSince) {
				idle, idleSince = c, since
			}
		case (phase == waiting || phase == receiving) && now.Sub(since) > stallTimeout:
			a.logRoom(c, "a header that does not come")
			if err := c.Close(); err != nil {
				a.log.Debug().Err(err).Msg("failed to close a connection without a header")
			}
		}
	}
	if idle != nil && ends <= a.maxConnections/endingDivisor && idle.expireForRoom(now) {
		a.logRoom(idle, "idle")
	}
	if n := a.endStalled(); n > 0 {
		a.log.Info().Int("requests", n).Msg("requests that made no progress given up to make room")
	}
}

func (a *Acceptor) logRoom(c *connection, why string) {
	a.log.Debug().Str("caller", c.RemoteAddr().String()).Str("why", why).Msg("connection closed to make room")
}

// waitingState returns the phase of the connection, since when it has lasted if that is waiting or
// receiving, and whether a request has been served.
func (c *connection) waitingState() (current phase, since time.Time, served bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == receiving {
		return c.phase, c.receivingSince, c.served
	}
	return c.phase, c.waitingSince, c.served
}

// expireForRoom makes the HTTP server close the connection if it waits for a request.
func (c *connection) expireForRoom(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.expire(now)
}
