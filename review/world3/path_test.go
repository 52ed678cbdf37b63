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
	"sync"
	"time"
)

// runPath is case 13: the path of some requests begins with two slashes.
func runPath() int {
	w, err := newWorld(os.Getenv("WORLD3_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	configuration, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "orders", "host": "desk.example", "path_prefix": "/", "kind": "non_idempotent", "service": "desk", "max_attempts": 1, "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": "desk", "max_conns": 96}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 1}},
	})
	w.store.put("keyed.op", "config", configuration)
	var mutex sync.Mutex
	ran := make(map[string]string)
	for n := range 3 {
		if err := w.startDesk(fmt.Sprintf("i-desk-%d", n), func(id, line string) {
			mutex.Lock()
			defer mutex.Unlock()
			ran[id] = line
		}); err != nil {
			return 2
		}
	}
	if err := w.startHosts(3); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	time.Sleep(4 * time.Second)
	broken, held := 0, 0
	for n := range 60 {
		id, target := fmt.Sprintf("order-%03d", n), fmt.Sprintf("/book/room/%d?day=%d", n, n%7)
		if n%3 == 0 && os.Getenv("TROUBLE") != "0" {
			target = "/" + target
		}
		status := w.order(id, target, w.hosts[n%len(w.hosts)])
		mutex.Lock()
		got, isRun := ran[id]
		mutex.Unlock()
		switch {
		case isRun && got != "POST "+target:
			broken++
			w.record("BROKEN: the requester of %s sent POST %s and gets %d; a replica ran %s", id, target, status, got)
		case isRun && status == http.StatusOK:
			held++
		}
		time.Sleep(20 * time.Millisecond)
	}
	summary := fmt.Sprintf("%d requests run as sent, %d run with another path", held, broken)
	w.record("%s", summary)
	fmt.Println(summary)
	switch {
	case broken > 0:
		return 1
	case held < 20:
		return 2
	}
	return 0
}

// startDesk starts a replica of the service desk. It calls onRun with the method, path and query of each
// request that it runs, as any HTTP server reads them.
func (w *world) startDesk(id string, onRun func(id, line string)) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	go http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Request-Id")
		if request != "" {
			rw.Header().Set("X-Request-Id", request)
		}
		switch target := r.Header.Get("X-Target-Instance"); {
		case target != "" && target != id:
			rw.WriteHeader(http.StatusMisdirectedRequest)
		case r.URL.Path == "/report":
			writeJSON(rw, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 0, "handles": 0, "born": born})
		case r.URL.Path == "/health":
			rw.Header().Set("X-Instance-Id", id)
		default:
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			line := r.Method + " " + r.URL.EscapedPath()
			if r.URL.RawQuery != "" {
				line += "?" + r.URL.RawQuery
			}
			w.record("%s runs %s: %s (request line: %s %s)", id, request, line, r.Method, r.RequestURI)
			onRun(request, line)
			rw.Header().Set("X-Response-Seal", "seal-"+id)
			fmt.Fprintf(rw, "%s %s", line, body)
		}
	}))
	sequence := 0
	register := func() {
		sequence++
		entry, _ := json.Marshal(map[string]any{
			"service": "desk", "address": l.Addr().String(), "zone": "zone-1", "version": "1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": sequence, "born": born,
		})
		w.store.put("keyed.servers", id, entry)
	}
	register()
	go func() {
		for range time.Tick(heartbeat) {
			register()
		}
	}()
	return nil
}

// order sends a request on a new channel and returns the status of its answer, 0 for none.
func (w *world) order(id, target string, h *host) int {
	c, err := net.DialTimeout("tcp4", h.front, time.Second)
	if err != nil {
		w.record("%s: no channel to %s: %v", id, h.name, err)
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	w.record("%s sent to %s: POST %s", id, h.name, target)
	body := `{"order":1}`
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", target, id, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.record("%s gets no answer: %v", id, err)
		return 0
	}
	data, _ := io.ReadAll(response.Body)
	w.record("%s gets %d, seal %q: %s", id, response.StatusCode, response.Header.Get("X-Response-Seal"), data)
	return response.StatusCode
}
