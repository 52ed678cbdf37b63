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
			s, clean := New()
			defer clean()
			call := fuchsiapitch.NewCall("r1", http.MethodGet, "/orders", body)
			request, err := newExchange(t.Context(), s, fuchsiapitch.BackendServer{}, call).request()
			if err != nil {
				t.Fatalf("got error %v", err)
			}
			if request.GetBody != nil || request.Body == nil || request.Body == http.NoBody {
				t.Errorf("got body %v, which net/http can send again", request.Body)
			}
		})
	}
}

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
	t.Run("either clock alone reveals a pause", func(t *testing.T) {
		for remaining, want := range map[[2]time.Duration]bool{
			{time.Second, time.Second}: false, {time.Second, 0}: true, {0, time.Second}: true,
		} {
			if got := isOver(remaining[0], remaining[1]); got != want {
				t.Errorf("got %v with %v left, want %v", got, remaining, want)
			}
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
