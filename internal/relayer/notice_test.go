package relayer

import (
	"net/http"
	"testing"
	"time"
)

// misdirectionBackOff exceeds the time for which a server that did not answer itself gets no
// requests.
const misdirectionBackOff = 400 * time.Millisecond

const okBody = "Content-Length: 2\r\n\r\nok"

// Guards against requests to a server that has said in any response to this host that it
// leaves, and against a server that is taken out by a response that is not its own or not to
// the request.
func TestServerThatSaysItLeavesGetsNoRequest(t *testing.T) {
	stream := streamHead + "Leaving: 1\r\n" + "Content-Length: 10\r\n\r\nid: 1\ndata"
	for name, tc := range map[string]struct {
		path, response string
		// want is the number of requests at the server, of one request and six later ones.
		want int32
	}{
		"success":                    {"/look/x", signedHead + "Leaving: 1\r\n" + okBody, 1},
		"header of a stream":         {"/one-stream/x", stream, 1},
		"refusal":                    {"/once-of-two/x", refusal(http.StatusServiceUnavailable, "Id: r1\r\nNot-Run: 1\r\nLeaving: 1\r\n"), 1},
		"too many requests":          {"/once-of-two/x", refusal(http.StatusTooManyRequests, "Id: r1\r\nNot-Run: 1\r\nLeaving: 1\r\n"), 1},
		"failure":                    {"/once/x", refusal(http.StatusInternalServerError, "Id: r1\r\nSigned: 1\r\nLeaving: 1\r\n"), 1},
		"success without signature":  {"/once/x", "HTTP/1.1 200 OK\r\nId: r1\r\nLeaving: 1\r\n" + okBody, 1},
		"refusal of another request": {"/once/x", refusal(http.StatusServiceUnavailable, "Id: r0\r\nNot-Run: 1\r\nLeaving: 1\r\n"), 7},
		"response of no request":     {"/once/x", refusal(http.StatusServiceUnavailable, "Not-Run: 1\r\nLeaving: 1\r\n"), 7},
		"another server":             {"/once/x", refusal(http.StatusMisdirectedRequest, "Id: r1\r\nNot-Run: 1\r\nLeaving: 1\r\n"), 7},
	} {
		t.Run(name, func(t *testing.T) {
			leaving := &rawServer{respond: func(n int32) string {
				if n == 1 {
					return tc.response
				}
				return signedHead + okBody
			}, closes: true}
			url := newTestRelayer(t, leaving.ServeHTTP)
			sendAndRead(t, url+tc.path, "b") //nolint:errcheck // The stream is cut off.
			if tc.want > 1 {
				time.Sleep(misdirectionBackOff)
			}
			for range 6 {
				sendAndRead(t, url+"/once/x", "b") //nolint:errcheck // Only the servers count.
			}
			assertRequests(t, tc.want, leaving)
		})
	}
}

// A request that is refused by a server that leaves or pauses goes to another server.
func TestRefusalWithNoticeIsSentElsewhere(t *testing.T) {
	for _, notice := range []string{"Leaving: 1", "Pause: 10s"} {
		refusing := &rawServer{respond: always(refusal(http.StatusServiceUnavailable, "Id: r1\r\nNot-Run: 1\r\n"+notice+"\r\n"))}
		other := &rawServer{respond: always(signedHead + okBody)}
		url := newTestRelayer(t, refusing.ServeHTTP, other.ServeHTTP)
		for range 5 {
			response, _, _ := sendAndRead(t, url+"/once-of-two/x", "b")
			assertStatus(t, response, http.StatusOK)
		}
		assertRequests(t, 1, refusing)
		assertRequests(t, 5, other)
	}
}

// Guards against requests to a server that has refused one and wants none for a time, and
// against a client that is told to come back before that.
func TestPausedServerGetsNoRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		want     int32
	}{
		"refusal":                    {refusal(http.StatusServiceUnavailable, "Id: r1\r\nNot-Run: 1\r\nPause: 1m\r\n"), 1},
		"failure that may have run":  {refusal(http.StatusServiceUnavailable, "Id: r1\r\nPause: 1m\r\n"), 1},
		"refusal of another request": {refusal(http.StatusServiceUnavailable, "Id: r0\r\nNot-Run: 1\r\nPause: 1m\r\n"), 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := &rawServer{respond: func(n int32) string {
				if n == 1 {
					return tc.response
				}
				return signedHead + okBody
			}, closes: true}
			url := newTestRelayer(t, s.ServeHTTP)
			for n := range 4 {
				response, _, _ := sendWithLimit(t, url+"/once/x", "b", 3*time.Second)
				if tc.want > 1 || n == 0 {
					continue
				}
				assertStatus(t, response, http.StatusServiceUnavailable)
				if got, err := time.ParseDuration(response.Header.Get("Own-Retry")); err != nil || got < 900*time.Millisecond || got > time.Second {
					t.Errorf("got a wait of %q, want a third of the time left", response.Header.Get("Own-Retry"))
				}
			}
			assertRequests(t, tc.want, s)
		})
	}
}
