//go:build review

package world

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	// memoryLimit is memory_mb of the settings.
	memoryLimit    = 284 << 20
	endlessServers = 14
	endlessSlots   = 26
	endlessClients = 400
	soundClients   = 12
	// soundWork is how long a sound server works on a request.
	soundWork = 60 * time.Millisecond
	// maxLostRequests is how many requests may be lost.
	maxLostRequests = 3
)

// scriptEndless lets the servers of one service answer with bytes without end. The platform kills
// a process that exceeds its memory, and starts it again. Without trouble these servers give
// whole answers. The rule is LOST for the requests to another service, whose servers are
// sound: a process that ends by itself counts as running.
func scriptEndless(w *world, trouble bool) int {
	w.startInstallation()
	w.publish(2, route("till", "/till/", "idempotent", 2))
	if trouble {
		os.Setenv("REVIEW_ENDLESS", "1")
	}
	os.Setenv("SLOTS", strconv.Itoa(endlessSlots))
	stop := make(chan struct{})
	var servers []*serverProcess
	for n := range endlessServers {
		s := w.startServer(fmt.Sprintf("till-%d", n))
		servers = append(servers, s)
		go w.announce(s, stop)
	}
	defer func() {
		for _, s := range servers {
			s.kill()
		}
	}()
	for _, id := range []string{"p0", "p1"} {
		w.installation.Fleet.Server(id).Faults().DelayResponses(soundWork)
	}
	hosts := []*host{w.settingsOf("front-1"), w.settingsOf("front-2")}
	for _, h := range hosts {
		w.start(h)
	}
	w.awaitReady(15*time.Second, hosts...)
	time.Sleep(3 * time.Second)
	var watchers, senders sync.WaitGroup
	for _, h := range hosts {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			w.limitMemory(h, stop)
		}()
	}
	var mutex sync.Mutex
	lost, answered, kinds := 0, 0, make(map[string]int)
	for k := range soundClients {
		senders.Add(1)
		go func() {
			defer senders.Done()
			transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("book-%d-%d", k, n)
				status, err := keptRequest(transport, hosts[k%len(hosts)].clients, id)
				runs := w.installation.Fleet.Server("p0").RunCount(id) + w.installation.Fleet.Server("p1").RunCount(id)
				mutex.Lock()
				verdict := ""
				switch {
				case err == nil:
					answered++
				case runs > 0:
					lost++
					verdict = "LOST: run by a sound server and never answered"
				}
				mutex.Unlock()
				w.note("%s: status %d, error %v, runs %d %s", id, status, err, runs, verdict)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for k := range endlessClients {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("till-%d-%d", k, n)
				r := send(hosts[k%len(hosts)].clients, clientRequest{
					id: id, method: "GET", hostName: tillHost, path: "/till/x", timeLimit: 3 * time.Second, header: map[string]string{"X-Credential": standin.APIKey},
				})
				mutex.Lock()
				kinds[fmt.Sprintf("till status %d", r.status)]++
				mutex.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(20 * time.Second)
	close(stop)
	senders.Wait()
	watchers.Wait()
	w.note("%v", kinds)
	w.note("%d requests to the sound service answered, %d run and lost", answered, lost)
	switch {
	case lost > maxLostRequests:
		return exitBroken
	case answered < 20:
		panic(cannotRun{"too few requests were served"})
	}
	return exitHeld
}

// limitMemory does what the platform does: it kills the process of a host that exceeds the
// memory limit and starts it again. Bytes that have been received and not yet read, which
// count as well there, are left out.
func (w *world) limitMemory(h *host, stop <-chan struct{}) {
	highest := 0
	defer func() { w.note("host %s used at most %d MB", h.name, highest>>20) }()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentBytes(h.command.Process.Pid)
		highest = max(highest, used)
		if used > memoryLimit {
			w.note("host %s uses %d MB, the limit is %d MB", h.name, used>>20, memoryLimit>>20)
			w.kill(h)
			time.Sleep(500 * time.Millisecond)
			w.start(h)
		}
	}
}

// residentBytes returns the memory that a process uses, 0 if it is unknown.
func residentBytes(process int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes << 10
		}
	}
	return 0
}

// keptRequest sends a booking on a connection that is kept for several requests.
func keptRequest(transport *http.Transport, address, id string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+standin.BookPathPrefix+"x", bytes.NewReader([]byte("book "+id)))
	if err != nil {
		return 0, err
	}
	request.Host = standin.HostName
	request.GetBody = nil // It is not sent again on another connection.
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("X-Credential", standin.APIKey)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
