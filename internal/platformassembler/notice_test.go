package platformassembler

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// leavingSpan is how long requests are sent after a server has said that it leaves, several
// times the drain limit of the stand-in. pauseSpan is how long a server wants none.
const leavingSpan, pauseSpan = 2 * time.Second, 3 * time.Second

// minNoticeRequests is the number of requests that are sent in that time at least, also by
// a slow machine.
const minNoticeRequests = 20

// neverUnlisted is a time after which no test runs any more.
const neverUnlisted = time.Hour

// noticePaths has a path of a route of each kind.
var noticePaths = map[string]string{
	"bookings": standin.BookPathPrefix + "x", "lookups": standin.LookPathPrefix + "x", "streams": standin.StreamPathPrefix + "x",
}

// noticeKinds are the paths of noticePaths in a fixed order.
var noticeKinds = slices.Sorted(maps.Values(noticePaths))

// sendChecked sends a request through the stand-in's requester, reads the response and returns
// its status and the server that it names, "" for none.
func (c *testCluster) sendChecked(t *testing.T, host int, path string) (status int, server string) {
	t.Helper()
	status, server, err := c.trySendChecked(t, host, path)
	if err != nil {
		t.Fatal(err)
	}
	return status, server
}

func (c *testCluster) trySendChecked(t *testing.T, host int, path string) (status int, server string, err error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.clientAddresses[host]+path, strings.NewReader("prompt"))
	if err != nil {
		return 0, "", err
	}
	r.Host = standin.HostName
	for name, value := range map[string]string{
		"X-Request-Id": fmt.Sprintf("c%d", c.requestCount.Add(1)), "X-Credential": standin.APIKey,
		"X-Deadline-Ms": "20000", "X-Model": standin.LargeModel, "X-Token-Usage": "100,120",
	} {
		r.Header.Set(name, value)
	}
	response, err := c.Fleet.Requester(hostName(host)).RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, "", err
	}
	return response.StatusCode, strings.TrimPrefix(response.Header.Get("X-Response-Seal"), "seal-"), nil
}

// awaitServer sends requests until a server responds and returns the server.
func (c *testCluster) awaitServer(t *testing.T, host int, path string) *standin.Server {
	t.Helper()
	var server string
	c.await(t, "response of a server", func() bool {
		_, server = c.sendChecked(t, host, path)
		return server != ""
	})
	return c.Fleet.Server(server)
}

// sendAfterNotice sends requests to a host one after the other for a time and returns how
// many succeeded. Each is sent after the response to the one before, so that the host has
// read what the servers stated, however slow the machine is.
func (c *testCluster) sendAfterNotice(t *testing.T, host int, path string, span time.Duration) int {
	t.Helper()
	succeeded, sent := 0, 0
	for start := time.Now(); sent < minNoticeRequests || time.Since(start) < span; time.Sleep(5 * time.Millisecond) {
		if status, _ := c.sendChecked(t, host, path); status == http.StatusOK {
			succeeded++
		}
		sent++
	}
	return succeeded
}

// assertNoViolation fails the test with the first of the violations of a kind.
func (c *testCluster) assertNoViolation(t *testing.T, kind string) {
	t.Helper()
	var got []string
	for _, v := range c.Fleet.Violations() {
		if strings.HasPrefix(v, kind) {
			got = append(got, v)
		}
	}
	if len(got) > 0 {
		t.Errorf("got %d violations, the first %q, want none", len(got), got[0])
	}
}

// Guards against requests to a server that has said beside a response that it leaves, while
// the list does not say so.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for name, path := range noticePaths {
		for suffix, storeAway := range map[string]bool{"": false, ", store away": true} {
			t.Run(name+suffix, func(t *testing.T) {
				t.Parallel()
				c := newTestCluster(t, 2)
				server := c.awaitServer(t, 0, path)
				c.Store.SetOutage(storeAway)
				server.LeaveUnannounced(neverUnlisted)
				if got := c.sendAfterNotice(t, 0, path, leavingSpan); got == 0 {
					t.Error("got no response of the other servers, want some")
				}
				c.assertNoViolation(t, "DRAIN")
			})
		}
	}
}

