package acceptor

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

// acceptBoth returns both ends of a new connection.
func acceptBoth(t *testing.T, listener net.Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	client.SetDeadline(time.Now().Add(10 * time.Second))
	return client, server
}

func send(t *testing.T, from, to net.Conn) {
	t.Helper()
	from.Write([]byte("x"))
	if _, err := to.Read(make([]byte, 1)); err != nil {
		t.Fatalf("got error %v, want an open connection", err)
	}
}

// Guards against clients that take all descriptors and never complete a handshake.
func TestHandshakeListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	listener := NewHandshakeListener(inner, 2, zerolog.Nop(), meter.New())
	completeClient, completeServer := acceptBoth(t, listener)
	send(t, completeClient, completeServer)
	send(t, completeServer, completeClient)
	send(t, completeClient, completeServer)
	halfClient, halfServer := acceptBoth(t, listener)
	send(t, halfClient, halfServer)
	send(t, halfServer, halfClient)
	for range 2 {
		acceptBoth(t, listener)
	}
	if _, err := halfClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v on the oldest connection without a handshake, want its end", err)
	}
	send(t, completeClient, completeServer)
	send(t, completeServer, completeClient)
}
