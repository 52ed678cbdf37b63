package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/interceptor"
	standinplatform "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// configurationBound is the time after the acknowledgement of a version from which a host must
	// not handle a request as only an earlier one allows (config_ms of the pages). A host counts as
	// in touch stableWindow after the connections to the store fell silent (stable_window_ms).
	configurationBound = 2 * time.Second
	stableWindow       = 3 * time.Second
	// refusedHostBound is the same bound for a host that the store refuses, while it serves others
	// (config_ms and max_skew_ms).
	refusedHostBound = configurationBound + 5*time.Second
	// addedPrefix is the path of a route that a later version adds.
	addedPrefix = "/added/"
	// lateHostLimit bounds the wait for a host that lags.
	lateHostLimit = 25 * time.Second
)

// storeCluster is six hosts of the users' platform, each a process of its own, with an interceptor
// between each of them and the store.
type storeCluster struct {
	installation *standinplatform.Installation
	hosts        []*storeHost
	version      int
}

// storeHost is one host of a storeCluster.
type storeHost struct {
	name, clientAddress, readinessAddress string
	store                                 *interceptor.Interceptor
	process                               *exec.Cmd
}

// startStoreCluster starts the hosts and waits until all are ready.
func startStoreCluster(t *testing.T) *storeCluster {
	t.Helper()
	const hosts = 6
	installation, stop, err := standinplatform.StartInstallation()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c := &storeCluster{installation: installation, version: 1}
	for n := range hosts {
		c.hosts = append(c.hosts, startStoreHost(t, installation, fmt.Sprintf("h%d", n)))
	}
	for _, h := range c.hosts {
		awaitCondition(t, "host "+h.name+" to be ready", func() bool { return get(t, h.readinessAddress, "/ready", "") == http.StatusOK })
	}
	return c
}

func startStoreHost(t *testing.T, installation *standinplatform.Installation, name string) *storeHost {
	t.Helper()
	path, clientAddress, readinessAddress, err := installation.WriteSettings(t.TempDir(), name)
	if err != nil {
		t.Fatal(err)
	}
	store, stop, err := interceptor.Start(t.Context(), installation.StoreEndpoint(name).Address())
	if err != nil {
		t.Fatal(err)
	}
	writeSetting(t, path, "provider", map[string]any{"address": store.Address(), "reads_per_s": 2000, "writes_per_s": 400})
	process := newTestProcess(t, "serve")
	process.Env = append(process.Env, platform.SettingsVariable+"="+path)
	output, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Process.Signal(syscall.SIGKILL)
		process.Wait()
		stop()
		output.Close()
		if t.Failed() {
			logStoreLines(t, name, output.Name())
		}
	})
	return &storeHost{name: name, clientAddress: clientAddress, readinessAddress: readinessAddress, store: store, process: process}
}

// logStoreLines logs the lines of a host about the store and the configuration.
func logStoreLines(t *testing.T, name, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Error(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "store") || strings.Contains(line, "configuration") {
			t.Logf("%s: %s", name, line)
		}
	}
}

// publishRoute publishes a version that adds a route, and returns the path of a request for it.
func (c *storeCluster) publishRoute(t *testing.T) string {
	t.Helper()
	c.version++
	path := fmt.Sprintf("%s%d/", addedPrefix, c.version)
	var document map[string]any
	if err := json.Unmarshal(standinplatform.Configuration(c.version), &document); err != nil {
		t.Fatal(err)
	}
	document["routes"] = append(document["routes"].([]any), map[string]any{
		"name": fmt.Sprintf("added-%d", c.version), "host": standinplatform.HostName, "path_prefix": path, "kind": "idempotent", "timeout_ms": 800,
		"max_attempts": 1, "priority": 2, "service": standinplatform.PlainService,
	})
	data, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	c.installation.Store.PublishConfiguration(data)
	return path
}

