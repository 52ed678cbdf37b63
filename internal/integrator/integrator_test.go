package integrator

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

// patience bounds a wait of a test; it only ends a test that hangs.
const patience = time.Minute

// bed is an installation with entry hosts.
type bed struct {
	*standin.Installation
	callers []string
	ready   []string
	paths   []string
	stops   []chan struct{}
	ends    []chan error
	number  atomic.Int64
}

func newBed(t *testing.T, hosts int) *bed {
	t.Helper()
	installation, stop, err := standin.NewInstallation()
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{Installation: installation}
	ctx, cancel := context.WithCancel(context.Background())
	for n := range hosts {
		path, callers, ready, err := b.WriteSettings(t.TempDir(), hostName(n))
		if err != nil {
			t.Fatal(err)
		}
		b.callers, b.ready, b.paths = append(b.callers, callers), append(b.ready, ready), append(b.paths, path)
		b.stops, b.ends = append(b.stops, nil), append(b.ends, nil)
		b.start(ctx, t, n)
	}
	t.Cleanup(func() {
		cancel()
		for _, e := range b.ends {
			<-e
		}
		stop()
		if got := b.Fleet.Broken(); len(got) > 0 {
			t.Errorf("got %q, want no broken rule", got[0])
		}
	})
	b.await(t, "four groups", func() bool { return b.Fleet.Whole() >= 4 })
	return b
}

// start starts a host with its settings.
func (b *bed) start(ctx context.Context, t *testing.T, n int) {
	t.Helper()
	host, cleanUp, err := New(ctx, b.paths[n], make(chan os.Signal), logger.New(os.Stderr, logger.WithHost(fmt.Sprint(n))))
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		err := host.Serve(ctx, stop)
		cleanUp()
		if err != nil && ctx.Err() == nil {
			t.Errorf("host %d ended: %v", n, err)
		}
		ended <- err
	}()
	b.stops[n], b.ends[n] = stop, ended
}

func hostName(n int) string { return fmt.Sprintf("h%d", n) }

// leader returns the number of the host that leads the groups.
func (b *bed) leader(t *testing.T) int {
	t.Helper()
	leader := -1
	b.await(t, "leader", func() bool {
		for n := range b.callers {
			if b.status(t, n).Leads {
				leader = n
			}
		}
		return leader >= 0
	})
	return leader
}

func (b *bed) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no %s within %s", what, patience)
		}
	}
}

func (b *bed) request(t *testing.T, host int, method, path, body string) (*http.Response, string) {
	t.Helper()
	id := fmt.Sprintf("r%d", b.number.Add(1))
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+b.callers[host]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = standin.HostName
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Credential", standin.Key)
	r.Header.Set("X-Deadline-Ms", "20000")
	r.Header.Set("X-Model", standin.LargeModel)
	r.Header.Set("X-Token-Usage", "100,120")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	return response, id
}

// awaitAnswer sends a request until it is not refused.
func (b *bed) awaitAnswer(t *testing.T, host int, method, path, body string) (*http.Response, string) {
	t.Helper()
	var response *http.Response
	var id string
	b.await(t, "answer", func() bool {
		response, id = b.request(t, host, method, path, body)
		if response.StatusCode == http.StatusServiceUnavailable {
			response.Body.Close()
			return false
		}
		return true
	})
	return response, id
}

// readEvents returns the identifiers of the events of a stream.
func readEvents(t *testing.T, body io.Reader, each func(n int)) int {
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
		each(n)
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("got %v after event %d, want a whole stream", err, n)
	}
	return n
}

