//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of clients that send slowly, all to one host.
	crowdSize = 2500
	// pieceBytes is what such a client sends every pieceInterval, in chunks of chunkBytes, and
	// crowdPieces how often, before it stops short of the end of its body and stays.
	pieceBytes    = 1280
	chunkBytes    = 64
	pieceInterval = 500 * time.Millisecond
	crowdPieces   = 12
	// ordinaryClients open a new connection each for a request, and wait for as long as clients do.
	ordinaryClients = 10
	ordinaryLimit   = 1500 * time.Millisecond
)

// playCrowd: many clients send chunked bodies of legal size piece by piece in small chunks, stop
// short of their end and stay, while ordinary clients look something up.
func playCrowd(w *world) int {
	w.publish(1, 1, "idempotent")
	for n := range 3 {
		if err := w.startServer(fmt.Sprintf("p%d", n), deskService, "", -1); err != nil {
			return exitNotRun
		}
	}
	hosts, ok := w.startHosts(1)
	if !ok {
		return exitNotRun
	}
	h := hosts[0]
	time.Sleep(4 * time.Second)
	begin := time.Now()
	end := begin.Add(25 * time.Second)
	var tries trials
	var clients sync.WaitGroup
	for range ordinaryClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				a := w.send(h, w.newID(), request{method: "GET", path: "/look/y", limit: ordinaryLimit, noGrace: true})
				tries.add(begin, a)
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	var notReady atomic.Int64
	go func() {
		for time.Now().Before(end) {
			response, err := http.Get("http://" + h.ready + "/ready")
			if err != nil || response.StatusCode != http.StatusOK {
				notReady.Add(1)
			}
			if err == nil {
				response.Body.Close()
			}
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(5 * time.Second)
	var opened, refused atomic.Int64
	if w.isTrouble {
		w.note("crowd", "%d clients begin", crowdSize)
		for range crowdSize {
			clients.Add(1)
			go func() {
				defer clients.Done()
				crowd(w, h, end, &opened, &refused)
			}()
		}
	}
	clients.Wait()
	longest, from := tries.longestSilence()
	text := fmt.Sprintf("%d clients of the crowd connected, %d of them were answered; %d ordinary requests, %d served, %d with another answer, %d without one; longest time in which none of the %d ordinary clients got an answer: %.1f s, from second %.1f on; the host said %d times that it is not ready",
		opened.Load(), refused.Load(), tries.total, tries.served, tries.other, tries.total-tries.served-tries.other, ordinaryClients, longest.Seconds(), from.Seconds(), notReady.Load())
	w.note("check", "%s", text)
	fmt.Println(text)
	switch {
	case w.isTrouble && opened.Load() < crowdSize*9/10:
		return exitNotRun
	case longest > stableWindow && notReady.Load() == 0:
		return exitBroken
	}
	return exitHeld
}

// crowd is one client of the crowd.
func crowd(w *world, h host, end time.Time, opened, refused *atomic.Int64) {
	c, err := net.DialTimeout("tcp4", h.front, 10*time.Second)
	if err != nil {
		w.note("crowd", "cannot connect: %v", err)
		return
	}
	defer c.Close()
	opened.Add(1)
	c.SetDeadline(end)
	fmt.Fprintf(c, "POST /look/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", hostName, names["request"], w.newID(), names["key"], apiKey, names["limit"])
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if n, _ := c.Read(make([]byte, 64)); n > 0 {
			refused.Add(1)
		}
	}()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	piece := strings.Repeat(chunk, pieceBytes/chunkBytes)
	for range crowdPieces {
		if _, err := c.Write([]byte(piece)); err != nil {
			break
		}
		select {
		case <-answered:
			return
		case <-time.After(pieceInterval):
		}
	}
	// It stops short of the end of its body.
	<-answered
}

// trials are the tries of the ordinary clients.
type trials struct {
	mutex                sync.Mutex
	total, served, other int
	answers              []time.Duration
	first, last          time.Duration
}

func (t *trials) add(begin time.Time, a answer) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.total++
	at := a.sentAt.Sub(begin)
	t.last = max(t.last, at+a.tookTime)
	switch {
	case a.status == http.StatusOK && a.whole:
		t.served++
	case a.status != 0:
		t.other++
	default:
		return
	}
	t.answers = append(t.answers, at+a.tookTime)
}

// longestSilence returns the longest time without an answer to any of them, and when it began.
func (t *trials) longestSilence() (longest, from time.Duration) {
	previous := time.Duration(0)
	slices.Sort(t.answers)
	for _, at := range append(t.answers, t.last) {
		if at-previous > longest {
			longest, from = at-previous, previous
		}
		previous = at
	}
	return longest, from
}
