package assembler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/loader"
	"github.com/fuchsiapitch/fuchsiapitch/internal/publisher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/recorder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin"
	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/interceptor"
)

const (
	// configurationBound is the time within which an accepted configuration is in force everywhere
	// (CONTRIBUTING.md).
	configurationBound = 4 * time.Second
	// lateHostLimit bounds the wait for a host that lags.
	lateHostLimit   = 25 * time.Second
	publishReadWait = 100 * time.Millisecond

	testDataCentre fuchsiapitch.DataCentreName = "dc-a"
	testService    fuchsiapitch.ServiceName    = "taller-app"
	testDocuments                              = "kind: rank\nname: chat\norder: 0\nfirst-token: 480ms\ninter-token: 44ms\n---\n" +
		"kind: application-service\nname: taller-app\nrank: chat\nconcurrency: 16\nroutes:\n  - {method: GET, prefix: /lookups, idempotent: true}\n"
)

// logCluster is six hosts with an interceptor between each of them and the log.
type logCluster struct {
	fleet         *standin.Fleet
	hosts         []*logHost
	customerCount int
}

// logHost is one host of a logCluster.
type logHost struct {
	name, peerAddress string
	listeners         Listeners
	entryHost         *EntryHost
	log               *interceptor.Interceptor
}

// startLogCluster starts the hosts and waits until all are ready.
func startLogCluster(t *testing.T) *logCluster {
	t.Helper()
	const hosts = 6
	fleet, stop, err := standin.Start(standin.WithDataCentres(testDataCentre), standin.WithApplications(testService, 1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c := &logCluster{fleet: fleet}
	c.publish(t, testDocuments)
	var candidates []fuchsiapitch.Host
	for n := range hosts {
		h := &logHost{name: fmt.Sprintf("host-%d", n), listeners: Listeners{Clients: listen(t), Peers: listen(t), Operators: listen(t)}}
		h.peerAddress = h.listeners.Peers.Addr().String()
		c.hosts = append(c.hosts, h)
		candidates = append(candidates, fuchsiapitch.NewHost(fuchsiapitch.HostID(h.name), h.peerAddress, testDataCentre, 0))
	}
	for _, h := range c.hosts {
		c.startHost(t, h, candidates)
	}
	key := c.publishCustomer(t)
	for _, h := range c.hosts {
		for h.look(t, key) != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return c
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (c *logCluster) startHost(t *testing.T, h *logHost, candidates []fuchsiapitch.Host) {
	t.Helper()
	log, stopLog, err := interceptor.Start(context.Background(), c.fleet.LogAddress(testDataCentre))
	if err != nil {
		t.Fatal(err)
	}
	h.log = log
	dependencies, closeDependencies := Connect(Addresses{Log: log.Address(), HostList: c.fleet.HostListAddress(), WeightStore: c.fleet.WeightStoreAddress()})
	self := fuchsiapitch.NewHost(fuchsiapitch.HostID(h.name), h.peerAddress, testDataCentre, 1)
	entryHost, closeEntryHost := New(self, h.listeners, dependencies, WithCandidates(candidates...),
		WithViolationHandler(func(e *fuchsiapitch.InvariantError) { t.Errorf("host %s: got violation %v, want none", h.name, e) }))
	h.entryHost = entryHost
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- entryHost.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("host %s: got error %v, want none", h.name, err)
		}
		closeEntryHost()
		closeDependencies()
		stopLog()
	})
}

// publish publishes documents past the interceptors.
func (c *logCluster) publish(t *testing.T, text string) {
	t.Helper()
	documents, err := loader.DecodeDocuments("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	log, closeLog := recorder.New(c.fleet.LogAddress(testDataCentre), recorder.WithReadWait(publishReadWait))
	defer closeLog()
	result, err := publisher.New(log, "test").Publish(t.Context(), documents)
	if err != nil || result.Status != publisher.Accepted {
		t.Fatalf("got status %v and error %v, want an accepted publication", result.Status, err)
	}
}

// publishCustomer publishes a further customer and returns its key.
func (c *logCluster) publishCustomer(t *testing.T) string {
	t.Helper()
	c.customerCount++
	key := fmt.Sprintf("sk-%d", c.customerCount)
	hash := sha256.Sum256([]byte(key))
	c.publish(t, fmt.Sprintf("kind: customer\nname: added-%d\nkey-hashes:\n  - %s\nranks: [chat]\n", c.customerCount, hex.EncodeToString(hash[:])))
	return key
}

// assertCustomerServed checks that from the bound after now on no host refuses the key of a customer.
func (c *logCluster) assertCustomerServed(t *testing.T, key string) {
	t.Helper()
	acceptedAt := time.Now()
	lastRefusals := make([]time.Duration, len(c.hosts))
	var probing sync.WaitGroup
	for n, h := range c.hosts {
		probing.Go(func() {
			for time.Since(acceptedAt) < lateHostLimit {
				sentAt := time.Since(acceptedAt)
				if h.look(t, key) != http.StatusUnauthorized {
					return
				}
				lastRefusals[n] = sentAt
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	probing.Wait()
	t.Logf("last refusals: %v, bound %s", lastRefusals, configurationBound)
	for n, got := range lastRefusals {
		if got > configurationBound {
			t.Errorf("host %s refused an added customer %s after it was accepted, bound %s", c.hosts[n].name, got.Round(time.Millisecond), configurationBound)
		}
	}
}

// look sends an idempotent request of a customer and returns the status of the response.
func (h *logHost) look(t *testing.T, key string) int {
	t.Helper()
	return h.send(t, http.MethodGet, "/lookups/x", http.Header{"Authorization": {"Bearer " + key}})
}

// book sends a request with an idempotency key and returns the status of the response.
func (h *logHost) book(t *testing.T, key, idempotencyKey string) int {
	t.Helper()
	return h.send(t, http.MethodPost, "/bookings", http.Header{
		"Authorization": {"Bearer " + key}, "Content-Type": {"application/json"}, "Idempotency-Key": {idempotencyKey},
	})
}

// send sends a request and returns the status of the response, 0 for none.
func (h *logHost) send(t *testing.T, method, path string, header http.Header) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, h.entryHost.ClientURL()+"/services/"+string(testService)+path, strings.NewReader(`{"reference":"furnace"}`))
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Close, request.Header = true, header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// isLogRead reports whether a request is a read of the log, which waits for records.
func isLogRead(r *http.Request) bool {
	return r != nil && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/streams/")
}

// silenceReads silences the connections with a read of the log in flight at all hosts.
func (c *logCluster) silenceReads() {
	for _, h := range c.hosts {
		h.log.Silence(isLogRead)
	}
}

// silenceReadsRepeatedly silences the reads of the log once a second, so that no read ends that
// finds no record.
func (c *logCluster) silenceReadsRepeatedly() {
	for range 12 {
		c.silenceReads()
		time.Sleep(time.Second)
	}
	c.silenceReads()
}

// refuse makes the log refuse hosts.
func refuse(hosts []*logHost, refusal interceptor.Refusal) {
	for _, h := range hosts {
		h.log.Refuse(refusal)
	}
}

// Guards against customers that are refused seconds after they were accepted, because the
// connections with a read of the log in flight, and only these, deliver nothing any more.
func TestAddedCustomerIsServedAfterSilenceOfReads(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprintf("accepted %s later", delay), func(t *testing.T) {
			t.Parallel()
			c := startLogCluster(t)
			time.Sleep(2 * time.Second)
			c.silenceReads()
			time.Sleep(delay)
			c.assertCustomerServed(t, c.publishCustomer(t))
		})
	}
}

// Guards against customers that are refused seconds after they were accepted, because reads of the
// log wait the longer on a silent connection the more reads were silent before.
func TestAddedCustomerIsServedAfterSilenceOfLog(t *testing.T) {
	t.Parallel()
	c := startLogCluster(t)
	time.Sleep(2 * time.Second)
	refuse(c.hosts, interceptor.Unanswered)
	time.Sleep(9 * time.Second)
	refuse(c.hosts, interceptor.NoRefusal)
	c.assertCustomerServed(t, c.publishCustomer(t))
}

// Guards against requests with an idempotency key that are refused, because the claim is read back
// over a silent connection.
func TestClaimIsReadBackAfterSilencesOfReads(t *testing.T) {
	t.Parallel()
	c := startLogCluster(t)
	key := c.publishCustomer(t)
	time.Sleep(2 * time.Second)
	c.silenceReadsRepeatedly()
	// The claims are divided among several streams.
	const keysPerHost = 8
	var probing sync.WaitGroup
	for _, h := range c.hosts {
		for n := range keysPerHost {
			probing.Go(func() {
				sentAt := time.Now()
				if got := h.book(t, key, fmt.Sprintf("%s-%d", h.name, n)); got != http.StatusOK && got != http.StatusCreated {
					t.Errorf("host %s: got status %d after %s, want a booking", h.name, got, time.Since(sentAt).Round(time.Millisecond))
				}
			})
		}
	}
	probing.Wait()
}

// Guards against customers that are refused by hosts that the log refuses, although the other
// hosts have the configuration.
func TestAddedCustomerIsServedByHostsThatLogRefuses(t *testing.T) {
	for name, refusal := range map[string]interceptor.Refusal{
		"503": interceptor.Unavailable, "429": interceptor.TooManyRequests, "reset": interceptor.Reset, "unanswered": interceptor.Unanswered,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const refused, refusalTime = 2, 9 * time.Second
			c := startLogCluster(t)
			// A host that has just started sends more heartbeats.
			time.Sleep(7 * time.Second)
			refuse(c.hosts[:refused], refusal)
			timer := time.AfterFunc(refusalTime, func() { refuse(c.hosts[:refused], interceptor.NoRefusal) })
			defer timer.Stop()
			time.Sleep(100 * time.Millisecond)
			c.assertCustomerServed(t, c.publishCustomer(t))
		})
	}
}