func TestWholePath(t *testing.T) {
	b := newBed(t, 2)
	t.Run("stream", func(t *testing.T) {
		response, _ := b.awaitAnswer(t, 1, http.MethodPost, standin.StreamPath+"x", "prompt")
		defer response.Body.Close()
		if got, want := readEvents(t, response.Body, func(int) {}), 20; got != want {
			t.Errorf("got %d events, want %d", got, want)
		}
		if response.Header.Get("X-Response-Seal") == "" {
			t.Error("got no signature, want that of the server")
		}
	})
	t.Run("booking", func(t *testing.T) {
		response, id := b.awaitAnswer(t, 0, http.MethodPost, standin.BookPath+"x", "two hours")
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil || !strings.HasSuffix(string(body), "two hours") {
			t.Errorf("got %q and %v, want the server's answer", body, err)
		}
		runs := 0
		for _, s := range []string{"p0", "p1"} {
			runs += b.Fleet.Server(s).Runs(id)
		}
		if got, want := runs, 1; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
	t.Run("unknown route", func(t *testing.T) {
		response, _ := b.request(t, 0, http.MethodGet, "/none/", "")
		response.Body.Close()
		if got, want := response.StatusCode, http.StatusNotFound; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
	t.Run("large body", func(t *testing.T) {
		response, _ := b.request(t, 0, http.MethodPost, standin.BookPath+"x", strings.Repeat("x", 1<<20+1))
		response.Body.Close()
		if got, want := response.StatusCode, http.StatusRequestEntityTooLarge; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
	})
}

// A member is lost in the middle of a stream: it goes on at another group, and a
// spare takes the member's place.
func TestLostMember(t *testing.T) {
	b := newBed(t, 2)
	response, id := b.awaitAnswer(t, 0, http.MethodPost, standin.StreamPath+"x", "prompt")
	defer response.Body.Close()
	got := readEvents(t, response.Body, func(n int) {
		if n != 5 {
			return
		}
		for _, s := range b.Fleet.Leaders() {
			if members := s.Members(); s.Runs(id) > 0 {
				b.Fleet.Server(members[1]).Lose()
			}
		}
	})
	if want := 20; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
	b.await(t, "repaired group", func() bool { return b.Fleet.Whole() >= 4 })
}

func TestStatus(t *testing.T) {
	b := newBed(t, 2)
	leaders := 0
	for n := range 2 {
		var got statusAnswer
		b.await(t, "status with four open groups", func() bool {
			got = b.status(t, n)
			open := 0
			for _, g := range got.Groups {
				if g.Open {
					open++
				}
			}
			return open == 4
		})
		if got.Configuration != 1 || len(got.Hosts) != 1 || !got.Hosts[0].Live {
			t.Errorf("host %d: got configuration %d and hosts %v, want 1 and one that lives", n, got.Configuration, got.Hosts)
		}
		if got.Leads {
			leaders++
		}
	}
	page := b.metrics(t, 0)
	for _, want := range []string{"fuchsiapitch_list_age_seconds", "fuchsiapitch_places{", "fuchsiapitch_places_taken{"} {
		if !strings.Contains(page, want) {
			t.Errorf("got metrics without %s", want)
		}
	}
	if want := 1; leaders != want {
		t.Errorf("got %d leaders, want %d", leaders, want)
	}
}

func (b *bed) status(t *testing.T, host int) statusAnswer {
	t.Helper()
	var got statusAnswer
	if err := json.Unmarshal([]byte(b.read(t, host, "/status")), &got); err != nil {
		t.Fatal(err)
	}
	return got
}

func (b *bed) metrics(t *testing.T, host int) string {
	t.Helper()
	return b.read(t, host, "/metrics")
}

// read returns a page for operators.
func (b *bed) read(t *testing.T, host int, path string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+b.ready[host]+path, http.NoBody)
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

// Servers and the store misbehave as the stand-ins of the own interface do.
func TestFaults(t *testing.T) {
	b := newBed(t, 2)
	t.Run("a stream goes on after its leader ends", func(t *testing.T) {
		response, id := b.awaitAnswer(t, 0, http.MethodPost, standin.StreamPath+"x", "prompt")
		defer response.Body.Close()
		got := readEvents(t, response.Body, func(n int) {
			for _, s := range b.Fleet.Leaders() {
				if n == 5 && s.Runs(id) > 0 {
					s.Faults().Die()
				}
			}
		})
		if want := 20; got != want {
			t.Errorf("got %d events, want %d", got, want)
		}
	})
	t.Run("a booking whose answer is lost is unknown and runs once", func(t *testing.T) {
		servers := []string{"p0", "p1"}
		for _, p := range servers {
			b.Fleet.Server(p).Faults().LoseAnswers(1)
		}
		response, id := b.request(t, 0, http.MethodPost, standin.BookPath+"x", "booking")
		defer response.Body.Close()
		if got, want := response.StatusCode, http.StatusBadGateway; got != want {
			t.Errorf("got status %d, want %d", got, want)
		}
		runs := 0
		for _, p := range servers {
			runs += b.Fleet.Server(p).Runs(id)
			b.Fleet.Server(p).Faults().LoseAnswers(0)
		}
		if want := 1; runs != want {
			t.Errorf("got %d runs, want %d", runs, want)
		}
	})
	t.Run("a configuration reaches the hosts though their connections to the store fall silent", func(t *testing.T) {
		for n := range 2 {
			b.Endpoint(hostName(n)).Silence()
		}
		b.Store.Publish([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPath, "/heard/", 1)))
		b.awaitRoute(t, 1, "/heard/x")
	})
}

// Orders without an answer are carried out late, in the middle of a repair.
func TestLateOrders(t *testing.T) {
	b := newBed(t, 2)
	b.Fleet.DelayOrders(6)
	leader := b.Fleet.Leaders()[0]
	b.Fleet.Server(leader.Members()[1]).Lose()
	b.await(t, "repaired group", func() bool { return b.Fleet.Whole() >= 4 })
}

func TestStoreTrouble(t *testing.T) {
	b := newBed(t, 2)
	b.Store.SetOut(true)
	response, _ := b.awaitAnswer(t, 0, http.MethodPost, standin.StreamPath+"x", "prompt")
	defer response.Body.Close()
	if got, want := readEvents(t, response.Body, func(int) {}), 20; got != want {
		t.Errorf("got %d events while the store is down, want %d", got, want)
	}
	b.Store.SetOut(false)
	b.Store.Forget("keyed.servers")
	b.Store.Forget("keyed.op")
	b.Store.Publish([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPath, "/seen/", 1)))
	b.awaitRoute(t, 1, "/seen/x")
}

// The store answers slowly: requests are served, a group is repaired, and a new
// configuration arrives.
func TestSlowStore(t *testing.T) {
	b := newBed(t, 2)
	b.Store.SetDelay(400 * time.Millisecond)
	b.Fleet.Server(b.Fleet.Leaders()[0].Members()[1]).Lose()
	b.assertStream(t, 0)
	b.await(t, "repaired group", func() bool { return b.Fleet.Whole() >= 4 })
	b.Store.Publish([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPath, "/slow/", 1)))
	b.awaitRoute(t, 1, "/slow/x")
}

// The store is away for the host that leads alone: the host goes on serving, a
// group is repaired, and afterwards the host takes a new configuration.
func TestStoreAwayForLeader(t *testing.T) {
	b := newBed(t, 2)
	leader := b.leader(t)
	b.Endpoint(hostName(leader)).Pause()
	b.Fleet.Server(b.Fleet.Leaders()[0].Members()[1]).Lose()
	b.assertStream(t, leader)
	b.await(t, "repaired group", func() bool { return b.Fleet.Whole() >= 4 })
	b.Store.Publish([]byte(strings.Replace(string(standin.Configuration(2)), standin.LookPath, "/away/", 1)))
	b.awaitRoute(t, 1-leader, "/away/x")
	b.Endpoint(hostName(leader)).Resume()
	b.awaitRoute(t, leader, "/away/x")
}

// A host that starts while the store is away for it takes the configuration and the
// servers from another host.
func TestHostStartsWithoutStore(t *testing.T) {
	b := newBed(t, 2)
	b.assertStream(t, 0)
	close(b.stops[1])
	if err := <-b.ends[1]; err != nil {
		t.Fatalf("got %v, want a clean end", err)
	}
	b.Endpoint(hostName(1)).Pause()
	ctx, cancel := context.WithCancel(context.Background())
	b.start(ctx, t, 1)
	t.Cleanup(cancel)
	b.await(t, "readiness", func() bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+b.ready[1]+"/", http.NoBody)
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
	b.assertStream(t, 1)
}

func FuzzDecodeState(f *testing.F) {
	f.Add([]byte(`{"configuration":"e30=","servers":{"a":"e30="}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeState("host", data)
		if err != nil && s.Servers != nil {
			t.Errorf("got servers %v beside an error, want none", s.Servers)
		}
	})
}

// assertStream expects a whole stream through a host.
func (b *bed) assertStream(t *testing.T, host int) {
	t.Helper()
	response, _ := b.awaitAnswer(t, host, http.MethodPost, standin.StreamPath+"x", "prompt")
	defer response.Body.Close()
	if got, want := readEvents(t, response.Body, func(int) {}), 20; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
}

// awaitRoute waits until a host answers a path.
func (b *bed) awaitRoute(t *testing.T, host int, path string) {
	t.Helper()
	b.await(t, "new configuration", func() bool {
		response, _ := b.request(t, host, http.MethodGet, path, "")
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func TestGracefulStop(t *testing.T) {
	b := newBed(t, 2)
	response, _ := b.awaitAnswer(t, 0, http.MethodPost, standin.StreamPath+"x", "prompt")
	defer response.Body.Close()
	if got, want := readEvents(t, response.Body, func(n int) {
		if n == 3 {
			close(b.stops[0])
		}
	}), 20; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}
	if err := <-b.ends[0]; err != nil {
		t.Errorf("got %v, want a clean end", err)
	}
	b.ends[0] <- nil
}
