package sender

import (
	"net"
	"testing"
	"time"
)

func TestGate(t *testing.T) {
	write := func(c *connection) error {
		_, err := c.Write([]byte("x"))
		return err
	}
	dial := func(t *testing.T) *connection {
		t.Helper()
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		go far.Read(make([]byte, 8))
		return &connection{Conn: near}
	}
	t.Run("a second connection stays closed", func(t *testing.T) {
		g, first, second := &gate{}, dial(t), dial(t)
		g.open(first)
		g.open(second)
		if err := write(second); err == nil {
			t.Error("got a write on the second connection, want none")
		}
		if err := write(first); err != nil || !g.seal() {
			t.Errorf("got error %v and left %v on the first connection", err, g.left)
		}
	})
	t.Run("a pause past the deadline lets nothing leave", func(t *testing.T) {
		g, c := &gate{deadline: time.Now().Add(-time.Nanosecond)}, dial(t)
		g.open(c)
		if err := write(c); err == nil || g.seal() {
			t.Errorf("got error %v and left %v, want an error and nothing left", err, g.left)
		}
	})
	t.Run("the wall clock alone reveals a pause", func(t *testing.T) {
		now := time.Now()
		if isPast(now.Round(0).Add(time.Second), now) || !isPast(now.Round(0).Add(-time.Second), now) {
			t.Error("got a wrong answer from the wall clock")
		}
	})
	t.Run("a sealed call writes no more", func(t *testing.T) {
		g, c := &gate{}, dial(t)
		g.open(c)
		if g.seal() || write(c) == nil {
			t.Error("got a write after the end of the call")
		}
	})
}
