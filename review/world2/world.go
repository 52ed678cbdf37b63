//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment: a store, servers, entry hosts and clients.
type world struct {
	folder, recordPath, binary, self string
	record                           *os.File
	isTrouble                        bool
	store                            *store
	storeAddress                     string

	mutex     sync.Mutex
	processes map[string]*process
	requests  atomic.Int64
	startedAt time.Time
	stopping  atomic.Bool
	waits     sync.WaitGroup
}

// process is a process of the deployment.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	// restartAfter is the pause before the process is started again when it ends, negative for
	// never.
	restartAfter time.Duration
	startedAt    time.Time
	build        func() *exec.Cmd
}

// host is an entry host.
type host struct{ name, front, ready string }

// writeLine appends a line to the record in one write.
func writeLine(f *os.File, who, text string) {
	f.WriteString(fmt.Sprintf("%s %s: %s\n", time.Now().UTC().Format("15:04:05.000"), who, text))
}

func newWorld() (*world, error) {
	folder, err := os.MkdirTemp("", "review-world2-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, recordPath: os.Getenv("RECORD"), binary: os.Getenv("HOST_PROGRAM"), isTrouble: os.Getenv("TROUBLE") != "0", store: newStore(), processes: make(map[string]*process), startedAt: time.Now()}
	if w.recordPath == "" || w.binary == "" {
		return nil, fmt.Errorf("RECORD and HOST_PROGRAM must be set; use run.sh")
	}
	if w.self, err = os.Executable(); err != nil {
		return nil, err
	}
	if w.record, err = os.OpenFile(w.recordPath, os.O_APPEND|os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o644); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	go http.Serve(listener, w.store)
	w.note("case", "begins, trouble=%v", w.isTrouble)
	return w, nil
}

func (w *world) note(who, format string, arguments ...any) {
	writeLine(w.record, who, fmt.Sprintf(format, arguments...))
}

// close ends all processes.
func (w *world) close() {
	w.stopping.Store(true)
	w.mutex.Lock()
	for _, p := range w.processes {
		p.command.Process.Signal(syscall.SIGCONT)
		p.command.Process.Kill()
	}
	w.mutex.Unlock()
	w.waits.Wait()
	w.record.Close()
	os.RemoveAll(w.folder)
}

// start starts a process and, when it ends, starts it again after a pause.
func (w *world) start(name string, restartAfter time.Duration, build func() *exec.Cmd) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopping.Load() {
		return nil
	}
	p := &process{name: name, restartAfter: restartAfter, build: build, command: build(), done: make(chan struct{}), startedAt: time.Now()}
	if err := p.command.Start(); err != nil {
		return err
	}
	w.processes[name] = p
	w.note("case", "starts %s, process %d", name, p.command.Process.Pid)
	w.waits.Add(1)
	go func() {
		defer w.waits.Done()
		err := p.command.Wait()
		close(p.done)
		if w.stopping.Load() {
			return
		}
		w.note("case", "%s has ended: %v", name, err)
		w.mutex.Lock()
		pause := p.restartAfter
		w.mutex.Unlock()
		if pause < 0 {
			return
		}
		time.Sleep(pause)
		if err := w.start(name, pause, build); err != nil {
			w.note("case", "%s does not start again: %v", name, err)
		}
	}()
	return nil
}

// process returns a running process.
func (w *world) process(name string) *process {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.processes[name]
}

// signal sends a signal to a process.
func (w *world) signal(name string, s syscall.Signal) {
	w.note("case", "sends %v to %s", s, name)
	w.process(name).command.Process.Signal(s)
}

// setRestart sets after which pause a process is started again, negative for never.
func (w *world) setRestart(name string, pause time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.processes[name].restartAfter = pause
}

// startServer starts a backend server. It keeps its address over restarts.
func (w *world) startServer(id, service, domain string, restartAfter time.Duration, flags ...string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	return w.start(id, restartAfter, func() *exec.Cmd {
		arguments := append([]string{"server", "-id", id, "-service", service, "-domain", domain, "-store", w.storeAddress, "-address", address, "-log", w.recordPath}, flags...)
		c := exec.Command(w.self, arguments...)
		c.Stderr = os.Stderr
		return c
	})
}

