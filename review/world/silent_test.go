//go:build review

package world

import (
	"fmt"
	"sync"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	stableWindow = 3 * time.Second
	configBound  = 2 * time.Second
)

// scriptSilent makes all open connections to the store go silent at one moment, without a
// reset; new ones work. Shortly afterwards the operator moves a route to another service.
// Without trouble the connections go on. The rule is CONFIG: a request that is sent later than
// two seconds after the store has accepted the version is not run by the old service, by
// machines in touch, which they are again three seconds after the silence.
func scriptSilent(w *world, trouble bool) int {
	w.startInstallation()
	var servers []*serverProcess
	stop := make(chan struct{})
	defer close(stop)
	defer func() {
		for _, s := range servers {
			s.kill()
		}
	}()
	for n := range 2 {
		s := w.startServer(fmt.Sprintf("till-%d", n))
		servers = append(servers, s)
		go w.announce(s, stop)
	}
	moved := func(service string) map[string]any {
		r := route("moved", "/moved/", "non_idempotent", 1)
		r["service"] = service
		return r
	}
	w.publish(2, moved(standin.PlainService))
	var hosts []*host
	for n := range 6 {
		h := w.settingsOf(fmt.Sprintf("front-%d", n+1))
		hosts = append(hosts, h)
		w.start(h)
	}
	w.awaitReady(15*time.Second, hosts...)
	time.Sleep(10 * time.Second)
	silentAt := time.Now()
	if trouble {
		for _, h := range hosts {
			w.installation.StoreEndpoint(h.name).SilenceConnections()
		}
		w.note("all open connections to the store are silent")
	}
	time.Sleep(500 * time.Millisecond)
	w.publish(3, moved(tillService))
	acceptedAt := time.Now()
	w.note("version 3 is accepted")
	boundFrom := silentAt.Add(stableWindow)
	if b := acceptedAt.Add(configBound); b.After(boundFrom) {
		boundFrom = b
	}
	var mutex sync.Mutex
	broken, kept := 0, 0
	var senders sync.WaitGroup
	for _, h := range hosts {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for n := 0; time.Since(silentAt) < 15*time.Second; n++ {
				id := fmt.Sprintf("moved-%s-%d", h.name, n)
				sentAt := time.Now()
				r := send(h.clients, clientRequest{
					id: id, method: "POST", hostName: tillHost, path: "/moved/x", body: []byte("order of " + id), timeLimit: 3 * time.Second,
					header: map[string]string{"X-Credential": standin.APIKey},
				})
				isOld := w.installation.Fleet.Server("p0").RunCount(id)+w.installation.Fleet.Server("p1").RunCount(id) > 0
				mutex.Lock()
				verdict := ""
				switch {
				case !sentAt.After(boundFrom):
				case isOld:
					broken++
					verdict = fmt.Sprintf("BROKEN: run by the old service, sent %s after the ack and %s after the silence", sentAt.Sub(acceptedAt).Round(time.Millisecond), sentAt.Sub(silentAt).Round(time.Millisecond))
				default:
					kept++
				}
				mutex.Unlock()
				w.note("%s: status %d, old service %t %s", id, r.status, isOld, verdict)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	senders.Wait()
	w.note("%d requests after the bound run by the old service, %d not", broken, kept)
	switch {
	case broken > 0:
		return exitBroken
	case kept < 20:
		panic(cannotRun{"too few requests"})
	}
	return exitHeld
}
