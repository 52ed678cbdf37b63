package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/faulter"
)

// Names that the installation and its configuration use.
const (
	// ModelService is served by model engines, PlainService by plain servers.
	ModelService = "llm"
	PlainService = "desk"
	// LargeModel and SmallModel are the models of the model service.
	LargeModel = "large"
	SmallModel = "small"
	// HostName is the host name of all routes, APIKey the API key of the only customer.
	HostName = "demo.example"
	APIKey   = "key-demo"
	// StreamPathPrefix, BookPathPrefix and LookPathPrefix are the path prefixes of the
	// routes.
	StreamPathPrefix = "/stream/"
	BookPathPrefix   = "/book/"
	LookPathPrefix   = "/look/"
)

const (
	largeGroupSize, smallGroupSize = 3, 2
	enginesPerDomain               = 6
)

// Installation consists of a metadata store, a fleet of backend servers and a published
// configuration.
type Installation struct {
	// Store and Fleet are the outside systems of the entry hosts.
	Store *Store
	Fleet *Fleet

	mutex sync.Mutex
	// storeEndpoints holds the endpoint of the store for each entry host.
	storeEndpoints map[string]*faulter.Server
	cleanUps       []func()
}

// StoreEndpoint returns the endpoint of the store that an entry host uses. Its faults
// affect only that host.
func (i *Installation) StoreEndpoint(host string) *faulter.Server {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.storeEndpoints[host]
}

// openStoreEndpoint opens an endpoint of the store for an entry host.
func (i *Installation) openStoreEndpoint(host string) (*faulter.Server, error) {
	endpoint, stop, err := i.Store.Listen()
	if err != nil {
		return nil, err
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.storeEndpoints[host] = endpoint
	i.cleanUps = append(i.cleanUps, stop)
	return endpoint, nil
}

func (i *Installation) close() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, stop := range i.cleanUps {
		stop()
	}
}

// StartInstallation starts a store, two fabric domains of engines and two plain servers,
// and publishes a configuration. The returned function stops all of them.
func StartInstallation() (*Installation, func(), error) {
	store := NewStore()
	fleet, stopFleet := StartFleet(store)
	i := &Installation{Store: store, Fleet: fleet, storeEndpoints: make(map[string]*faulter.Server)}
	stop := func() {
		stopFleet()
		i.close()
	}
	for d := range 2 {
		for n := range enginesPerDomain {
			if _, err := fleet.StartServer(fmt.Sprintf("e%d%d", d, n), ModelService, fmt.Sprintf("domain-%d", d)); err != nil {
				stop()
				return nil, nil, err
			}
		}
		if _, err := fleet.StartServer(fmt.Sprintf("p%d", d), PlainService, ""); err != nil {
			stop()
			return nil, nil, err
		}
	}
	store.PublishConfiguration(Configuration(1))
	return i, stop, nil
}

