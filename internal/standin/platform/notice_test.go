package platform

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a check that misses a request which reaches a server that leaves, or
// blames a host for one that it may send.
func TestDrainCheck(t *testing.T) {
	const late = drainLimit + time.Millisecond
	for name, c := range map[string]struct {
		// host and server are those of the judged request, sentAfter is the time from the
		// passed on response until it is sent.
		host, server string
		sentAfter    time.Duration
		before       func(c *noticeChecker)
		want         int
	}{
		"within the limit":   {"h0", "p0", drainLimit, nil, 0},
		"later":              {"h0", "p0", late, nil, 1},
		"another host":       {"h1", "p0", late, nil, 0},
		"another server":     {"h0", "p1", late, nil, 0},
		"not by a requester": {"", "p0", late, nil, 0},
		"after a restart":    {"h0", "p0", late, func(c *noticeChecker) { c.forget("h0", true) }, 0},
		"after a cut":        {"h0", "p0", late, func(c *noticeChecker) { c.forget("h0", false) }, 1},
		"another's restart":  {"h0", "p0", late, func(c *noticeChecker) { c.forget("h1", true) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			n, start := newNoticeChecker(), time.Now()
			n.recordSent("r1", "h0", start)
			n.recordStatement("r1", "p0")
			n.recordPassedOn("r1", "p0", start)
			// A later statement does not extend the limit.
			n.recordSent("r2", "h0", start)
			n.recordStatement("r2", "p0")
			n.recordPassedOn("r2", "p0", start.Add(drainLimit))
			if c.before != nil {
				c.before(n)
			}
			if c.host != "" {
				n.recordSent("r3", c.host, start.Add(c.sentAfter))
			}
			if got := n.recordArrival("r3", c.server, start.Add(c.sentAfter+time.Second)); len(got) != c.want {
				t.Errorf("got violations %q, want %d", got, c.want)
			}
		})
	}
	t.Run("not passed on, or without the statement", func(t *testing.T) {
		n, start := newNoticeChecker(), time.Now()
		n.recordSent("r1", "h0", start)
		n.recordStatement("r1", "p0")
		n.recordSent("r2", "h0", start)
		n.recordPassedOn("r2", "p0", start)
		n.recordPassedOn("r1", "p1", start)
		n.recordSent("r3", "h0", start.Add(late))
		for _, server := range []string{"p0", "p1"} {
			if got := n.recordArrival("r3", server, start.Add(late)); len(got) != 0 {
				t.Errorf("got violations %q, want none", got)
			}
		}
	})
}

// Guards against a check that misses the requests which reach a server in its pause, or
// blames a host for those that it may send.
func TestPauseCheck(t *testing.T) {
	const end = 2 * time.Second
	for name, c := range map[string]struct {
		host, server string
		// arrivals are the times of the judged requests after the refusal.
		arrivals []time.Duration
		before   func(c *noticeChecker)
		want     int
	}{
		"on their way":       {"h0", "p0", []time.Duration{0, 0, 0, pauseSlack - 1, pauseSlack - 1, pauseSlack - 1}, nil, 0},
		"two in the pause":   {"h0", "p0", []time.Duration{pauseSlack, end - 1}, nil, 0},
		"three in the pause": {"h0", "p0", []time.Duration{pauseSlack, time.Second, end - 1}, nil, 1},
		"four in the pause":  {"h0", "p0", []time.Duration{pauseSlack, time.Second, time.Second, end - 1}, nil, 2},
		"after the pause":    {"h0", "p0", []time.Duration{pauseSlack, time.Second, end, end}, nil, 0},
		"another host":       {"h1", "p0", []time.Duration{time.Second, time.Second, time.Second}, nil, 0},
		"another server":     {"h0", "p1", []time.Duration{time.Second, time.Second, time.Second}, nil, 0},
		"not by a requester": {"", "p0", []time.Duration{time.Second, time.Second, time.Second}, nil, 0},
		"after a restart":    {"h0", "p0", []time.Duration{time.Second, time.Second, time.Second}, func(c *noticeChecker) { c.forget("h0", true) }, 0},
		"after a cut":        {"h0", "p0", []time.Duration{time.Second, time.Second, time.Second}, func(c *noticeChecker) { c.forget("h0", false) }, 0},
		"another's cut":      {"h0", "p0", []time.Duration{time.Second, time.Second, time.Second}, func(c *noticeChecker) { c.forget("h1", false) }, 1},
		"a longer pause":     {"h0", "p0", []time.Duration{end, end, end}, func(c *noticeChecker) { c.extend(end + time.Second) }, 1},
		"a shorter pause":    {"h0", "p0", []time.Duration{pauseSlack, pauseSlack, pauseSlack}, func(c *noticeChecker) { c.extend(time.Second) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNoticeChecker()
			n.recordSent("r1", "h0", time.Time{})
			n.recordPause("r1", "p0", time.Time{}, time.Time{}.Add(end))
			if c.before != nil {
				c.before(n)
			}
			var got []string
			for i, d := range c.arrivals {
				id := "r" + strconv.Itoa(2+i)
				if c.host != "" {
					n.recordSent(id, c.host, time.Time{})
				}
				got = append(got, n.recordArrival(id, c.server, time.Time{}.Add(d))...)
			}
			if len(got) != c.want {
				t.Errorf("got violations %q, want %d", got, c.want)
			}
		})
	}
}

// extend records another refusal of the first request, with a pause until a time.
func (c *noticeChecker) extend(end time.Duration) {
	c.recordPause("r1", "p0", time.Time{}, time.Time{}.Add(end))
}

