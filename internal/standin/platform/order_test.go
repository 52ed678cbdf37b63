package platform

import (
	"net/http"
	"testing"
	"time"
)

// awaitState waits until a server has a state in its group.
func awaitState(t *testing.T, s *Server, want string) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		got, _ := s.stateAndLoss()
		if got == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got state %q, want %q", got, want)
		}
	}
}

// Guards against a stand-in that reports a group as closed while its requests run, so that a
// controller takes its servers for free and ends the requests by the next join.
func TestNoJoinWhileGroupCloses(t *testing.T) {
	fleet, stop := StartFleet(NewStore())
	defer stop()
	s, err := fleet.StartServer("e0", ModelService, "domain")
	if err != nil {
		t.Fatal(err)
	}
	s.executeOrder(orderRequest{Operation: "join", Group: "g", Epoch: 1, Model: LargeModel, Members: []string{"e0"}})
	awaitState(t, s, stateReady)
	s.executeOrder(orderRequest{Operation: "open", Group: "g", Epoch: 1})
	awaitState(t, s, stateOpen)
	if !s.beginRequest() {
		t.Fatal("got a request refused by an open group, want it accepted")
	}
	if got, want := s.executeOrder(orderRequest{Operation: "close", Group: "g", Epoch: 1, CloseMode: "wait"}), http.StatusAccepted; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, _ := s.stateAndLoss(); got != stateClosing {
		t.Errorf("got state %q with a request, want %q", got, stateClosing)
	}
	s.checkJoin(orderRequest{Operation: "join", Group: "h", Epoch: 2})
	if got := len(fleet.Violations()); got != 1 {
		t.Errorf("got %d violations by a join, want 1", got)
	}
	s.endRequest()
	if got, _ := s.stateAndLoss(); got != stateReady {
		t.Errorf("got state %q without a request, want %q", got, stateReady)
	}
}
