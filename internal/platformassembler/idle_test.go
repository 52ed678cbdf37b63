package platformassembler

import (
	"net"
	"net/http"
	"testing"
	"time"
)

func TestIdleConnections(t *testing.T) {
	timeout := 15 * time.Second
	c := &idleCloser{timeout: func() time.Duration { return timeout }, idleSince: make(map[net.Conn]time.Time)}
	idle, busy := &net.TCPConn{}, &net.TCPConn{}
	c.trackState(idle, http.StateIdle)
	c.trackState(busy, http.StateIdle)
	c.trackState(busy, http.StateActive)
	if got := len(c.removeOverdue(time.Now().Add(timeout / 2))); got != 0 {
		t.Errorf("got %d overdue connections within the time-out, want 0", got)
	}
	timeout = time.Second
	if got := c.removeOverdue(time.Now().Add(2 * timeout)); len(got) != 1 || got[0] != net.Conn(idle) {
		t.Errorf("got %d overdue connections after lowering the time-out, want the idle one", len(got))
	}
}
