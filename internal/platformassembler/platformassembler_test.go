package platformassembler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// awaitTimeout bounds each wait, so that a test that hangs fails.
const awaitTimeout = time.Minute

// testCluster is a stand-in of the platform with entry hosts. The slices are indexed by
// the number of the host.
type testCluster struct {
	*standin.Installation
	clientAddresses    []string
	readinessAddresses []string
	settingsPaths      []string
	stopChannels       []chan struct{}
	kills              []context.CancelFunc
	serveResults       []chan error
	requestCount       atomic.Int64
}

func newTestCluster(t *testing.T, hosts int) *testCluster {
	t.Helper()
	installation, stopInstallation, err := standin.StartInstallation()
	if err != nil {
		t.Fatal(err)
	}
	c := &testCluster{Installation: installation}
	ctx, cancel := context.WithCancel(context.Background())
	for n := range hosts {
		settingsPath, clientAddress, readinessAddress, err := c.WriteSettings(t.TempDir(), hostName(n))
		if err != nil {
			t.Fatal(err)
		}
		c.clientAddresses, c.readinessAddresses, c.settingsPaths = append(c.clientAddresses, clientAddress), append(c.readinessAddresses, readinessAddress), append(c.settingsPaths, settingsPath)
		c.stopChannels, c.kills, c.serveResults = append(c.stopChannels, nil), append(c.kills, nil), append(c.serveResults, nil)
		c.startHost(ctx, t, n)
	}
	t.Cleanup(func() {
		cancel()
		for _, e := range c.serveResults {
			<-e
		}
		stopInstallation()
		if got := c.Fleet.Violations(); len(got) > 0 {
			t.Errorf("got violation %q, want none", got[0])
		}
	})
	c.await(t, "four groups", func() bool { return c.Fleet.CompleteGroups() >= 4 })
	return c
}

// killHosts ends the hosts from a number on at once, without a stop, and waits until they have ended.
func (c *testCluster) killHosts(from int) {
	for _, kill := range c.kills[from:] {
		kill()
	}
	for _, e := range c.serveResults[from:] {
		<-e
	}
}

// startHost starts the entry host with a number.
func (c *testCluster) startHost(ctx context.Context, t *testing.T, n int) {
	t.Helper()
	ctx, c.kills[n] = context.WithCancel(ctx)
	host, cleanUp, err := New(ctx, c.settingsPaths[n], make(chan os.Signal), logger.New(os.Stderr, logger.WithHost(fmt.Sprint(n))))
	if err != nil {
		t.Fatal(err)
	}
	stop, serveResult := make(chan struct{}), make(chan error, 1)
	go func() {
		err := host.Serve(ctx, stop)
		cleanUp()
		if err != nil && ctx.Err() == nil {
			t.Errorf("host %d ended: %v", n, err)
		}
		serveResult <- err
	}()
	c.stopChannels[n], c.serveResults[n] = stop, serveResult
}

func hostName(n int) string { return fmt.Sprintf("h%d", n) }

// awaitController waits until one of the hosts is the controller and returns its
// number.
func (c *testCluster) awaitController(t *testing.T) int {
	t.Helper()
	controller := -1
	c.await(t, "controller", func() bool {
		for n := range c.clientAddresses {
			if c.fetchStatus(t, n).IsController {
				controller = n
			}
		}
		return controller >= 0
	})
	return controller
}

func (c *testCluster) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got no %s within %s", what, awaitTimeout)
		}
	}
}

func (c *testCluster) sendRequest(t *testing.T, host int, method, path, body string) (*http.Response, string) {
	t.Helper()
	id := fmt.Sprintf("r%d", c.requestCount.Add(1))
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+c.clientAddresses[host]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = standin.HostName
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Credential", standin.APIKey)
	r.Header.Set("X-Deadline-Ms", "20000")
	r.Header.Set("X-Model", standin.LargeModel)
	r.Header.Set("X-Token-Usage", "100,120")
	response, err := c.Fleet.Requester(hostName(host)).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	return response, id
}