// awaitRoute returns for each host how long after a time its last request was refused as only an
// earlier version allows, 0 if none was.
func (c *storeCluster) awaitRoute(t *testing.T, path string, since time.Time) []time.Duration {
	t.Helper()
	lastRefusals := make([]time.Duration, len(c.hosts))
	var probing sync.WaitGroup
	for n, h := range c.hosts {
		probing.Go(func() {
			for time.Since(since) < lateHostLimit {
				sentAt := time.Since(since)
				if get(t, h.clientAddress, path+"x", standinplatform.HostName) != http.StatusNotFound {
					return
				}
				lastRefusals[n] = sentAt
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	probing.Wait()
	return lastRefusals
}

// assertRouteServed checks that no host refused a request for an added route later than a bound.
func (c *storeCluster) assertRouteServed(t *testing.T, lastRefusals []time.Duration, bound time.Duration) {
	t.Helper()
	t.Logf("last refusals: %v, bound %s", lastRefusals, bound)
	for n, got := range lastRefusals {
		if got > bound {
			t.Errorf("host %s refused an added route %s after the version was acknowledged, bound %s", c.hosts[n].name, got.Round(time.Millisecond), bound)
		}
	}
}

// get sends a request and returns the status of the response, 0 for none.
func get(t *testing.T, address, path, host string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Host = host
	request.Close = true
	request.Header.Set("X-Request-Id", fmt.Sprintf("probe-%d", time.Now().UnixNano()))
	request.Header.Set("X-Credential", standinplatform.APIKey)
	request.Header.Set("X-Deadline-Ms", "1500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// isLongPoll reports whether a request waits for records of a topic.
func isLongPoll(topic string) func(*http.Request) bool {
	return func(r *http.Request) bool {
		return r != nil && r.URL.Query().Get("topic") == topic && r.URL.Query().Get("wait_ms") != ""
	}
}

// Guards against added routes that are refused seconds after their version was acknowledged, because
// the connections with a long poll in flight, and only these, deliver nothing any more.
func TestAddedRouteIsServedAfterSilenceOfLongPolls(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprintf("accepted %s later", delay), func(t *testing.T) {
			t.Parallel()
			c := startStoreCluster(t)
			// The polls of hosts that start together are in step. They have to be out of it.
			time.Sleep(2 * time.Second)
			silentAt := time.Now()
			for _, h := range c.hosts {
				awaitCondition(t, "a long poll in flight", func() bool { return h.store.Silence(isLongPoll(platform.OperatorTopic)) > 0 })
			}
			time.Sleep(delay)
			path := c.publishRoute(t)
			acknowledgedAt := time.Now()
			c.assertRouteServed(t, c.awaitRoute(t, path, acknowledgedAt), max(configurationBound, stableWindow-acknowledgedAt.Sub(silentAt)))
		})
	}
}

// Guards against added routes that are refused for seconds where something on the way drops all
// connections that idle in a long poll, again and again. The bound is that of a single silence.
func TestAddedRouteIsServedWhereIdleConnectionsAreDropped(t *testing.T) {
	const versions, dropInterval = 5, 700 * time.Millisecond
	c := startStoreCluster(t)
	ctx, cancel := context.WithCancel(t.Context())
	dropped := make(chan struct{})
	go func() {
		defer close(dropped)
		for ctx.Err() == nil {
			for _, h := range c.hosts {
				h.store.Silence(isLongPoll(platform.OperatorTopic))
			}
			select {
			case <-time.After(dropInterval):
			case <-ctx.Done():
			}
		}
	}()
	defer func() {
		cancel()
		<-dropped
	}()
	for range versions {
		time.Sleep(2 * dropInterval)
		path := c.publishRoute(t)
		c.assertRouteServed(t, c.awaitRoute(t, path, time.Now()), stableWindow)
	}
}

// Guards against added routes that are refused by hosts that the store refuses, although the
// other hosts have the version.
func TestAddedRouteIsServedByHostsThatStoreRefuses(t *testing.T) {
	for name, refusal := range map[string]interceptor.Refusal{
		"503": interceptor.Unavailable, "429": interceptor.TooManyRequests, "reset": interceptor.Reset, "unanswered": interceptor.Unanswered,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const refused, refusalTime = 2, 9 * time.Second
			c := startStoreCluster(t)
			// A host that has just started takes the configuration of others anyway.
			time.Sleep(10 * time.Second)
			for _, h := range c.hosts[:refused] {
				h.store.Refuse(refusal)
				timer := time.AfterFunc(refusalTime, func() { h.store.Refuse(interceptor.NoRefusal) })
				defer timer.Stop()
			}
			time.Sleep(100 * time.Millisecond)
			path := c.publishRoute(t)
			c.assertRouteServed(t, c.awaitRoute(t, path, time.Now()), refusedHostBound)
		})
	}
}
