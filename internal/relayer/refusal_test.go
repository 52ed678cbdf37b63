package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
)

// rawServer responds to requests with bytes of its own, and counts its requests and
// connections.
type rawServer struct {
	// respond returns the bytes that are written after the request with a number, from 1.
	respond               func(request int32) string
	requests, connections atomic.Int32
	// closes is true if the server closes the connection after each response.
	closes bool
}

// ServeHTTP reads requests on the connection of r until the client closes it.
func (s *rawServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.connections.Add(1)
	io.Copy(io.Discard, r.Body)
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	s.serve(c, buffered.Reader)
}

func (s *rawServer) serve(c net.Conn, reader *bufio.Reader) {
	for {
		if _, err := io.WriteString(c, s.respond(s.requests.Add(1))); err != nil || s.closes {
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
	}
}

// refusal returns a response with a status, the header fields given and no body.
func refusal(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields)
}

func always(text string) func(int32) string { return func(int32) string { return text } }

func assertRequests(t *testing.T, want int32, servers ...*rawServer) {
	t.Helper()
	got := int32(0)
	for _, s := range servers {
		got += s.requests.Load()
	}
	if got != want {
		t.Errorf("got %d requests at the servers, want %d", got, want)
	}
}

// refusalStatuses are the statuses of a refusal.
var refusalStatuses = []int{
	http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// Guards against a refusal of another request that is taken for one of this request: the
// client is told that the request was not run, or it runs at a second server, although the
// first one is running it.
func TestRefusalOfAnotherRequestProvesNothing(t *testing.T) {
	for _, status := range refusalStatuses {
		for _, path := range []string{"/once-of-two/x", "/one-stream/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				s := &rawServer{respond: always(refusal(status, "Id: r0\r\nNot-Run: 1\r\n"))}
				response, _, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+path, "b")
				if err != nil {
					t.Fatal(err)
				}
				assertRequests(t, 1, s)
				assertStatus(t, response, http.StatusBadGateway)
			})
		}
	}
}

// A refusal that names the request lets it be sent to another server.
func TestRefusalOfTheRequest(t *testing.T) {
	for _, status := range refusalStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := &rawServer{respond: func(n int32) string {
				if n == 1 {
					return refusal(status, "Id: r1\r\nNot-Run: 1\r\n")
				}
				return signedHead + "Content-Length: 2\r\n\r\nok"
			}}
			response, body, _ := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+"/once-of-two/x", "b")
			assertStatus(t, response, http.StatusOK)
			assertRequests(t, 2, s)
			if got, want := body, "ok"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// Guards against a refusal that a server writes once more where the response to the next
// request is due, also if both requests have the same identifier: no request is sent on a
// connection that another one was sent on, whatever the server wrote there.
func TestRepeatedRefusalMeetsNoRequest(t *testing.T) {
	refused := refusal(http.StatusServiceUnavailable, "Id: r1\r\nNot-Run: 1\r\n")
	for name, first := range map[string]string{
		"refused once": refused, "refused twice": refused + refused, "bytes after the refusal": refused + "HTTP/1.1 200 OK\r\n",
		"early responses": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + refused + refused,
	} {
		t.Run(name, func(t *testing.T) {
			s := &rawServer{respond: func(n int32) string {
				if n == 1 {
					return first
				}
				return signedHead + "Content-Length: 2\r\n\r\nok"
			}}
			url := newTestRelayer(t, s.ServeHTTP)
			response, _, _ := sendAndRead(t, url+"/once/x", "b")
			assertStatus(t, response, http.StatusServiceUnavailable)
			response, _, _ = sendAndRead(t, url+"/once/x", "b")
			assertStatus(t, response, http.StatusOK)
			assertRequests(t, 2, s)
			if got := s.connections.Load(); got != 2 {
				t.Errorf("got %d connections of 2 requests, want 2", got)
			}
		})
	}
}

// Guards against a request that a server runs although the client is told that it was not
// run: a refusal that names no request may be one of another request, since servers name the
// request that they refuse.
func TestRefusalWithoutRequestProvesNothing(t *testing.T) {
	for _, status := range refusalStatuses {
		for _, path := range []string{"/once-of-two/x", "/one-stream/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				s := &rawServer{respond: always(refusal(status, "Not-Run: 1\r\n"))}
				response, _, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+path, "b")
				if err != nil {
					t.Fatal(err)
				}
				assertRequests(t, 1, s)
				assertStatus(t, response, http.StatusBadGateway)
			})
		}
	}
}

