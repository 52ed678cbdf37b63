package sender

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func TestRequestCannotBeReplayed(t *testing.T) {
	for name, body := range map[string][]byte{"with a body": []byte("kiln 7"), "without a body": nil} {
		t.Run(name, func(t *testing.T) {
			s, closeSender := New()
			defer closeSender()
			call := fuchsiapitch.NewCall("r1", http.MethodGet, "/orders", body)
			request, err := newExchange(t.Context(), s, fuchsiapitch.BackendServer{}, call).newRequest()
			if err != nil {
				t.Fatalf("got error %v", err)
			}
			if request.GetBody != nil || request.Body == nil || request.Body == http.NoBody {
				t.Errorf("got body %v, which net/http can replay", request.Body)
			}
		})
	}
}

func TestGate(t *testing.T) {
	write := func(c *guardedConn) error {
		_, err := c.Write([]byte("x"))
		return err
	}
	newConn := func(t *testing.T) *guardedConn {
		t.Helper()
		local, remote := net.Pipe()
		t.Cleanup(func() { local.Close(); remote.Close() })
		go remote.Read(make([]byte, 8))
		return &guardedConn{Conn: local}
	}
	t.Run("a second connection stays closed", func(t *testing.T) {
		g, first, second := &writeGuard{}, newConn(t), newConn(t)
		g.bind(first)
		g.bind(second)
		if err := write(second); err == nil {
			t.Error("write on the second connection succeeded, want an error")
		}
		if err := write(first); err != nil || !g.closeWrites() {
			t.Errorf("got error %v and wroteBytes %v on the first connection", err, g.wroteBytes)
		}
	})
	t.Run("a pause past the deadline lets nothing leave", func(t *testing.T) {
		g, c := &writeGuard{deadline: time.Now().Add(-time.Nanosecond)}, newConn(t)
		g.bind(c)
		if err := write(c); err == nil || g.closeWrites() {
			t.Errorf("got error %v and wroteBytes %v, want an error and no bytes written", err, g.wroteBytes)
		}
	})
	t.Run("either clock alone reveals a pause", func(t *testing.T) {
		for remaining, want := range map[[2]time.Duration]bool{
			{time.Second, time.Second}: false, {time.Second, 0}: true, {0, time.Second}: true,
		} {
			if got := eitherExpired(remaining[0], remaining[1]); got != want {
				t.Errorf("got %v with %v remaining, want %v", got, remaining, want)
			}
		}
	})
	t.Run("no bytes are written after the call has ended", func(t *testing.T) {
		g, c := &writeGuard{}, newConn(t)
		g.bind(c)
		if g.closeWrites() || write(c) == nil {
			t.Error("write after the end of the call succeeded, want an error")
		}
	})
}
