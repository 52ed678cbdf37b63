package integrator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// idlePause is the time between two looks at idle connections.
const idlePause = time.Second

// idleCloser closes connections of callers that stay without a request for longer
// than the configuration allows, which may change at any time.
type idleCloser struct {
	limit func() time.Duration
	log   zerolog.Logger

	mutex sync.Mutex
	since map[net.Conn]time.Time
}

// watch notes what becomes of a connection. It is the ConnState of a server.
func (c *idleCloser) watch(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == http.StateIdle {
		c.since[connection] = time.Now()
		return
	}
	delete(c.since, connection)
}

// serve closes connections until the context ends.
func (c *idleCloser) serve(ctx context.Context) error {
	ticker := time.NewTicker(idlePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, connection := range c.overdue(now) {
				if err := connection.Close(); err != nil {
					c.log.Debug().Err(err).Msg("idle connection cannot be closed")
				}
			}
		}
	}
}

// overdue takes out the connections that have been idle for too long.
func (c *idleCloser) overdue(now time.Time) []net.Conn {
	limit := c.limit()
	if limit <= 0 {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var overdue []net.Conn
	for connection, since := range c.since {
		if now.Sub(since) > limit {
			delete(c.since, connection)
			overdue = append(overdue, connection)
		}
	}
	return overdue
}