// A request without an identifier is refused without one.
func TestRefusalOfRequestWithoutIdentifier(t *testing.T) {
	s := &rawServer{respond: always(refusal(http.StatusBadRequest, "Not-Run: 1\r\n"))}
	r := newRequest(t, newTestRelayer(t, s.ServeHTTP)+"/once/x", "b")
	r.Header.Del("Id")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	assertStatus(t, response, http.StatusServiceUnavailable)
}

// Guards against a refusal that a server writes before the request is sent: if the client is
// told that the request was not run, no byte of it has arrived at the server.
func TestRefusalBeforeRequest(t *testing.T) {
	for name, early := range map[string]string{
		"of no request":                refusal(http.StatusServiceUnavailable, "Not-Run: 1\r\n"),
		"of another request":           refusal(http.StatusMisdirectedRequest, "Id: r0\r\nNot-Run: 1\r\n"),
		"of no request, twice":         strings.Repeat(refusal(http.StatusServiceUnavailable, "Not-Run: 1\r\n"), 2),
		"after an early response":      "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal(http.StatusServiceUnavailable, "Not-Run: 1\r\n"),
		"of another request, in parts": "HTTP/1.1 503 Service Unavailable\r\nId: r0\r\nNot-",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { listener.Close() })
			received := make(chan int64, 1)
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				io.WriteString(c, early)
				c.(*net.TCPConn).CloseWrite()
				n, _ := io.Copy(io.Discard, c)
				received <- n
			}()
			response, _, err := sendAndRead(t, newTestRelayerOf(t, io.Discard, listener.Addr().String())+"/once/x", "b")
			if err != nil {
				t.Fatal(err)
			}
			if n := <-received; n > 0 && response.StatusCode != http.StatusBadGateway {
				t.Errorf("got status %d and %d bytes of the request at the server, want status 502", response.StatusCode, n)
			}
		})
	}
}

// senderOf is a Sender that returns a response.
type senderOf struct{ response http.Response }

// Exchange implements Sender.
func (s senderOf) Exchange(*http.Request, time.Time) (*http.Response, fuchsiapitch.Outcome, error) {
	s.response.Body = http.NoBody
	return &s.response, fuchsiapitch.OutcomeUnknown, nil
}

// Guards against servers that are avoided or suspected because of a response that does not
// belong to the request: only a refusal of the request says which server is at fault.
func TestOnlyRefusalsNameFaultyServers(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header http.Header
		want   bool
	}{
		"refusal":                    {http.StatusMisdirectedRequest, http.Header{"Id": {"r1"}, "Not-Run": {"1"}}, true},
		"refusal of another request": {http.StatusMisdirectedRequest, http.Header{"Id": {"r0"}, "Not-Run": {"1"}}, false},
		"refusal of no request":      {http.StatusMisdirectedRequest, http.Header{"Not-Run": {"1"}}, false},
		"success without signature":  {http.StatusOK, http.Header{"Id": {"r1"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			sender := senderOf{http.Response{StatusCode: c.status, Header: c.header}}
			x := &exchange{
				relayer: New(nil, sender, fakeHeaderCodec{}), request: newRequest(t, "http://host/once/x", "b"),
				deadline: time.Now().Add(time.Minute), metadata: fuchsiapitch.RequestMetadata{ID: "r1"},
			}
			rejection, _, err := x.send(t.Context(), new(driver.Slot), "")
			if got := rejection != nil; err == nil || got != c.want {
				t.Errorf("got a rejection: %v and error %v, want %v and an error", got, err, c.want)
			}
		})
	}
}

// Guards against a response whose status ends no request being forwarded, for which the HTTP
// server would panic or switch protocols.
func TestStatusThatEndsNoRequest(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101"} {
		for _, path := range []string{"/once/x", "/one-stream/x", "/look/x"} {
			t.Run(status+path, func(t *testing.T) {
				s := &rawServer{respond: always("HTTP/1.1 " + status + " Odd\r\nId: r1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok")}
				response, _, err := sendAndRead(t, newTestRelayer(t, s.ServeHTTP, s.ServeHTTP)+path, "b")
				if err != nil {
					t.Fatal(err)
				}
				assertStatus(t, response, http.StatusBadGateway)
			})
		}
	}
}