var issuedPorts atomic.Int64

// freePort returns a port that is free for TCP and UDP, below those that the kernel gives out.
func freePort() (int, error) {
	for range 500 {
		port := 10000 + (os.Getpid()*97+int(issuedPorts.Add(1)))%22000
		address := "127.0.0.1:" + strconv.Itoa(port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		return port, nil
	}
	return 0, fmt.Errorf("no free port")
}

func freeAddress() (string, error) {
	port, err := freePort()
	return "127.0.0.1:" + strconv.Itoa(port), err
}

// bounds are those of the small deployments.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_delay_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "sync_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000, "strict_revoke": false, "revoke_ms": 5000,
	"retry_ratio": 0.2, "budget_window_s": 10, "retry_slack": 134, "recover_s": 12, "pass_ms": 120, "again_s": 0, "stall_ms": 4000,
	"require_fence": false, "ceiling_window_s": 5, "ceiling_over": 1.1,
}

// startHost starts an entry host by the command of the deploy file.
func (w *world) startHost(name string, restartAfter time.Duration) (host, error) {
	var ports [5]int
	for n := range ports {
		var err error
		if ports[n], err = freePort(); err != nil {
			return host{}, err
		}
	}
	at := func(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }
	h := host{name: name, front: at(ports[0]), ready: at(ports[1])}
	settings := map[string]any{
		names["host"]: name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": "127.0.0.1", "zone": "z1", "region": "r1",
		"zones": map[string]string{"z1": "r1"}, "listen": map[string]string{"front": h.front, "ready": h.ready, "control": at(ports[2])},
		"port_range": []int{ports[3], ports[3]}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpus": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200, "bounds": bounds,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"},
		"provider": map[string]any{
			"address": w.storeAddress, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_per_s": 20.0,
			"read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return host{}, err
	}
	path := filepath.Join(w.folder, name+".json")
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return host{}, err
	}
	logFile, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return host{}, err
	}
	if keep := os.Getenv("HOST_LOGS"); keep != "" {
		logFile, err = os.Create(filepath.Join(keep, name+".log"))
		if err != nil {
			return host{}, err
		}
	}
	return h, w.start(name, restartAfter, func() *exec.Cmd {
		c := exec.Command(w.binary, "serve")
		c.Env = []string{"FUCHSIAPITCH_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		c.Stdout, c.Stderr = logFile, logFile
		return c
	})
}

// startHosts starts a number of entry hosts and waits until they are ready. It reports whether they
// are.
func (w *world) startHosts(count int) ([]host, bool) {
	var hosts []host
	for n := range count {
		h, err := w.startHost(fmt.Sprintf("h%d", n), 500*time.Millisecond)
		if err != nil {
			w.note("case", "h%d does not start: %v", n, err)
			return nil, false
		}
		hosts = append(hosts, h)
	}
	return hosts, w.areReady(hosts)
}

// areReady waits until hosts are ready. It reports whether they are.
func (w *world) areReady(hosts []host) bool {
	for _, h := range hosts {
		if !w.awaitReady(h, 15*time.Second) {
			return false
		}
	}
	return true
}

// awaitReady waits until a host is ready. It reports whether it is.
func (w *world) awaitReady(h host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	w.note("case", "%s is not ready in time", h.name)
	return false
}

// answer is what a client got for a request.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	// whole is true if the answer ended as HTTP has it, and not by a broken connection.
	whole    bool
	err      error
	sentAt   time.Time
	tookTime time.Duration
}

// request is a request of a client.
type request struct {
	method, path, model string
	parts               string
	limit               time.Duration
	body                []byte
	afterEvent          string
	// patience is the longest gap that the client bears in an answer, 0 for any.
	patience time.Duration
	// noGrace is true if the client waits no longer than its limit.
	noGrace bool
}

var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// newID returns the identifier of a new request.
func (w *world) newID() string { return fmt.Sprintf("r%06d", w.requests.Add(1)) }

