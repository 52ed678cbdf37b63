//go:build review

package world

import (
	"fmt"
	"sync"
	"time"
)

const (
	// soundPart is the first part of the prompts of all requests.
	soundPart = "5c1e07a2"
	// soundInterval and lethalPace are the times between two sound requests and between two
	// requests with the lethal part, over all hosts.
	soundInterval = 900 * time.Millisecond
	lethalPace    = 500 * time.Millisecond
	// baseline is how long sound requests come alone, beside how long both kinds come.
	baseline = 24 * time.Second
	beside   = 36 * time.Second
)

// scriptSound kills all processes at once, which start again, and then lets requests with one
// lethal part come beside sound ones that share the first part of the prompt. Without trouble
// no process is killed, and the rest is the same. The rule is LOST: sound requests begin to run
// at least half as often as before.
func scriptSound(w *world, trouble bool) int {
	w.startInstallation()
	fleet := w.installation.Fleet
	for d := 2; d < 5; d++ {
		for n := range 6 {
			if _, err := fleet.StartServer(fmt.Sprintf("e%d%d", d, n), "llm", fmt.Sprintf("domain-%d", d)); err != nil {
				panic(cannotRun{err.Error()})
			}
		}
	}
	var hosts []*host
	for n := range 3 {
		hosts = append(hosts, w.settingsOf(fmt.Sprintf("front-%d", n+1)))
		w.start(hosts[n])
	}
	w.awaitReady(15*time.Second, hosts...)
	if !await(20*time.Second, func() bool { return fleet.CompleteGroups() >= 10 }) {
		panic(cannotRun{"the groups do not open"})
	}
	var senders sync.WaitGroup
	sendAll := func(kind string, first int, interval, length time.Duration, parts ...string) {
		defer senders.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
			senders.Add(1)
			go func() {
				defer senders.Done()
				own := fmt.Sprintf("%08x", time.Now().UnixNano()&0xffffffff)
				w.sendPrompt(hosts[(first+n)%len(hosts)], fmt.Sprintf("%s-%d-%s", kind, n, own), append(parts[:len(parts):len(parts)], own)...)
			}()
			<-ticker.C
		}
	}
	senders.Add(1)
	sendAll("before", 0, soundInterval, baseline, soundPart)
	senders.Wait()
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, h := range hosts {
			w.kill(h)
		}
		for _, h := range hosts {
			w.start(h)
		}
	}
	w.awaitReady(15*time.Second, hosts...)
	// The groups go on while the hosts start.
	time.Sleep(300 * time.Millisecond)
	fleet.SetLethalPart(lethalPart)
	senders.Add(2)
	go sendAll("lethal", 0, lethalPace, beside, soundPart, lethalPart)
	go func() {
		time.Sleep(soundInterval)
		sendAll("sound", 1, soundInterval, beside-soundInterval, soundPart)
	}()
	senders.Wait()
	violations := fleet.CheckSoundRequests(lethalPart)
	for _, v := range violations {
		w.note("BROKEN: %s", v)
	}
	before, besideCount := fleet.ComparedRequests(lethalPart)
	w.note("%d servers ended under the part; %d sound requests before and %d beside are compared", fleet.LethalCrashes(lethalPart), before, besideCount)
	switch {
	case len(violations) > 0:
		return exitBroken
	case before < 20 || besideCount < 20:
		panic(cannotRun{"too few sound requests to compare"})
	}
	return exitHeld
}
