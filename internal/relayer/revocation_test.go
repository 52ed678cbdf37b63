package relayer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Guards against a response that is ended early because it was taken from a silent server
// although it could not be resumed at another one.
func TestOnlyResumableStreamsMayMove(t *testing.T) {
	for _, tt := range []struct {
		name                                 string
		kind                                 fuchsiapitch.RouteKind
		resumable                            bool
		attemptLimit, runCount, acquisitions int
		want                                 bool
	}{
		{name: "a resumable stream", kind: fuchsiapitch.StreamRoute, resumable: true, attemptLimit: 2, want: true},
		{name: "its last attempt", kind: fuchsiapitch.StreamRoute, resumable: true, attemptLimit: 2, runCount: 1, acquisitions: 1},
		{name: "its last slot", kind: fuchsiapitch.StreamRoute, resumable: true, attemptLimit: 2, acquisitions: 2 + maxNotRunAttempts - 1},
		{name: "another stream", kind: fuchsiapitch.StreamRoute, attemptLimit: 2},
		{name: "an idempotent request", kind: fuchsiapitch.IdempotentRoute, attemptLimit: 2},
		{name: "a request that may run once", kind: fuchsiapitch.AtMostOnceRoute, attemptLimit: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			admitter := &recordingAdmitter{}
			r := New(admitter, nil, fakeHeaderCodec{})
			x := &exchange{
				relayer: r, writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/a", http.NoBody), receivedAt: time.Now(), ctx: t.Context(),
				routes: newTableOf(1, 0), route: fuchsiapitch.HostRoute{Kind: tt.kind, Resumable: tt.resumable, AttemptLimit: tt.attemptLimit}, runCount: tt.runCount, acquisitions: tt.acquisitions,
			}
			if _, err := x.acquireSlot(false); err == nil {
				t.Fatal("got a slot, want the refusal of the admitter")
			}
			if got := admitter.arrivals[0].MayMove; got != tt.want {
				t.Errorf("got a request that may move: %v, want %v", got, tt.want)
			}
		})
	}
}