// awaitResponse sends a request repeatedly until the response is not 503.
func (c *testCluster) awaitResponse(t *testing.T, host int, method, path, body string) (*http.Response, string) {
	t.Helper()
	var response *http.Response
	var id string
	c.await(t, "response with a status other than 503", func() bool {
		response, id = c.sendRequest(t, host, method, path, body)
		if response.StatusCode == http.StatusServiceUnavailable {
			response.Body.Close()
			return false
		}
		return true
	})
	return response, id
}

// readEvents reads a stream of events, calls a function after each, and returns their
// number. It fails the test if an event is missing, repeated or out of order.
func readEvents(t *testing.T, body io.Reader, onEvent func(n int)) int {
	t.Helper()
	n := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		id, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		n++
		if got, want := id, fmt.Sprint(n); got != want {
			t.Fatalf("got event %s, want %s", got, want)
		}
		onEvent(n)
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("got error %v after event %d, want a complete stream", err, n)
	}
	return n
}

func TestRequestsEndToEnd(t *testing.T) {
	c := newTestCluster(t, 2)
	t.Run("stream", func(t *testing.T) {
		response, _ := c.awaitResponse(t, 1, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
		defer response.Body.Close()
		if got, want := readEvents(t, response.Body, func(int) {}), 20; got != want {
			t.Errorf("got %d events, want %d", got, want)
		}
		if response.Header.Get("X-Response-Seal") == "" {
			t.Error("got no signature, want that of the server")
		}
	})
	t.Run("booking", func(t *testing.T) {
		response, id := c.awaitResponse(t, 0, http.MethodPost, standin.BookPathPrefix+"x", "two hours")
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil || !strings.HasSuffix(string(body), "two hours") {
			t.Errorf("got %q and %v, want the server's response", body, err)
		}
		runs := 0
		for _, s := range []string{"p0", "p1"} {
			runs += c.Fleet.Server(s).RunCount(id)
		}
		if got, want := runs, 1; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
	t.Run("unknown route", func(t *testing.T) {
		response, _ := c.sendRequest(t, 0, http.MethodGet, "/none/", "")
		response.Body.Close()
		if got, want := response.StatusCode, http.StatusNotFound; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
	t.Run("large body", func(t *testing.T) {
		response, _ := c.sendRequest(t, 0, http.MethodPost, standin.BookPathPrefix+"x", strings.Repeat("x", 1<<20+1))
		response.Body.Close()
		if got, want := response.StatusCode, http.StatusRequestEntityTooLarge; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
}

// A group member is lost in the middle of a stream. The stream must resume at another
// group, and a spare server must replace the member.
func TestLostMember(t *testing.T) {
	c := newTestCluster(t, 2)
	response, id := c.awaitResponse(t, 0, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
	defer response.Body.Close()
	got := readEvents(t, response.Body, func(n int) {
		if n != 5 {
			return
		}
		for _, s := range c.Fleet.OpenLeaders() {
			if members := s.Members(); s.RunCount(id) > 0 {
				c.Fleet.Server(members[1]).SimulateLoss()
			}
		}
	})
	if want := 20; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
	c.await(t, "repaired group", func() bool { return c.Fleet.CompleteGroups() >= 4 })
}

func TestStatus(t *testing.T) {
	c := newTestCluster(t, 2)
	controllers := 0
	for n := range 2 {
		var got statusResponse
		c.await(t, "status with four open groups", func() bool {
			got = c.fetchStatus(t, n)
			open := 0
			for _, g := range got.Groups {
				if g.Open {
					open++
				}
			}
			return open == 4
		})
		if got.ConfigurationVersion != 1 || len(got.Hosts) != 1 || !got.Hosts[0].IsLive {
			t.Errorf("host %d: got configuration %d and hosts %v, want 1 and one live host", n, got.ConfigurationVersion, got.Hosts)
		}
		if got.IsController {
			controllers++
		}
	}
	page := c.fetchMetrics(t, 0)
	for _, want := range []string{"fuchsiapitch_list_age_seconds", "fuchsiapitch_places{", "fuchsiapitch_places_taken{"} {
		if !strings.Contains(page, want) {
			t.Errorf("got metrics without %s", want)
		}
	}
	if want := 1; controllers != want {
		t.Errorf("got %d controllers, want %d", controllers, want)
	}
}

func (c *testCluster) fetchStatus(t *testing.T, host int) statusResponse {
	t.Helper()
	var got statusResponse
	if err := json.Unmarshal([]byte(c.fetchPage(t, host, "/status")), &got); err != nil {
		t.Fatal(err)
	}
	return got
}

func (c *testCluster) fetchMetrics(t *testing.T, host int) string {
	t.Helper()
	return c.fetchPage(t, host, "/metrics")
}

// fetchPage returns the body of an operators' page of a host.
func (c *testCluster) fetchPage(t *testing.T, host int, path string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+c.readinessAddresses[host]+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// Guards against faults of backend servers and of connections to the store: a group
// leader that dies in the middle of a stream, a response lost after the request has
// run, and connections that go silent.
func TestFaults(t *testing.T) {
	c := newTestCluster(t, 2)
	t.Run("a stream resumes after its leader dies", func(t *testing.T) {
		response, id := c.awaitResponse(t, 0, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
		defer response.Body.Close()
		got := readEvents(t, response.Body, func(n int) {
			for _, s := range c.Fleet.OpenLeaders() {
				if n == 5 && s.RunCount(id) > 0 {
					s.Faults().Kill()
				}
			}
		})
		if want := 20; got != want {
			t.Errorf("got %d events, want %d", got, want)
		}
	})
	t.Run("a booking whose response is lost runs once and gets 502", func(t *testing.T) {
		servers := []string{"p0", "p1"}
		for _, p := range servers {
			c.Fleet.Server(p).Faults().LoseResponses(1)
		}
		response, id := c.sendRequest(t, 0, http.MethodPost, standin.BookPathPrefix+"x", "booking")
		defer response.Body.Close()
		if got, want := response.StatusCode, http.StatusBadGateway; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
		runs := 0
		for _, p := range servers {
			runs += c.Fleet.Server(p).RunCount(id)
			c.Fleet.Server(p).Faults().LoseResponses(0)
		}
		if want := 1; runs != want {
			t.Errorf("got %d runs, want %d", runs, want)
		}
	})
	t.Run("a configuration reaches the hosts though their connections to the store go silent", func(t *testing.T) {
		for n := range 2 {
			c.StoreEndpoint(hostName(n)).SilenceConnections()
		}
		c.Store.PublishConfiguration([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPathPrefix, "/heard/", 1)))
		c.awaitRoute(t, 1, "/heard/x")
	})
}

// Orders whose response is lost are executed late, in the middle of a repair. The
// group must still be repaired.
func TestLateOrders(t *testing.T) {
	c := newTestCluster(t, 2)
	c.Fleet.DelayOrders(6)
	leader := c.Fleet.OpenLeaders()[0]
	c.Fleet.Server(leader.Members()[1]).SimulateLoss()
	c.await(t, "repaired group", func() bool { return c.Fleet.CompleteGroups() >= 4 })
}

// The store is unreachable for a while and then has lost the records of two topics.
// Requests must be served throughout, and a new configuration must arrive afterwards.
func TestStoreOutageAndLostRecords(t *testing.T) {
	c := newTestCluster(t, 2)
	c.Store.SetOutage(true)
	response, _ := c.awaitResponse(t, 0, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
	defer response.Body.Close()
	if got, want := readEvents(t, response.Body, func(int) {}), 20; got != want {
		t.Errorf("got %d events while the store is down, want %d", got, want)
	}
	c.Store.SetOutage(false)
	c.Store.DropHistory("keyed.servers")
	c.Store.DropHistory("keyed.op")
	c.Store.PublishConfiguration([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPathPrefix, "/seen/", 1)))
	c.awaitRoute(t, 1, "/seen/x")
}

// The store takes 400 ms for each response. Requests must be served, a group must be
// repaired, and a new configuration must arrive.
func TestSlowStore(t *testing.T) {
	c := newTestCluster(t, 2)
	c.Store.SetDelay(400 * time.Millisecond)
	c.Fleet.Server(c.Fleet.OpenLeaders()[0].Members()[1]).SimulateLoss()
	c.assertStream(t, 0)
	c.await(t, "repaired group", func() bool { return c.Fleet.CompleteGroups() >= 4 })
	c.Store.PublishConfiguration([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPathPrefix, "/slow/", 1)))
	c.awaitRoute(t, 1, "/slow/x")
}

// The store is unreachable for the controller only. The controller must continue to
// serve requests and repair a group. The other host must get a new configuration
// meanwhile, the controller once it can reach the store again.
func TestStoreAwayForLeader(t *testing.T) {
	c := newTestCluster(t, 2)
	controller := c.awaitController(t)
	c.StoreEndpoint(hostName(controller)).Pause()
	c.Fleet.Server(c.Fleet.OpenLeaders()[0].Members()[1]).SimulateLoss()
	c.assertStream(t, controller)
	c.await(t, "repaired group", func() bool { return c.Fleet.CompleteGroups() >= 4 })
	c.Store.PublishConfiguration([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPathPrefix, "/away/", 1)))
	c.awaitRoute(t, 1-controller, "/away/x")
	c.StoreEndpoint(hostName(controller)).Resume()
	c.awaitRoute(t, controller, "/away/x")
}

// A host starts while the store is unreachable for it. It must get the configuration
// and the server list from another host.
func TestHostStartsWithoutStore(t *testing.T) {
	c := newTestCluster(t, 2)
	c.assertStream(t, 0)
	close(c.stopChannels[1])
	if err := <-c.serveResults[1]; err != nil {
		t.Fatalf("got error %v, want a clean shutdown", err)
	}
	c.StoreEndpoint(hostName(1)).Pause()
	ctx, cancel := context.WithCancel(context.Background())
	c.startHost(ctx, t, 1)
	t.Cleanup(cancel)
	c.awaitReady(t, 1)
	c.assertStream(t, 1)
}

// awaitReady waits until a host says that it is ready.
func (c *testCluster) awaitReady(t *testing.T, host int) {
	t.Helper()
	c.await(t, "readiness", func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+c.readinessAddresses[host]+"/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func FuzzDecodeState(f *testing.F) {
	f.Add([]byte(`{"configuration":"e30=","servers":{"a":"e30="}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeState("host", data)
		if err != nil && s.Servers != nil {
			t.Errorf("got servers %v with an error, want none", s.Servers)
		}
	})
}

// assertStream checks that a host delivers a complete stream.
func (c *testCluster) assertStream(t *testing.T, host int) {
	t.Helper()
	response, _ := c.awaitResponse(t, host, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
	defer response.Body.Close()
	if got, want := readEvents(t, response.Body, func(int) {}), 20; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
}

// awaitRoute waits until a host responds to a path with 200.
func (c *testCluster) awaitRoute(t *testing.T, host int, path string) {
	t.Helper()
	c.await(t, "new configuration", func() bool {
		response, _ := c.sendRequest(t, host, http.MethodGet, path, "")
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func TestGracefulStop(t *testing.T) {
	c := newTestCluster(t, 2)
	response, _ := c.awaitResponse(t, 0, http.MethodPost, standin.StreamPathPrefix+"x", "prompt")
	defer response.Body.Close()
	if got, want := readEvents(t, response.Body, func(n int) {
		if n == 3 {
			close(c.stopChannels[0])
		}
	}), 20; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
	if err := <-c.serveResults[0]; err != nil {
		t.Errorf("got error %v, want a clean shutdown", err)
	}
	// The cleanup of the cluster receives the result of each host again.
	c.serveResults[0] <- nil
}
