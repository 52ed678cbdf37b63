//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lethalPart is the part of prompts that ends each engine.
	lethalPart = "dead01"
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
	// maxLethal is the number of requests with the part that may reach engines later than the
	// stable window after the fifth end.
	maxLethal = 3
	// downTime is the time after which an engine that has ended is back, darkTime that for which
	// it is silent before it ends.
	downTime = 1500 * time.Millisecond
	darkTime = 2500 * time.Millisecond
	// streamLimit is the time limit of the streams, patience the gap after which clients leave one.
	streamLimit = 8 * time.Second
	patience    = 2 * time.Second
)

// lethalPlay is what the two cases with a lethal part have in common.
type lethalPlay struct {
	world   *world
	hosts   []host
	clients sync.WaitGroup
	stop    atomic.Bool
	sent    int
	// served and failed count the sound requests.
	served, failed atomic.Int64
}

// startLethal starts ten engines, three hosts and six clients whose requests share the first part
// of their prompts with the lethal ones.
func startLethal(w *world, flags ...string) (*lethalPlay, bool) {
	w.publish(1, 1, "idempotent")
	for n := range 10 {
		if err := w.startServer(fmt.Sprintf("e%d", n), modelService, "d1", downTime, append(flags, "-pieces", "12", "-lethal", lethalPart)...); err != nil {
			return nil, false
		}
	}
	hosts, ok := w.startHosts(3)
	if !ok {
		return nil, false
	}
	time.Sleep(8 * time.Second)
	p := &lethalPlay{world: w, hosts: hosts}
	for n := range 6 {
		p.clients.Add(1)
		go func() {
			defer p.clients.Done()
			for k := 0; !p.stop.Load(); k++ {
				id := w.newID()
				a := w.send(hosts[(n+k)%len(hosts)], id, request{method: "POST", path: "/stream/a", model: modelName, parts: fmt.Sprintf("aa01:40,bb%s:160", id[1:]), limit: streamLimit, patience: patience, body: []byte("prompt")})
				if a.status == 200 && a.whole {
					p.served.Add(1)
				} else {
					p.failed.Add(1)
				}
				time.Sleep(150 * time.Millisecond)
			}
		}()
	}
	return p, true
}

// sendLethal sends a request with the lethal part to the next host. Its last part is its own.
func (p *lethalPlay) sendLethal() {
	h, id := p.hosts[p.sent%len(p.hosts)], p.world.newID()
	p.sent++
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		p.world.send(h, id, request{method: "POST", path: "/stream/a", model: modelName, parts: fmt.Sprintf("aa01:40,%s:100,cc%s:60", lethalPart, id[1:]), limit: streamLimit, patience: patience, body: []byte("prompt")})
	}()
}

// judge counts the requests with the part, and how often sound ones begin.
func (p *lethalPlay) judge() int {
	p.stop.Store(true)
	p.clients.Wait()
	w := p.world
	f, err := readLethalRecord(w.recordPath)
	if err != nil {
		return exitNotRun
	}
	text := fmt.Sprintf("BUDGET: %d requests with the part were sent, %d engines ended under it; %d such requests reached engines later than %s after the fifth end, sent by hosts in touch (%d are allowed)",
		p.sent, f.ends, f.counted, stableWindow, maxLethal)
	w.note("check", "%s", text)
	fmt.Println(text)
	text = fmt.Sprintf("beside (LOST): before the first end %d of %d sound requests began, later than %s after the fifth %d of %d; in all %d were served, %d not",
		f.before.began, f.before.sent, 2*stableWindow, f.beside.began, f.beside.sent, p.served.Load(), p.failed.Load())
	w.note("check", "%s", text)
	fmt.Println(text)
	switch {
	case f.ends < 5 || p.served.Load() < 50:
		return exitNotRun
	case f.counted > maxLethal:
		return exitBroken
	}
	return exitHeld
}

// lethalFindings are what the record says of requests with the part and of sound ones.
type lethalFindings struct {
	// ends is the number of engines that have ended under the part, counted that of the requests with
	// the part that reached engines later than the stable window after the fifth end.
	ends, counted int
	// before are the sound requests before the first end, beside those later than twice the stable
	// window after the fifth, until the last request with the part.
	before, beside soundCount
}

// soundCount is a number of sound requests, and that of those which an engine has begun.
type soundCount struct{ sent, began int }

// readLethalRecord reads the record. Both cases send requests with the part only to hosts that have run
// for longer than the stable window.
func readLethalRecord(path string) (lethalFindings, error) {
	var found lethalFindings
	f, err := os.Open(path)
	if err != nil {
		return found, err
	}
	defer f.Close()
	var first, fifth, lastLethal time.Time
	sentAt, began := make(map[string]time.Time), make(map[string]bool)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		stamp, text, _ := strings.Cut(lines.Text(), " ")
		at, err := time.Parse("15:04:05.000", stamp)
		words := strings.Fields(text)
		switch {
		case err != nil || len(words) < 3:
		case strings.HasPrefix(text, "client: sends "):
			if strings.Contains(text, lethalPart) {
				lastLethal = at
				continue
			}
			sentAt[words[2]] = at
		case strings.Contains(text, "lethal=true"):
			if !fifth.IsZero() && at.Sub(fifth) > stableWindow {
				found.counted++
			}
		case strings.Contains(text, "lethal=false"):
			began[words[3]] = true
		case strings.Contains(text, ": ends under "):
			if first.IsZero() {
				first = at
			}
			if found.ends++; found.ends == 5 {
				fifth = at
			}
		}
	}
	for id, at := range sentAt {
		count := &found.beside
		switch {
		case first.IsZero() || at.Before(first.Add(-time.Second)):
			count = &found.before
		case fifth.IsZero() || at.Sub(fifth) < 2*stableWindow || at.After(lastLethal):
			continue
		}
		count.sent++
		if began[id] {
			count.began++
		}
	}
	return found, lines.Err()
}

// playDark: engines that begin to answer a request with the part go dark, and are back after four
// seconds. Without the disruption their processes end at once.
func playDark(w *world) int {
	var flags []string
	if w.isTrouble {
		flags = []string{"-dark", darkTime.String()}
	}
	p, ok := startLethal(w, flags...)
	if !ok {
		return exitNotRun
	}
	time.Sleep(6 * time.Second)
	for range 5 {
		p.sendLethal()
		time.Sleep(100 * time.Millisecond)
	}
	for range 28 {
		time.Sleep(2 * time.Second)
		p.sendLethal()
	}
	time.Sleep(3 * time.Second)
	return p.judge()
}

// playHerd: after the hosts have learned the part, the processes of all hosts are killed at the same
// moment, and started again. Without the disruption they run on.
func playHerd(w *world) int {
	p, ok := startLethal(w)
	if !ok {
		return exitNotRun
	}
	time.Sleep(4 * time.Second)
	for range 6 {
		p.sendLethal()
	}
	for range 5 {
		time.Sleep(2 * time.Second)
		p.sendLethal()
	}
	time.Sleep(2 * time.Second)
	if w.isTrouble {
		for _, h := range p.hosts {
			w.signal(h.name, syscall.SIGKILL)
		}
		time.Sleep(time.Second)
	}
	if !w.areReady(p.hosts) {
		return exitNotRun
	}
	time.Sleep(stableWindow + time.Second)
	for range 20 {
		p.sendLethal()
		time.Sleep(2 * time.Second)
	}
	return p.judge()
}
