//go:build review

// Package world holds the scripts of the review: each starts a small deployment of the built
// program as separate processes, on stand-ins of the users' platform, and checks one rule.
package world

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotable = 2
)

// cannotRun ends a script that could not be run.
type cannotRun struct{ reason string }

// world is a deployment: stand-ins in this process, entry hosts as processes of their own.
type world struct {
	folder       string
	installation *standin.Installation
	started      time.Time

	mutex  sync.Mutex
	record *os.File
	hosts  map[string]*host
}

// host is one entry host.
type host struct {
	name, settingsPath, clients, readiness string
	command                                *exec.Cmd
	ended                                  chan struct{}
}

// newWorld starts the stand-ins. The file with the record is opened in the folder of the case.
func newWorld(caseFolder string) *world {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		panic(cannotRun{err.Error()})
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		panic(cannotRun{err.Error()})
	}
	w := &world{folder: folder, started: time.Now(), record: record, hosts: make(map[string]*host)}
	return w
}

// startInstallation starts the project's own stand-ins of the platform.
func (w *world) startInstallation() {
	installation, stop, err := standin.StartInstallation()
	if err != nil {
		panic(cannotRun{err.Error()})
	}
	_ = stop // They end with this process.
	w.installation = installation
}

// note writes a line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// settingsOf writes the settings file of a host.
func (w *world) settingsOf(name string) *host {
	path, clients, readiness, err := w.installation.WriteSettings(w.folder, name)
	if err != nil {
		panic(cannotRun{err.Error()})
	}
	return &host{name: name, settingsPath: path, clients: clients, readiness: readiness}
}

// start starts the process of a host with the command of the deploy file.
func (w *world) start(h *host) {
	output, err := os.OpenFile(filepath.Join(w.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(cannotRun{err.Error()})
	}
	defer output.Close()
	h.command = exec.Command(os.Getenv("REVIEW_PROGRAM"), "serve")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAPITCH_CONFIG=" + h.settingsPath}
	h.command.Stdout, h.command.Stderr = output, output
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		panic(cannotRun{err.Error()})
	}
	h.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(h.command, h.ended)
	w.mutex.Lock()
	w.hosts[h.name] = h
	w.mutex.Unlock()
	w.note("host %s started, process %d", h.name, h.command.Process.Pid)
}

// kill ends the process of a host at once.
func (w *world) kill(h *host) {
	w.note("host %s: SIGKILL", h.name)
	_ = h.command.Process.Kill()
	<-h.ended
}

// hasEnded reports whether the process of a host has ended.
func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// isReady asks a host whether it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.readiness + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(limit time.Duration, hosts ...*host) {
	for _, h := range hosts {
		for end := time.Now().Add(limit); !h.isReady(); {
			if time.Now().After(end) {
				panic(cannotRun{"host " + h.name + " does not get ready"})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// await waits for a condition and reports whether it came.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// close ends all processes that were started.
func (w *world) close() {
	w.mutex.Lock()
	var hosts []*host
	for _, h := range w.hosts {
		hosts = append(hosts, h)
	}
	w.mutex.Unlock()
	for _, h := range hosts {
		_ = h.command.Process.Kill()
		<-h.ended
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
	_ = w.record.Close()
}

// result is what a client got for one request.
type result struct {
	id      string
	status  int
	header  http.Header
	body    []byte
	err     error
	elapsed time.Duration
}

// clientRequest is a request of a client.
type clientRequest struct {
	id, method, hostName, path string
	body                       []byte
	header                     map[string]string
	timeLimit                  time.Duration
}

// send sends a request on a connection of its own and reads the response.
func send(address string, r clientRequest) result {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeLimit+2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return result{id: r.id, err: err}
	}
	request.Host = r.hostName
	request.Header.Set("X-Request-Id", r.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(r.timeLimit.Milliseconds()))
	for n, v := range r.header {
		request.Header.Set(n, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return result{id: r.id, err: err, elapsed: time.Since(startedAt)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{id: r.id, status: response.StatusCode, header: response.Header, body: body, err: err, elapsed: time.Since(startedAt)}
}

// status returns the page that a host shows to operators, for the record alone.
func (h *host) status() map[string]any {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.readiness + "/status")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var page map[string]any
	if json.NewDecoder(response.Body).Decode(&page) != nil {
		return nil
	}
	return page
}
