//go:build review

package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// streamPieces is the number of events of each stream.
	streamPieces = 60
	// noticeTime is the time between the notice that a server is taken away and its end,
	// returnTime the time until another comes.
	noticeTime = 2 * time.Second
	returnTime = 4 * time.Second
)

// playLeaving: engines write answers that have neither a length nor chunks and end with their
// connections. One engine after the other gets the notice that it is taken away, and is gone two
// seconds later. Without the disruption it ends once it has no request any more.
func playLeaving(w *world) int {
	w.publish(1, 1, "idempotent")
	const engines = 8
	for n := range engines {
		if err := w.startServer(fmt.Sprintf("e%d", n), modelService, "d1", returnTime, "-unframed", "-pieces", fmt.Sprint(streamPieces)); err != nil {
			return exitNotRun
		}
	}
	hosts, ok := w.startHosts(3)
	if !ok {
		return exitNotRun
	}
	time.Sleep(8 * time.Second)
	var mutex sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	end := time.Now().Add(45 * time.Second)
	for n := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				id := w.newID()
				a := w.send(hosts[n%len(hosts)], id, request{method: "POST", path: "/stream/a", model: modelName, parts: fmt.Sprintf("aa01:40,bb%s:160", id[1:]), limit: 8 * time.Second, body: []byte("prompt")})
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for n := range 4 {
		name := fmt.Sprintf("e%d", n)
		w.signal(name, syscall.SIGUSR1)
		time.Sleep(noticeTime)
		if !w.isTrouble {
			time.Sleep(4 * time.Second)
		}
		w.signal(name, syscall.SIGKILL)
		time.Sleep(6 * time.Second)
	}
	clients.Wait()
	served, broken := 0, 0
	for _, a := range answers {
		if a.status != 200 || !a.whole {
			continue
		}
		last := fmt.Appendf(nil, "id: %d\ndata: %s piece %d of %d\n\n", streamPieces, a.id, streamPieces, streamPieces)
		if !bytes.HasSuffix(a.body, last) {
			broken++
			w.note("check", "ORDER: the answer to %s ends as complete after %d bytes, before its last piece", a.id, len(a.body))
			continue
		}
		served++
	}
	text := fmt.Sprintf("%d answers, %d complete, %d end as complete before their last piece", len(answers), served, broken)
	w.note("check", "%s", text)
	fmt.Println(text)
	switch {
	case served < 50:
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
