package integrator

import (
	"net"
	"net/http"
	"testing"
	"time"
)

func TestIdleConnections(t *testing.T) {
	limit := 15 * time.Second
	c := &idleCloser{limit: func() time.Duration { return limit }, since: make(map[net.Conn]time.Time)}
	idle, busy := &net.TCPConn{}, &net.TCPConn{}
	c.watch(idle, http.StateIdle)
	c.watch(busy, http.StateIdle)
	c.watch(busy, http.StateActive)
	if got := len(c.overdue(time.Now().Add(limit / 2))); got != 0 {
		t.Errorf("got %d overdue within the limit, want 0", got)
	}
	limit = time.Second
	if got := c.overdue(time.Now().Add(2 * limit)); len(got) != 1 || got[0] != net.Conn(idle) {
		t.Errorf("got %d overdue after a lower limit, want the idle one", len(got))
	}
}
