//go:build review

package world

import (
	"fmt"
	"strings"
	"sync"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	tillServers = 6
	crashes     = 12
)

// scriptUnframed lets servers crash while they answer without a length and without chunks. One
// of six servers crashes at a time and starts again. Without trouble none crashes. The rule is
// MIXED: a success has the whole body of the server, and ORDER for streams.
func scriptUnframed(w *world, trouble bool) int {
	w.startInstallation()
	w.publish(2, route("till", "/till/", "non_idempotent", 1), route("feed", "/feed/", "streaming", 2))
	stop := make(chan struct{})
	servers := make([]*serverProcess, tillServers)
	stops := make([]chan struct{}, tillServers)
	starting := func(n int) {
		servers[n], stops[n] = w.startServer(fmt.Sprintf("till-%d", n)), make(chan struct{})
		go w.announce(servers[n], stops[n])
	}
	for n := range servers {
		starting(n)
	}
	defer func() {
		for _, s := range servers {
			s.kill()
		}
	}()
	hosts := []*host{w.settingsOf("front-1"), w.settingsOf("front-2"), w.settingsOf("front-3")}
	for _, h := range hosts {
		w.start(h)
	}
	w.awaitReady(15*time.Second, hosts...)
	time.Sleep(2 * time.Second)
	var mutex sync.Mutex
	whole, brokenBodies, brokenStreams, others := 0, 0, 0, 0
	var senders sync.WaitGroup
	for n := range 6 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				path, id := "/till/x", fmt.Sprintf("till-%d-%d", n, k)
				if k%2 == 1 {
					path, id = "/feed/x", fmt.Sprintf("feed-%d-%d", n, k)
				}
				r := send(hosts[n%len(hosts)].clients, clientRequest{
					id: id, method: "POST", hostName: tillHost, path: path, body: []byte("order of " + id), timeLimit: 3 * time.Second,
					header: map[string]string{"X-Credential": standin.APIKey},
				})
				want := piece(id, path, 1) + piece(id, path, 2)
				mutex.Lock()
				verdict := "no success"
				switch {
				case r.status != 200 || r.err != nil:
					others++
				case string(r.body) == want:
					whole++
					verdict = "whole"
				case strings.HasPrefix(path, "/feed/"):
					brokenStreams++
					verdict = "BROKEN: complete stream without its last piece"
				default:
					brokenBodies++
					verdict = "BROKEN: success without the whole body"
				}
				mutex.Unlock()
				w.note("%s: status %d, error %v, %d of %d bytes, seal %q: %s", id, r.status, r.err, len(r.body), len(want), r.header.Get("X-Response-Seal"), verdict)
			}
		}()
	}
	for n := range crashes {
		time.Sleep(2 * time.Second)
		if !trouble {
			continue
		}
		k := n % tillServers
		w.note("server %s crashes", servers[k].id)
		close(stops[k])
		servers[k].kill()
		time.Sleep(time.Second)
		starting(k)
	}
	time.Sleep(time.Second)
	close(stop)
	senders.Wait()
	w.note("%d whole answers, %d successes without the whole body, %d complete streams without their last piece, %d others", whole, brokenBodies, brokenStreams, others)
	switch {
	case whole < 20:
		panic(cannotRun{"too few requests were served"})
	case brokenBodies+brokenStreams > 0:
		return exitBroken
	}
	return exitHeld
}
