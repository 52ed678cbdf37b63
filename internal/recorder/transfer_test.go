package recorder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/requester"
)

// respondSlowly reads one request and sends a batch without records in pieces of 16 KiB,
// with a second before each.
func respondSlowly(conn net.Conn, pieces int) error {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return err
	}
	piece := strings.Repeat(" ", 16<<10)
	body := strings.Repeat(piece, pieces) + `{"next":1}`
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
		return err
	}
	for range pieces {
		time.Sleep(time.Second)
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	_, err := io.WriteString(conn, strings.TrimSpace(body))
	return err
}

// The length of a transfer says nothing about how soon the log responds. It must not
// delay the detection of a silent connection.
func TestLongTransferDoesNotRaiseGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responded := make(chan error, 1)
		client, closeConnections := requester.New(maxResponseBytes, requester.WithDialContext(func(context.Context, string, string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			go func() { responded <- respondSlowly(serverConn, 30) }()
			return clientConn, nil
		}))
		defer closeConnections()
		r, closeUnused := New("log")
		defer closeUnused()
		r.requester = client
		start := time.Now()
		_, err := r.Read(t.Context(), stream, 1, 10)
		assertNoError(t, err, "read")
		assertNoError(t, <-responded, "response")
		assertEqual(t, time.Since(start), 30*time.Second, "time of the transfer")
		assertEqual(t, r.currentReadGrace(), minReadGrace, "grace")
	})
}