// Configuration returns a configuration in the format in which an operator publishes it.
func Configuration(version int) []byte {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": HostName, "path_prefix": prefix, "kind": kind, "service": service, "max_attempts": attempts,
			"timeout_ms": 20000, "target_latency_ms": 5000, "priority": 1, "resumable": kind == "streaming", "gap_aim_ms": 250,
		}
	}
	model := func(name string, size int) map[string]any {
		return map[string]any{"name": name, "size": size, "share": 0.5, "pace": 1, "load_s": coldLoadTime.Seconds(), "warm_s": stagedLoadTime.Seconds()}
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("stream", StreamPathPrefix, "streaming", ModelService, 3),
			route("book", BookPathPrefix, "non_idempotent", PlainService, 1),
			route("look", LookPathPrefix, "idempotent", PlainService, 2),
		},
		"services": []any{
			map[string]any{"name": ModelService, "max_conns": 100, "engine": map[string]any{
				"slots": 4, "step_ms": 1, "read_per_s": 50000, "loads_per_s": 50, "loads_at_once": 50,
				"form_ms": openTime.Milliseconds(), "report_lag_ms": 0,
				"models": []any{model(LargeModel, largeGroupSize), model(SmallModel, smallGroupSize)},
			}},
			map[string]any{"name": PlainService, "max_conns": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "customer-1", "api_keys": []string{APIKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// WriteSettings writes a settings file with free ports for an entry host. It returns the
// path of the file and the addresses for clients and for readiness checks.
func (i *Installation) WriteSettings(folder, host string) (path, clientAddress, readinessAddress string, err error) {
	// The endpoint is opened first, because it might otherwise take a port that
	// freePorts has found free.
	endpoint, err := i.openStoreEndpoint(host)
	if err != nil {
		return "", "", "", err
	}
	clientAddress, readinessAddress, peerPort, err := freePorts()
	if err != nil {
		return "", "", "", err
	}
	data, err := json.Marshal(map[string]any{
		"node_id": host, "ip": "127.0.0.1", "zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1", "z2": "r2"}, "listen": map[string]any{"front": clientAddress, "ready": readinessAddress},
		"port_range": []int{peerPort, peerPort}, "provider": map[string]any{"address": endpoint.Address()},
		"limits": map[string]any{"memory_mb": 284},
		"bounds": map[string]any{"stall_ms": stallTimeout.Milliseconds(), "drain_ms": drainLimit.Milliseconds(), "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 100, "budget_window_s": 10, "cold_over": coldOver, "cold_slack": coldSlack},
	})
	if err != nil {
		return "", "", "", err
	}
	path = filepath.Join(folder, host+".json")
	return path, clientAddress, readinessAddress, os.WriteFile(path, data, 0o600)
}

// firstPort and lastPort limit the port range of hosts. The range lies below the ephemeral
// ports, because an outgoing connection could take a port between the check that it is
// free and its use.
const firstPort, lastPort = 10000, 32000

// portsPerProcess is the size of the part of the range that one process uses. Processes that
// run at the same time have different parts as a rule, and within its part a process takes
// the ports in turns, so that no other host takes a port between its check and its use.
const portsPerProcess = 200

// issuedPorts counts the ports that this process has tried.
var issuedPorts atomic.Uint32

// nextPort returns the next port of this process.
func nextPort() int {
	parts := (lastPort - firstPort) / portsPerProcess
	return firstPort + os.Getpid()%parts*portsPerProcess + int((issuedPorts.Add(1)-1)%portsPerProcess)
}

// maxPortAttempts is the number of ports that are tried to find a free one.
const maxPortAttempts = 100

// NoPortError reports that no free port was found in maxPortAttempts attempts.
type NoPortError struct{ Err error }

// Error implements error.
func (e *NoPortError) Error() string { return "no free port: " + e.Err.Error() }

// Unwrap returns the error of the last attempt to listen.
func (e *NoPortError) Unwrap() error { return e.Err }

// freePorts returns two addresses and a port for peers, with three different ports that
// are free for UDP and TCP.
func freePorts() (clientAddress, readinessAddress string, peerPort int, err error) {
	var ports [3]int
	for n := range ports {
		port, release, err := freePort()
		if err != nil {
			return "", "", 0, err
		}
		defer release()
		ports[n] = port
	}
	return loopbackAddress(ports[0]), loopbackAddress(ports[1]), ports[2], nil
}

// freePort returns a port that is free for UDP and TCP. It occupies the port until release
// is called.
func freePort() (port int, release func(), err error) {
	var config net.ListenConfig
	ctx := context.Background()
	for range maxPortAttempts {
		port = nextPort()
		var stream net.Listener
		if stream, err = config.Listen(ctx, "tcp4", loopbackAddress(port)); err != nil {
			continue
		}
		var datagrams net.PacketConn
		if datagrams, err = config.ListenPacket(ctx, "udp4", loopbackAddress(port)); err != nil {
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

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// CurlHeaderArguments returns the header fields of a request as arguments for curl.
func CurlHeaderArguments() string {
	return fmt.Sprintf("-H 'X-Request-Id: demo-1' -H 'X-Credential: %s' -H 'X-Deadline-Ms: 8000' -H 'X-Model: %s' -H 'X-Token-Usage: 20,120'", APIKey, LargeModel)
}
