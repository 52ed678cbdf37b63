package platform

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// silenceOfTest is long enough for several connection attempts of the test.
const silenceOfTest = 400 * time.Millisecond

// Guards against a stand-in whose silent servers refuse connections or lose what arrives, so
// that tests take them for ended or never see them silent.
func TestSilentServerGoesOn(t *testing.T) {
	for name, connectable := range map[string]bool{"connectable": true, "not connectable": false} {
		t.Run(name, func(t *testing.T) {
			fleet, stop := StartFleet(NewStore())
			defer stop()
			s, err := fleet.StartServer("p0", PlainService, "")
			if err != nil {
				t.Fatal(err)
			}
			before, err := net.Dial("tcp", s.Faults().Address())
			if err != nil {
				t.Fatal(err)
			}
			defer before.Close()
			s.FallSilent(silenceOfTest, connectable)
			if _, err := before.Write([]byte("GET /report HTTP/1.1\r\nHost: p0\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			during, err := net.DialTimeout("tcp", s.Faults().Address(), silenceOfTest/4)
			if err == nil {
				during.Close()
			}
			if connectable != (err == nil) || err != nil && !isTimeout(err) {
				t.Errorf("got error %v of a connection, want a time-out: %v", err, !connectable)
			}
			if before.SetReadDeadline(time.Now().Add(silenceOfTest / 4)); read(before) == nil {
				t.Error("got a response of a silent server, want none")
			}
			if before.SetReadDeadline(time.Now().Add(time.Minute)); read(before) != nil {
				t.Error("got no response after the silence, want that to the request during it")
			}
			after, err := net.DialTimeout("tcp", s.Faults().Address(), time.Minute)
			if err != nil {
				t.Fatalf("got error %v after the silence, want a connection", err)
			}
			after.Close()
			if got := fleet.Silences(); len(got) != 1 || got[0].Server != "p0" || got[0].Connectable != connectable {
				t.Errorf("got silences %v, want one of p0", got)
			}
		})
	}
}

func isTimeout(err error) bool {
	failure, ok := errors.AsType[net.Error](err)
	return ok && failure.Timeout()
}

func read(c net.Conn) error {
	_, err := c.Read(make([]byte, 1))
	return err
}

// Guards against a stand-in whose leaders count as ready for another group while streams run,
// so that a planned close that waits for them would end them.
func TestCloseWaitsForRequests(t *testing.T) {
	fleet, stop := StartFleet(NewStore())
	defer stop()
	s, err := fleet.StartServer("e0", ModelService, "domain")
	if err != nil {
		t.Fatal(err)
	}
	order := func(operation string) int {
		return s.executeOrder(orderRequest{Operation: operation, Group: "g", Epoch: 1, Model: "m", Members: []string{"e0"}})
	}
	await := func(want string) {
		t.Helper()
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			state, _ := s.stateAndLoss()
			if state == want {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("got state %s, want %s", state, want)
			}
		}
	}
	order("join")
	await(stateReady)
	order("open")
	await(stateOpen)
	if !s.beginRequest() {
		t.Fatal("got a request refused by an open group, want it accepted")
	}
	if got, want := order("close"), http.StatusAccepted; got != want {
		t.Errorf("got status %d of a close that waits, want %d", got, want)
	}
	if state, _ := s.stateAndLoss(); state != stateClosing {
		t.Errorf("got state %s with a request, want %s", state, stateClosing)
	}
	if s.beginRequest() {
		t.Error("got a request accepted by a closing group, want it refused")
	}
	s.endRequest()
	await(stateReady)
}
