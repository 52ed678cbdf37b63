package platformassembler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	standin "github.com/fuchsiapitch/fuchsiapitch/internal/standin/platform"
)

const (
	// soakGrace is the grace period in the settings of the stand-in.
	soakGrace = 8 * time.Second
	// lateWorkStart and lateSend are the times after the stop of a host from which on the
	// server of a stream may still be at work, and until which its request must have been
	// sent, so that the end of the stop may cut it off.
	lateWorkStart = soakGrace * 5 / 6
	lateSend      = 3 * time.Second
	// soundPeriod is the shortest time between two silences of one server. Two in a row would
	// be one that is longer than those of sound servers.
	soundPeriod = 3 * time.Second
	// maxSilentServers is the number of servers that fall silent at once.
	maxSilentServers = 4
)

// soakSilences are the times for which servers are silent in the soak.
var soakSilences = []time.Duration{500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 1600 * time.Millisecond, longestSilence}

// fallSilent makes one or several of the servers silent at a time. Half of the silences accept
// connections.
func (s *soak) fallSilent(ctx context.Context, rng *rand.Rand, servers []string) {
	for s.pause(ctx, rng, 300*time.Millisecond, 2500*time.Millisecond) {
		d, connectable, n := soakSilences[rng.IntN(len(soakSilences))], rng.IntN(2) == 0, 1
		if rng.IntN(3) == 0 {
			n += rng.IntN(maxSilentServers)
		}
		for _, k := range rng.Perm(len(servers))[:min(n, len(servers)-1)] {
			if s.silentUntil(servers[k]).Add(soundPeriod).After(time.Now()) {
				continue
			}
			server := s.Fleet.Server(servers[k])
			go server.FallSilent(d, connectable)
			s.count("silences")
		}
	}
}

// silentUntil returns the end of the last silence of a server, the zero time for none.
func (s *soak) silentUntil(server string) time.Time {
	var end time.Time
	for _, silence := range s.Fleet.Silences() {
		if silence.Server == server {
			end = silence.End
		}
	}
	return end
}

// departServers makes one server of each domain and a plain server announce that they leave.
// They serve on, so that nothing that runs at them has to end.
func (s *soak) departServers(ctx context.Context, rng *rand.Rand) {
	for _, id := range []string{fmt.Sprintf("e0%d", rng.IntN(6)), fmt.Sprintf("p%d", rng.IntN(2)), fmt.Sprintf("e1%d", rng.IntN(6))} {
		if !s.pause(ctx, rng, time.Second, 5*time.Second) {
			return
		}
		s.Fleet.Server(id).StartDraining()
		s.count("departures")
	}
}

// removeSoakParts removes or lowers what requests need: a route, the spare service, the key,
// the attempts and time-outs of routes, or the weights of services.
func removeSoakParts(rng *rand.Rand, document map[string]any) {
	routes := document["routes"].([]any)
	stream := routes[0].(map[string]any)
	stream["max_attempts"] = 1 + rng.IntN(3)
	switch rng.IntN(8) {
	case 0:
		stream["path_prefix"] = "/moved" + standin.StreamPathPrefix
	case 1:
		document["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{"key-other"}
	case 2:
		routes[1].(map[string]any)["timeout_ms"] = 3000
	case 3:
		routes[2].(map[string]any)["path_prefix"] = "/moved" + standin.LookPathPrefix
	case 4:
		routes[2].(map[string]any)["backends"] = []any{
			map[string]any{"service": standin.PlainService, "weight": rng.IntN(3)}, map[string]any{"service": spareService, "weight": 1},
		}
	case 5:
		for _, r := range routes[1:] {
			r.(map[string]any)["service"] = standin.PlainService
		}
		document["services"] = slices.DeleteFunc(document["services"].([]any), func(s any) bool { return s.(map[string]any)["name"] == spareService })
	}
}

// isAtWorkAtEnd reports whether the end of a stop may have cut a stream off: it was sent soon
// after the stop, and the server with which it began was at work in the last sixth of the grace
// period and not silent.
func (s *soak) isAtWorkAtEnd(conn *soakConnection, r *soakRequest, f *soakFailure, stopped time.Time) bool {
	if f.sent.Sub(stopped) > lateSend || conn.answered.Sub(stopped) < lateWorkStart {
		return false
	}
	failures := 0
	for _, line := range s.log.find(strconv.Quote(r.id)) {
		if strings.Contains(line, "attempt of a stream failed") {
			failures++
		}
	}
	if failures > 1 {
		return false
	}
	for _, silence := range s.Fleet.Silences() {
		if silence.Server == f.server && silence.Start.Before(conn.answered) && silence.End.After(stopped.Add(lateWorkStart)) {
			return false
		}
	}
	return true
}

// describeSilences returns the silences within a time, with their times since its start.
func (s *soak) describeSilences(start, end time.Time) string {
	var list []string
	for _, silence := range s.Fleet.Silences() {
		if silence.Start.Before(end) && silence.End.After(start) {
			list = append(list, fmt.Sprintf("%s from %s for %s, connectable %v", silence.Server, silence.Start.Sub(start).Round(time.Millisecond),
				silence.End.Sub(silence.Start), silence.Connectable))
		}
	}
	return "[" + strings.Join(list, "; ") + "]"
}
