//go:build review

package world3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runUnframed is case 11: replicas stream answers that have neither a length nor chunks. One of them is
// shut down as planned while it streams.
func runUnframed() int {
	w, err := newWorld(os.Getenv("WORLD3_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	w.store.put("keyed.op", "config", streamConfiguration(1))
	leaver, err := w.startReplica("i-leaver", "chat", "zone-1", true)
	if err == nil {
		_, err = w.startReplica("i-stayer", "chat", "zone-1", true)
	}
	if err == nil {
		err = w.startHosts(3)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.Sleep(4 * time.Second) // stable_window_ms and more
	isTroubled := os.Getenv("TROUBLE") != "0"
	started := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	broken, whole, cutOff, others := 0, 0, 0, 0
	drained := false
	for n := 0; time.Since(started) < 12*time.Second; n++ {
		if isTroubled && !drained && time.Since(started) > 4*time.Second {
			drained = true
			w.record("planned shutdown of i-leaver begins")
			if err := leaver.Process.Signal(syscall.SIGUSR1); err != nil {
				return 2
			}
		}
		id, h := fmt.Sprintf("stream-%03d", n), w.hosts[n%len(w.hosts)]
		group.Add(1)
		go func() {
			defer group.Done()
			a := w.stream(id, h)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case a.status == http.StatusOK && a.isComplete && a.events < eventsPerStream:
				broken++
				w.record("BROKEN: %s ends as complete after %d of %d events (%s)", id, a.events, eventsPerStream, a.seal)
			case a.status == http.StatusOK && a.isComplete:
				whole++
			case a.status == http.StatusOK:
				cutOff++
			default:
				others++
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	w.record("streams: %d whole, %d cut off, %d complete for the client before their last event, %d other answers", whole, cutOff, broken, others)
	fmt.Printf("%d whole, %d cut off, %d complete for the client before their last event, %d other answers\n", whole, cutOff, broken, others)
	switch {
	case broken > 0:
		return 1
	case whole < 20:
		return 2
	}
	return 0
}

func streamConfiguration(version int) []byte {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "quote", "host": "chat.example", "path_prefix": "/quote/", "kind": "streaming", "service": "chat", "max_attempts": 2, "timeout_ms": 8000,
			"target_latency_ms": 400, "gap_aim_ms": 250, "priority": 1, "public": true, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "chat", "max_conns": 304}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// answer is what a requester gets.
type answer struct {
	status, events int
	seal           string
	isComplete     bool
}

// stream sends a request on a new channel and reads the answer to its end.
func (w *world) stream(id string, h *host) (a answer) {
	c, err := net.DialTimeout("tcp4", h.front, time.Second)
	if err != nil {
		w.record("%s: no channel to %s: %v", id, h.name, err)
		return a
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(9 * time.Second))
	w.record("%s sent to %s", id, h.name)
	body := `{"text":"a quote, please"}`
	fmt.Fprintf(c, "POST /quote/1 HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record("%s gets no answer: %v", id, err)
		return a
	}
	a.status, a.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	data, err := io.ReadAll(response.Body)
	a.isComplete, a.events = err == nil, strings.Count(string(data), "\n\n")
	w.record("%s gets %d, seal %q, framing %v, %d events, complete %t (%v)", id, a.status, a.seal, response.TransferEncoding, a.events, a.isComplete, err)
	return a
}
