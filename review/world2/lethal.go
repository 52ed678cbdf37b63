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

// judge counts the requests with the part.
func (p *lethalPlay) judge() int {
	p.stop.Store(true)
	p.clients.Wait()
	w := p.world
	ends, counted, err := countLethal(w.recordPath)
	if err != nil {
		return exitNotRun
	}
	text := fmt.Sprintf("%d requests with the part were sent, %d engines ended under it; %d such requests reached engines later than %s after the fifth end, sent by hosts in touch (%d are allowed); of the sound requests %d were served, %d not",
		p.sent, ends, counted, stableWindow, maxLethal, p.served.Load(), p.failed.Load())
	w.note("check", "%s", text)
	fmt.Println(text)
	switch {
	case ends < 5 || p.served.Load() < 50:
		return exitNotRun
	case counted > maxLethal:
		return exitBroken
	}
	return exitHeld
}

// countLethal returns the number of engines that have ended under the part, and of the requests with
// the part that reached engines later than the stable window after the fifth end. Both cases send
// such requests only to hosts that have run for longer than the stable window.
func countLethal(path string) (ends, counted int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, 0, err
	}
	defer f.Close()
	var fifth time.Time
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		stamp, text, _ := strings.Cut(lines.Text(), " ")
		at, err := time.Parse("15:04:05.000", stamp)
		switch {
		case err != nil:
		case strings.Contains(text, "lethal=true"):
			if !fifth.IsZero() && at.Sub(fifth) > stableWindow {
				counted++
			}
		case strings.Contains(text, ": ends under "):
			if ends++; ends == 5 {
				fifth = at
			}
		}
	}
	return ends, counted, lines.Err()
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
