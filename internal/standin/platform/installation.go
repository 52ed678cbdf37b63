package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// Names of the installation.
const (
	// ModelService and PlainService are the services.
	ModelService = "llm"
	PlainService = "desk"
	// LargeModel and SmallModel are the models of the model service.
	LargeModel = "large"
	SmallModel = "small"
	// HostName is the host name of all routes, Key the key of the one customer.
	HostName = "demo.example"
	Key      = "key-demo"
	// StreamPath, BookPath and LookPath begin the paths of the routes.
	StreamPath = "/stream/"
	BookPath   = "/book/"
	LookPath   = "/look/"
)

const (
	largeSize, smallSize = 3, 2
	domainSize           = 6
)

// Installation is a store, a fleet and an operator.
type Installation struct {
	// Store and Fleet are what the system meets.
	Store *Store
	Fleet *Fleet

	mutex sync.Mutex
	// endpoints are those of the store, one for each entry host.
	endpoints map[string]*faulter.Server
	stops     []func()
}

// Endpoint returns the endpoint of the store that an entry host uses. Its faults
// strike this host alone.
func (i *Installation) Endpoint(host string) *faulter.Server {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.endpoints[host]
}

// open opens an endpoint of the store for an entry host.
func (i *Installation) open(host string) (*faulter.Server, error) {
	endpoint, stop, err := i.Store.Listen()
	if err != nil {
		return nil, err
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.endpoints[host] = endpoint
	i.stops = append(i.stops, stop)
	return endpoint, nil
}

func (i *Installation) close() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, stop := range i.stops {
		stop()
	}
}

// NewInstallation starts a store, two fabric domains of engines and two plain
// servers, and publishes a configuration. The function ends it all.
func NewInstallation() (*Installation, func(), error) {
	store := NewStore()
	fleet, stopFleet := NewFleet(store)
	i := &Installation{Store: store, Fleet: fleet, endpoints: make(map[string]*faulter.Server)}
	stop := func() {
		stopFleet()
		i.close()
	}
	for d := range 2 {
		for n := range domainSize {
			if _, err := fleet.Add(fmt.Sprintf("e%d%d", d, n), ModelService, fmt.Sprintf("domain-%d", d)); err != nil {
				stop()
				return nil, nil, err
			}
		}
		if _, err := fleet.Add(fmt.Sprintf("p%d", d), PlainService, ""); err != nil {
			stop()
			return nil, nil, err
		}
	}
	store.Publish(Configuration(1))
	return i, stop, nil
}

// Configuration returns a configuration as an operator publishes it.
func Configuration(version int) []byte {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": HostName, "path_prefix": prefix, "kind": kind, "service": service, "max_attempts": attempts,
			"timeout_ms": 20000, "target_latency_ms": 5000, "priority": 1, "resumable": kind == "streaming", "gap_aim_ms": 250,
		}
	}
	model := func(name string, size int) map[string]any {
		return map[string]any{"name": name, "size": size, "share": 0.5, "pace": 1, "load_s": loadTime.Seconds(), "warm_s": warmTime.Seconds()}
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("stream", StreamPath, "streaming", ModelService, 3),
			route("book", BookPath, "non_idempotent", PlainService, 1),
			route("look", LookPath, "idempotent", PlainService, 2),
		},
		"services": []any{
			map[string]any{"name": ModelService, "max_conns": 100, "engine": map[string]any{
				"slots": 4, "step_ms": 1, "read_per_s": 50000, "loads_per_s": 50, "loads_at_once": 50,
				"form_ms": formTime.Milliseconds(), "report_lag_ms": 0,
				"models": []any{model(LargeModel, largeSize), model(SmallModel, smallSize)},
			}},
			map[string]any{"name": PlainService, "max_conns": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "customer-1", "api_keys": []string{Key}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// WriteSettings writes the settings of an entry host into a folder, with free
// ports, and returns their path and the addresses for callers and for operators.
func (i *Installation) WriteSettings(folder, host string) (path, callers, operators string, err error) {
	// The endpoint comes first: it might take a port that was found free.
	endpoint, err := i.open(host)
	if err != nil {
		return "", "", "", err
	}
	callers, operators, peers, err := freePorts()
	if err != nil {
		return "", "", "", err
	}
	data, err := json.Marshal(map[string]any{
		"node_id": host, "ip": "127.0.0.1", "zone": "z1", "listen": map[string]any{"front": callers, "ready": operators},
		"port_range": []int{peers, peers}, "provider": map[string]any{"address": endpoint.Address()},
		"limits": map[string]any{"memory_mb": 284},
		"bounds": map[string]any{"stall_ms": stallTime.Milliseconds(), "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 100, "budget_window_s": 10},
	})
	if err != nil {
		return "", "", "", err
	}
	path = filepath.Join(folder, host+".json")
	return path, callers, operators, os.WriteFile(path, data, 0o600)
}

// firstPort and lastPort bound the ports of hosts. They lie below those that the
// system gives to outgoing connections, which could take a port between the look
// whether it is free and its use.
const firstPort, lastPort = 20000, 30000

// portTries is the number of ports that are tried for one that is free.
const portTries = 100

// NoPortError reports that no free port was found.
type NoPortError struct{ Err error }

// Error implements error.
func (e *NoPortError) Error() string { return "no free port: " + e.Err.Error() }

// Unwrap returns the last failure to listen.
func (e *NoPortError) Unwrap() error { return e.Err }

// freePorts returns two free addresses, and a port that is free for datagrams and
// for TCP.
func freePorts() (callers, ready string, peers int, err error) {
	var ports [3]int
	for n := range ports {
		port, release, err := freePort()
		if err != nil {
			return "", "", 0, err
		}
		defer release()
		ports[n] = port
	}
	return loopback(ports[0]), loopback(ports[1]), ports[2], nil
}

// freePort holds a port that is free for datagrams and for TCP until release.
func freePort() (port int, release func(), err error) {
	var config net.ListenConfig
	ctx := context.Background()
	for range portTries {
		port = firstPort + rand.IntN(lastPort-firstPort)
		var stream net.Listener
		if stream, err = config.Listen(ctx, "tcp4", loopback(port)); err != nil {
			continue
		}
		var datagrams net.PacketConn
		if datagrams, err = config.ListenPacket(ctx, "udp4", loopback(port)); err != nil {
			stream.Close()
			continue
		}
		return port, func() {
			for _, c := range []io.Closer{stream, datagrams} {
				c.Close()
			}
		}, nil
	}
	return 0, nil, &NoPortError{Err: err}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// CallerHeaders returns the header fields of a request as arguments of curl.
func CallerHeaders() string {
	return fmt.Sprintf("-H 'X-Request-Id: demo-1' -H 'X-Credential: %s' -H 'X-Deadline-Ms: 8000' -H 'X-Model: %s' -H 'X-Token-Usage: 20,120'", Key, LargeModel)
}
