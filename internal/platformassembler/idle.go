package platformassembler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// idleCheckInterval is the time between two checks for idle connections.
const idleCheckInterval = time.Second

// idleCloser closes connections of clients that are idle for longer than the
// configured time-out. http.Server.IdleTimeout does not serve this purpose, because
// the configuration may change while the server runs.
type idleCloser struct {
	// timeout returns the current time-out, 0 for none.
	timeout func() time.Duration
	log     zerolog.Logger

	mutex sync.Mutex
	// idleSince holds the idle connections and when each became idle.
	idleSince map[net.Conn]time.Time
}

// trackState records when a connection becomes idle. It is a callback for
// http.Server.ConnState.
func (c *idleCloser) trackState(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == http.StateIdle {
		c.idleSince[connection] = time.Now()
		return
	}
	delete(c.idleSince, connection)
}

// serve closes overdue connections until the context ends.
func (c *idleCloser) serve(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, connection := range c.removeOverdue(now) {
				c.log.Info().Str("caller", connection.RemoteAddr().String()).Int64("timeout-ms", c.timeout().Milliseconds()).Msg("idle connection closed")
				if err := connection.Close(); err != nil {
					c.log.Debug().Err(err).Msg("failed to close an idle connection")
				}
			}
		}
	}
}

// removeOverdue removes and returns the connections that have been idle for longer
// than the time-out.
func (c *idleCloser) removeOverdue(now time.Time) []net.Conn {
	timeout := c.timeout()
	if timeout <= 0 {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var overdue []net.Conn
	for connection, idleSince := range c.idleSince {
		if now.Sub(idleSince) > timeout {
			delete(c.idleSince, connection)
			overdue = append(overdue, connection)
		}
	}
	return overdue
}