// startTestFleet starts a fleet with a plain server p0 and an engine e0.
func startTestFleet(t *testing.T) *Fleet {
	t.Helper()
	f, stop := StartFleet(NewStore())
	t.Cleanup(stop)
	for id, domain := range map[string]string{"p0": "", "e0": "domain-0"} {
		if _, err := f.StartServer(id, PlainService, domain); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// send sends a request of a host to a server and returns the response, whose body is read.
func (f *Fleet) send(t *testing.T, host, server, method, path string, header map[string]string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+f.Server(server).Faults().Address()+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	for n, v := range header {
		r.Header.Set(n, v)
	}
	response, err := f.Requester(host).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response
}

// entry returns the entry of a server in the store, "" if there is none.
func (f *Fleet) entry(server string) string {
	f.store.mutex.Lock()
	defer f.store.mutex.Unlock()
	return string(f.store.topic(serversTopic).newestByKey[server].Data)
}

func (f *Fleet) awaitEntry(t *testing.T, server, what string, condition func(entry string) bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(f.entry(server)); time.Sleep(entryInterval / 10) {
		if time.Now().After(deadline) {
			t.Fatalf("got entry %q, want %s", f.entry(server), what)
		}
	}
}

// Guards against a response of a leaving server without the statement, which hosts could not
// heed, and against one of a server that stays with it.
func TestLeavingServerStatesIt(t *testing.T) {
	request := map[string]string{"X-Request-Id": "r1"}
	for name, c := range map[string]struct {
		server, method, path string
		header               map[string]string
		status               int
	}{
		"request":        {"p0", http.MethodPost, BookPathPrefix, request, http.StatusOK},
		"refusal":        {"e0", http.MethodPost, StreamPathPrefix, request, http.StatusServiceUnavailable},
		"another server": {"p0", http.MethodPost, BookPathPrefix, map[string]string{"X-Target-Instance": "p9"}, http.StatusMisdirectedRequest},
		"report":         {"p0", http.MethodGet, "/report", nil, http.StatusOK},
		"order":          {"e0", http.MethodPost, "/order", nil, http.StatusConflict},
		"health":         {"p0", http.MethodGet, "/health", nil, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := startTestFleet(t)
			for step, want := range []string{"", "1"} {
				got := f.send(t, "h0", c.server, c.method, c.path, c.header)
				if got.Header.Get("Server-Leaving") != want {
					t.Errorf("got %q in step %d, want %q", got.Header.Get("Server-Leaving"), step, want)
				}
				if step == 1 && got.StatusCode != c.status {
					t.Errorf("got status %d of a leaving server, want %d", got.StatusCode, c.status)
				}
				f.Server(c.server).StartDraining()
			}
		})
	}
}

// Guards against a server that leaves unannounced and is seen to leave in the list before its
// entry goes, or whose entry comes back.
func TestEntryOfLeavingServer(t *testing.T) {
	f := startTestFleet(t)
	f.awaitEntry(t, "p0", "one", func(e string) bool { return e != "" })
	f.Server("e0").StartDraining()
	f.Server("p0").LeaveUnannounced(5 * entryInterval)
	f.awaitEntry(t, "e0", "a draining server", func(e string) bool { return strings.Contains(e, `"state":"draining"`) })
	f.awaitEntry(t, "p0", "none", func(e string) bool {
		if strings.Contains(e, "draining") {
			t.Fatalf("got entry %s, want one that does not say that the server leaves", e)
		}
		return e == ""
	})
	time.Sleep(3 * entryInterval)
	if got := f.entry("p0"); got != "" {
		t.Errorf("got entry %s again, want none", got)
	}
}

// Guards against a pause that concerns other hosts, reports or orders, or whose stated time
// is not the one that is checked.
func TestPausingServer(t *testing.T) {
	for host, want := range map[string][]int{"h0": {503, 200}, "": {503, 503}, "h9": {200, 200}} {
		t.Run("pause of host "+host, func(t *testing.T) {
			f := startTestFleet(t)
			f.Server("p0").PauseRequests(host, time.Hour)
			var got []int
			for n := range 2 {
				response := f.send(t, fmt.Sprintf("h%d", n), "p0", http.MethodPost, BookPathPrefix, map[string]string{"X-Request-Id": fmt.Sprintf("r%d", n)})
				got = append(got, response.StatusCode)
				if response.StatusCode != http.StatusServiceUnavailable {
					continue
				}
				seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				if err != nil || seconds <= 3500 || seconds > 3600.001 || response.Header.Get("X-Not-Executed") == "" {
					t.Errorf("got header %v, want a refusal with a pause of an hour", response.Header)
				}
			}
			if !slices.Equal(got, want) {
				t.Errorf("got status %v of two hosts, want %v", got, want)
			}
			for _, path := range []string{"/report", "/health"} {
				if got := f.send(t, "h0", "p0", http.MethodGet, path, nil).StatusCode; got != http.StatusOK {
					t.Errorf("got status %d of %s, want 200", got, path)
				}
			}
		})
	}
	t.Run("the pause ends", func(t *testing.T) {
		f := startTestFleet(t)
		f.Server("p0").PauseRequests("", time.Hour)
		f.Server("p0").PauseRequests("", 0)
		if got := f.send(t, "h0", "p0", http.MethodPost, BookPathPrefix, nil).StatusCode; got != http.StatusOK {
			t.Errorf("got status %d, want 200", got)
		}
	})
}
