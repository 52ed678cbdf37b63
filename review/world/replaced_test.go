//go:build review

package world

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	// replacedHosts is how many machines are replaced one after the other, liveHosts how many
	// there are at any time.
	replacedHosts = 60
	liveHosts     = 6
	lethalPart    = "dead0001"
	// lethalInterval is the time between two requests with the lethal part, over all hosts.
	lethalInterval = 4 * time.Second
	lethalRequests = 12
)

// scriptReplaced replaces machines one after the other, each by a new one at another address,
// and then lets requests with one lethal part arrive at the machines in turn. Without trouble
// no machine is replaced, and the rest is the same. The rule is BUDGET: at most three requests with the part reach
// servers that are sent later than the stable window after the fifth crash.
func scriptReplaced(w *world, trouble bool) int {
	w.startInstallation()
	fleet := w.installation.Fleet
	var live []*host
	next := 0
	startNext := func() *host {
		next++
		h := w.settingsOf(fmt.Sprintf("front-z1-%d", next))
		w.start(h)
		return h
	}
	for range liveHosts {
		live = append(live, startNext())
	}
	w.awaitReady(15*time.Second, live...)
	if !await(20*time.Second, func() bool { return fleet.CompleteGroups() >= 4 }) {
		panic(cannotRun{"the groups do not open"})
	}
	if trouble {
		for range count("REVIEW_REPLACED", replacedHosts) {
			added := startNext()
			w.awaitReady(15*time.Second, added)
			w.kill(live[0])
			live = append(live[1:], added)
		}
	}
	w.note("machines in use: %s", names(live))
	// All machines are in touch from here on: none is disturbed any more.
	time.Sleep(6 * time.Second)
	if !await(10*time.Second, func() bool { return fleet.CompleteGroups() >= 4 }) {
		panic(cannotRun{"the groups do not stay open"})
	}
	stopSound := make(chan struct{})
	var senders sync.WaitGroup
	for _, h := range live {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := 0; ; n++ {
				select {
				case <-stopSound:
					return
				case <-time.After(300 * time.Millisecond):
				}
				w.sendPrompt(h, fmt.Sprintf("sound-%s-%d", h.name, n), "5c1e07a2", "91bd3f06", fmt.Sprintf("e%07x", n))
			}
		}()
	}
	time.Sleep(5 * time.Second)
	fleet.SetLethalPart(lethalPart)
	var lethal sync.WaitGroup
	for n := range lethalRequests {
		h := live[n%len(live)]
		lethal.Add(1)
		go func() {
			defer lethal.Done()
			w.sendPrompt(h, fmt.Sprintf("lethal-%s-%d", h.name, n), "5c1e07a2", lethalPart, fmt.Sprintf("f%07x", n))
		}()
		time.Sleep(lethalInterval)
	}
	lethal.Wait()
	close(stopSound)
	senders.Wait()
	broken := 0
	for _, v := range append(fleet.Violations(), fleet.CheckSoundRequests(lethalPart)...) {
		w.note("violation: %s", v)
		if strings.HasPrefix(v, "BUDGET:") {
			broken++
		}
	}
	w.note("%d servers ended under the part; %d arrivals beyond the third", fleet.LethalCrashes(lethalPart), broken)
	for _, h := range live {
		if h.hasEnded() {
			panic(cannotRun{"host " + h.name + " has ended"})
		}
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// count returns the number in a variable of the environment, or a default if there is none.
func count(variable string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return otherwise
}

func names(hosts []*host) string {
	var list []string
	for _, h := range hosts {
		list = append(list, h.name)
	}
	return strings.Join(list, " ")
}

// sendPrompt sends a request for a stream with the parts of a prompt to a host.
func (w *world) sendPrompt(h *host, id string, parts ...string) result {
	w.installation.Fleet.RecordSent(id, h.name, parts)
	r := send(h.clients, clientRequest{
		id: id, method: "POST", hostName: standin.HostName, path: standin.StreamPathPrefix + "x", body: []byte("prompt of " + id), timeLimit: 8 * time.Second,
		header: map[string]string{
			"X-Credential": standin.APIKey, "X-Model": standin.LargeModel, "X-Token-Usage": "20,120",
			"X-Prompt-Prefix": strings.Join(parts, ":10,") + ":10",
		},
	})
	w.note("%s at %s: status %d, %d bytes, error %v, after %s", id, h.name, r.status, len(r.body), r.err, r.elapsed.Round(time.Millisecond))
	return r
}
