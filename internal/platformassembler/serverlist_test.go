package platformassembler

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/pipe"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracker"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// Guards against hosts that send each other server lists that are no later than what the other one has, or
// that have records of no server.
func TestServerListOfAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &Host{driver: newIdleDriver(t), serversByKey: make(map[string]fuchsiapitch.ServerReport), pacedStore: pacer.New(nil)}
		source.settings.Store(&platform.Settings{})
		source.applyServerList(tracker.Update{IsSnapshot: true, NextOffset: 9, Era: 2, Records: []platform.Record{
			{Key: "a1", Value: []byte(`{"service":"x","address":"10.0.0.1:80","slots":4,"state":"ready"}`), Offset: 3},
			{Key: "odd", Value: []byte(`{"service":7}`), Offset: 4},
		}})
		transport, stop := pipe.Start(&http.Server{Handler: source.peerHandler()})
		h := &Host{peerTransport: transport}
		position := tracker.Update{NextOffset: 9, Era: 2}.Position()
		for name, test := range map[string]struct {
			after int64
			want  int
		}{"earlier": {position - 1, 1}, "of an earlier era": {tracker.Update{NextOffset: 1000, Era: 1}.Position(), 1}, "the same": {position, 0}, "later": {position + 1, 0}} {
			list, err := h.requestServerList(t.Context(), "peer", test.after)
			if err != nil || len(list.Servers) != test.want {
				t.Errorf("%s: got %d servers and error %v, want %d", name, len(list.Servers), err, test.want)
			}
		}
		if _, isCurrent := source.ownServerList(time.Now()); !isCurrent {
			t.Error("got an old list after a read, want a current one")
		}
		if _, isCurrent := source.ownServerList(time.Now().Add(serverListTimeout)); isCurrent {
			t.Errorf("got a current list %s after a read, want an old one", serverListTimeout)
		}
		if err := stop(); err != nil {
			t.Errorf("got error %v at shutdown, want none", err)
		}
	})
}
