package platformassembler

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// Guards against a stream that loses its place to another host while its server is silent for
// a second or so, and never gets one again.
func TestStreamResumesBesideBusyHost(t *testing.T) {
	assertStreamBesideBusyHost(t, func(s *standin.Server) {
		s.Faults().Pause()
		time.AfterFunc(1300*time.Millisecond, s.Faults().Resume)
	})
}

// Guards against a stream that never resumes after its server was lost, because another host
// takes each place that becomes free.
func TestStreamOfLostServerResumesBesideBusyHost(t *testing.T) {
	assertStreamBesideBusyHost(t, func(s *standin.Server) { s.Faults().Kill() })
}

// assertStreamBesideBusyHost checks that a stream is complete if its server is disturbed while
// another host has more requests than there are places.
func assertStreamBesideBusyHost(t *testing.T, disturb func(s *standin.Server)) {
	t.Helper()
	c := newTestCluster(t, 2)
	c.awaitController(t)
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	occupy := func() {
		for ctx.Err() == nil {
			response, _ := c.sendRequest(t, 1, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
			if response.StatusCode == http.StatusOK {
				readEvents(t, response.Body, func(int) {})
			}
			response.Body.Close()
		}
	}
	response, id := c.awaitResponse(t, 0, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
	defer response.Body.Close()
	got := readEvents(t, response.Body, func(n int) {
		if n != 3 {
			return
		}
		for _, s := range c.Fleet.OpenLeaders() {
			if s.RunCount(id) > 0 {
				disturb(s)
			}
		}
		for range 60 {
			clients.Go(occupy)
		}
	})
	if want := 20; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
}
