package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// firstServer reports for all servers. The one that is asked first has ended, if hasEnded is true:
// it has sent the unframed response.
type firstServer struct {
	unreachableServers
	hasEnded bool
	asked    atomic.Value
}

// Report returns what a server reports.
func (s *firstServer) Report(_ context.Context, id fuchsiapitch.ServerID, address string) (fuchsiapitch.ServerReport, error) {
	s.asked.CompareAndSwap(nil, id)
	if s.hasEnded && s.asked.Load() == id {
		return fuchsiapitch.ServerReport{}, &fuchsiapitch.UnreachableError{Address: address, Err: syscall.ECONNREFUSED}
	}
	return fuchsiapitch.ServerReport{ID: id, StartedUnixMillis: 1}, nil
}

// unframedOnce is a server whose first response states neither a length nor chunks and ends with the
// connection. Later ones are whole.
func unframedOnce(start string, next http.HandlerFunc) http.HandlerFunc {
	var requests atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			next(w, r)
			return
		}
		// Unread bytes would reset the connection.
		io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		io.WriteString(c, signedHead+start)
	}
}

// Guards against a response without a length or chunks that reaches its client as complete, although its
// server crashed in the middle: the end of the connection looks the same.
func TestUnframedResponseOfEndedServer(t *testing.T) {
	const half, event = "\r\nha", "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	lastEvent := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", "r1")
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 2\ndata: b\n\n")
	}
	const leaving = "Leaving: 1\r\n"
	noEvent := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", "r1")
		w.Header().Set("Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		http.NewResponseController(w).Flush()
	}
	tests := map[string]struct {
		path, start string
		next        http.HandlerFunc
		hasEnded    bool
		wantStatus  int
		wantBody    string
		wantCutOff  bool
	}{
		"a request that may run once":                             {path: "/once/x", start: half, next: succeed, hasEnded: true, wantStatus: http.StatusBadGateway},
		"an idempotent request":                                   {path: "/look/x", start: half, next: succeed, hasEnded: true, wantStatus: http.StatusOK, wantBody: "whole b"},
		"an error for a stream":                                   {path: "/stream/x", start: half, next: lastEvent, hasEnded: true, wantStatus: http.StatusOK, wantBody: "id: 2\ndata: b\n\n"},
		"a stream":                                                {path: "/stream/x", start: event, next: lastEvent, hasEnded: true, wantStatus: http.StatusOK, wantBody: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"a stream that cannot be resumed":                         {path: "/one-stream/x", start: event, next: lastEvent, hasEnded: true, wantStatus: http.StatusOK, wantBody: "id: 1\ndata: a\n\n", wantCutOff: true},
		"a stream of a server that leaves":                        {path: "/stream/x", start: leaving + event, next: lastEvent, hasEnded: true, wantStatus: http.StatusOK, wantBody: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"a stream that was whole":                                 {path: "/stream/x", start: leaving + event, next: noEvent, hasEnded: true, wantStatus: http.StatusOK, wantBody: "id: 1\ndata: a\n\n"},
		"an idempotent request of a server that leaves":           {path: "/look/x", start: leaving + half, next: succeed, hasEnded: true, wantStatus: http.StatusOK, wantBody: "whole b"},
		"a request that may run once of a server that leaves":     {path: "/once/x", start: leaving + half, next: succeed, hasEnded: true, wantStatus: http.StatusBadGateway},
		"a stream that cannot be resumed of a server that leaves": {path: "/one-stream/x", start: leaving + event, next: lastEvent, hasEnded: true, wantStatus: http.StatusOK, wantBody: "id: 1\ndata: a\n\n", wantCutOff: true},
		"a response of a server that leaves and runs on":          {path: "/once/x", start: leaving + half, next: succeed, wantStatus: http.StatusOK, wantBody: "ha"},
		"a stream of a server that leaves and runs on":            {path: "/one-stream/x", start: leaving + event, next: lastEvent, wantStatus: http.StatusOK, wantBody: "id: 1\ndata: a\n\n"},
		"a response of a server that runs":                        {path: "/once/x", start: half, next: succeed, wantStatus: http.StatusOK, wantBody: "ha"},
		"a stream of a server that runs":                          {path: "/stream/x", start: event, next: lastEvent, wantStatus: http.StatusOK, wantBody: "id: 1\ndata: a\n\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			handler := unframedOnce(tt.start, tt.next)
			var addresses []string
			for range 2 {
				s := httptest.NewServer(handler)
				t.Cleanup(s.Close)
				addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
			}
			proxy := httptest.NewServer(newRelayerWithReports(t, io.Discard, &firstServer{hasEnded: tt.hasEnded}, addresses...))
			t.Cleanup(proxy.Close)
			response, body, err := sendAndRead(t, proxy.URL+tt.path, "b")
			if (err != nil) != tt.wantCutOff {
				t.Fatalf("got error %v, want a response that is cut off: %v", err, tt.wantCutOff)
			}
			assertStatus(t, response, tt.wantStatus)
			if tt.wantStatus == http.StatusOK && body != tt.wantBody {
				t.Errorf("got %q, want %q", body, tt.wantBody)
			}
		})
	}
}
