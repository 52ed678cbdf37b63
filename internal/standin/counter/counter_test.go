package counter

import (
	"errors"
	"io"
	"net"
	"testing"
)

// fakeConnection is a connection that accepts the first accepted bytes of each write. It
// records the count at the time at which the bytes are sent.
type fakeConnection struct {
	net.Conn
	counter         *Counter
	accepted        int
	payloadWhenSent int64
	bytesWhenSent   int64
}

func (c *fakeConnection) Write(data []byte) (int, error) {
	c.payloadWhenSent, c.bytesWhenSent = c.counter.PayloadBytes(), c.counter.WireBytes()
	if c.accepted < len(data) {
		return c.accepted, io.ErrShortWrite
	}
	return len(data), nil
}

func assertEqual[T comparable](t *testing.T, got, want T, subject string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", subject, got, want)
	}
}

// A write is counted before its bytes can reach the peer.
func TestWriteIsCountedBeforeItIsSent(t *testing.T) {
	var c Counter
	fake := &fakeConnection{counter: &c, accepted: 5}
	_, err := (&connection{Conn: fake, counter: &c}).Write([]byte("opal!"))
	assertEqual(t, err, nil, "error")
	assertEqual(t, fake.payloadWhenSent, 5, "payload when sent")
	assertEqual(t, fake.bytesWhenSent, 5+segmentOverheadBytes, "bytes when sent")
	assertEqual(t, c.PayloadBytes(), 5, "payload")
	assertEqual(t, c.WireBytes(), 5+segmentOverheadBytes, "bytes")
}

// A write that fails counts with the bytes that were sent.
func TestFailedWriteCountsWhatWasSent(t *testing.T) {
	cases := []struct {
		name           string
		accepted       int
		payload, bytes int64
	}{
		{"none sent", 0, 0, 0},
		{"some sent", 2, 2, 2 + segmentOverheadBytes},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var c Counter
			n, err := (&connection{Conn: &fakeConnection{counter: &c, accepted: tc.accepted}, counter: &c}).Write([]byte("opal!"))
			assertEqual(t, errors.Is(err, io.ErrShortWrite), true, "ErrShortWrite")
			assertEqual(t, n, tc.accepted, "bytes sent")
			assertEqual(t, c.PayloadBytes(), tc.payload, "payload")
			assertEqual(t, c.WireBytes(), tc.bytes, "bytes")
		})
	}
}