// send sends a request to a host and returns the answer.
func (w *world) send(h host, id string, q request) answer {
	a := answer{id: id, sentAt: time.Now()}
	r, err := http.NewRequest(q.method, "http://"+h.front+q.path, bytes.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = hostName
	r.Header.Set(names["request"], id)
	r.Header.Set(names["key"], apiKey)
	r.Header.Set(names["limit"], strconv.FormatInt(q.limit.Milliseconds(), 10))
	if q.model != "" {
		r.Header.Set(names["model"], q.model)
		r.Header.Set(names["usage"], "200,180")
	}
	if q.parts != "" {
		r.Header.Set(names["prefix"], q.parts)
	}
	if q.afterEvent != "" {
		r.Header.Set("Last-Event-Id", q.afterEvent)
	}
	w.note("client", "sends %s %s to %s, parts %q", id, q.path, h.name, q.parts)
	grace := 2 * time.Second
	if q.noGrace {
		grace = 0
	}
	client := &http.Client{Transport: transport, Timeout: q.limit + grace}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	var timer *time.Timer
	if q.patience > 0 {
		timer = time.AfterFunc(q.patience, leave)
		defer timer.Stop()
	}
	response, err := client.Do(r.WithContext(ctx))
	if err != nil {
		a.err, a.tookTime = err, time.Since(a.sentAt)
		w.note("client", "gets no answer to %s: %v", id, err)
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	for data := make([]byte, 4096); a.err == nil; {
		var n int
		n, a.err = response.Body.Read(data)
		a.body = append(a.body, data[:n]...)
		if timer != nil && n > 0 {
			timer.Reset(q.patience)
		}
	}
	if errors.Is(a.err, io.EOF) {
		a.err = nil
	}
	a.whole, a.tookTime = a.err == nil, time.Since(a.sentAt)
	w.note("client", "gets %d to %s after %d ms, %d bytes, whole=%v, seal %q, retry after %q", a.status, id, a.tookTime.Milliseconds(), len(a.body), a.whole, a.header.Get(names["seal"]), a.header.Get("Retry-After"))
	return a
}

const (
	hostName     = "demo.example"
	apiKey       = "key-one"
	modelService = "llm"
	deskService  = "desk"
	modelName    = "m0"
)

// publish writes a configuration with routes for streams, bookings and lookups.
func (w *world) publish(version, groupSize int, kindOfDesk string) {
	route := func(name, prefix, kind, service string, attempts, timeout, aim int) map[string]any {
		r := map[string]any{"name": name, "host": hostName, names["path"]: prefix, "kind": kind, "service": service, "max_attempts": attempts, "timeout_ms": timeout, names["aim"]: aim, "priority": 1}
		if kind == "streaming" {
			r["resumable"], r["gap_aim_ms"], r["sticky"] = true, 250, true
		}
		return r
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("stream", "/stream/", "streaming", modelService, 2, 8000, 400),
			route("look", "/look/", kindOfDesk, deskService, 2, 8000, 300),
			route("book", "/book/", "non_idempotent", deskService, 1, 8000, 300),
		},
		"services": []any{
			map[string]any{"name": modelService, "max_conns": 400, "health_path": "/health", "engine": map[string]any{
				"slots": engineSlots, "step_ms": 6.45, "per_seq_ms": 0.1, "context_per_k": 0.003, "stride": 6, "read_per_s": 56100.0, "chunk": 2048, "pairs_per_m": 0.3,
				"loads_per_s": 5.5, "loads_at_once": 8, "form_ms": openTime.Milliseconds(), "report_lag_ms": 100, "usual": map[string]any{"prompt": 200, "answer": 180},
				"models": []any{map[string]any{"name": modelName, "size": groupSize, "share": 1.0, "pace": 1.0, "load_s": loadTime.Seconds(), "warm_s": warmTime.Seconds()}},
			}},
			map[string]any{"name": deskService, "max_conns": 100, "health_path": "/health"},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-one", names["keys"]: []string{apiKey}}},
	})
	if err != nil {
		panic(err)
	}
	w.store.put(names["operator"], "config", data)
	w.note("operator", "writes configuration %d", version)
}