// Guards against requests to a server that has refused one and stated how long it wants
// none.
func TestPausingServerGetsNoRequests(t *testing.T) {
	for name, path := range noticePaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			c.awaitServer(t, 0, path).PauseRequests(hostName(0), pauseSpan)
			if got := c.sendAfterNotice(t, 0, path, pauseSpan); got == 0 {
				t.Error("got no response of the other servers, want some")
			}
			c.assertNoViolation(t, "BUDGET")
		})
	}
}

// Guards against a pause that one host heeds for the other: requests to the other host are
// still served by the server, and those that are sent after the end of the pause too.
func TestPauseConcernsOneHostUntilItsEnd(t *testing.T) {
	c := newTestCluster(t, 2)
	servers := []string{"p0", "p1"}
	path := standin.LookPathPrefix + "x"
	c.awaitServer(t, 0, path)
	for _, s := range servers {
		c.Fleet.Server(s).PauseRequests(hostName(0), pauseSpan)
	}
	c.sendChecked(t, 0, path)
	if status, _ := c.sendChecked(t, 1, path); status != http.StatusOK {
		t.Errorf("got status %d of the other host, want 200", status)
	}
	c.await(t, "response after the pause", func() bool {
		status, _ := c.sendChecked(t, 0, path)
		return status == http.StatusOK
	})
}

// noticeSeeds is the number of random runs, noticeSteps how many events each of them has.
const noticeSeeds, noticeSteps = 6, 12

// Guards against a violation that needs several servers at once which leave, want a pause or
// are silent, or the store to be away meanwhile.
func TestRandomNotices(t *testing.T) {
	for seed := range uint64(noticeSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 2)
			stop := make(chan struct{})
			succeeded := make(chan int, len(c.clientAddresses))
			for host := range c.clientAddresses {
				c.awaitServer(t, host, standin.StreamPathPrefix+"x")
				go func() { succeeded <- c.sendUntil(t, stop, host, rand.New(rand.NewPCG(seed, uint64(host)))) }()
			}
			c.playEvents(rand.New(rand.NewPCG(seed, noticeSeeds)))
			close(stop)
			for range c.clientAddresses {
				if <-succeeded == 0 {
					t.Error("got no response of a server at one of the hosts, want some")
				}
			}
			c.assertNoViolation(t, "")
		})
	}
}

// sendUntil sends requests of all kinds to a host, one after the other, until stop is closed,
// and returns how many succeeded. A stream that breaks off is the subject of other tests.
func (c *testCluster) sendUntil(t *testing.T, stop <-chan struct{}, host int, random *rand.Rand) int {
	t.Helper()
	for succeeded := 0; ; {
		select {
		case <-stop:
			return succeeded
		case <-time.After(5 * time.Millisecond):
		}
		status, _, err := c.trySendChecked(t, host, noticeKinds[random.IntN(len(noticeKinds))])
		if err == nil && status == http.StatusOK {
			succeeded++
		}
	}
}

// playEvents makes servers that get requests leave, want a pause or fall silent, and the store
// be away. One plain server and one leader leave at most.
func (c *testCluster) playEvents(random *rand.Rand) {
	hosts := []string{"", hostName(0), hostName(1)}
	hasLeft := make(map[bool]bool)
	for range noticeSteps {
		servers := c.Fleet.OpenLeaders()
		slices.SortFunc(servers, func(a, b *standin.Server) int { return strings.Compare(a.ID(), b.ID()) })
		isLeader := random.IntN(2) == 0 && len(servers) > 0
		if !isLeader {
			servers = []*standin.Server{c.Fleet.Server("p0"), c.Fleet.Server("p1")}
		}
		server := servers[random.IntN(len(servers))]
		span := time.Duration(random.IntN(2000)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			if !hasLeft[isLeader] {
				hasLeft[isLeader] = true
				server.LeaveUnannounced(span)
			}
		case 1:
			server.FallSilent(span, random.IntN(2) == 0)
		case 2:
			c.Store.SetOutage(random.IntN(2) == 0)
		default:
			server.PauseRequests(hosts[random.IntN(len(hosts))], span+time.Second)
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
	c.Store.SetOutage(false)
}
