package driver

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

// A server that leaves or pauses gets one line in the log and is counted, however often it
// says so.
func TestNoticesAreLoggedAndCountedOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		request       fuchsiapitch.RequestID
		notice        fuchsiapitch.ServerNotice
		line, counted string
	}{
		"leaving": {
			"r1",
			fuchsiapitch.ServerNotice{Leaving: true},
			`{"level":"info","server":"s","started":5,"list-offset":9,"request":"r1","message":"server says that it leaves"}`, `fuchsiapitch_servers_set_aside_total{reason="leaving"} 1`,
		},
		"leaving, said to a probe": {
			"",
			fuchsiapitch.ServerNotice{Leaving: true},
			`{"level":"info","server":"s","started":5,"list-offset":9,"message":"server says that it leaves"}`, `fuchsiapitch_servers_set_aside_total{reason="leaving"} 1`,
		},
		"pause": {
			"r1",
			fuchsiapitch.ServerNotice{Pause: 1500 * time.Millisecond},
			`{"level":"info","server":"s","started":5,"list-offset":9,"request":"r1","pause-ms":1500,"message":"server pauses"}`, `fuchsiapitch_servers_set_aside_total{reason="pause"} 1`,
		},
		"nothing": {"r1", fuchsiapitch.ServerNotice{}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var log, metrics bytes.Buffer
			var socket net.PacketConn
			m := meter.New()
			servers := &slowServers{}
			d := New(t.Context(), coordinator.New(coordinator.Peer{ID: "a"}, 1), servers, servers, socket, WithLogger(zerolog.New(&log)), WithMeter(m))
			d.Apply(coordinator.ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "s", StartedUnixMillis: 5}}, Offset: 9})
			for range 3 {
				d.RecordNotice("s", tc.request, tc.notice)
			}
			if got, want := strings.TrimSpace(log.String()), tc.line; got != want {
				t.Errorf("got log %s, want %s", got, want)
			}
			m.Write(&metrics)
			if got, want := metrics.String(), tc.counted; !strings.Contains(got, want) {
				t.Errorf("got metrics without %s", want)
			}
		})
	}
}

// Guards against a pause that outlasts a suspension of the process, in which its clock stands
// still, and against one that a delay between two clock readings ends early.
func TestSuspensionShortensPause(t *testing.T) {
	const pause = time.Minute
	for suspendedFor, want := range map[time.Duration]time.Duration{
		0: pause, suspensionThreshold: pause, -pause: pause, pause / 2: pause / 2, 2 * pause: 0,
	} {
		servers := &slowServers{}
		var socket net.PacketConn
		d := New(t.Context(), coordinator.New(coordinator.Peer{ID: "a"}, 1), servers, servers, socket)
		d.Apply(coordinator.ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "s", StartedUnixMillis: 5}}})
		d.RecordNotice("s", "r1", fuchsiapitch.ServerNotice{Pause: pause})
		d.tick(suspendedFor)
		const tolerance = 20 * time.Second // A slow machine takes a part of it.
		if got := d.View().Servers[0].PausedFor; got > want+time.Second || got < want-tolerance {
			t.Errorf("got a pause of %v after a suspension of %v, want %v", got, suspendedFor, want)
		}
	}
}
