package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/spreader"
)

// Guards against seconds in which no live host renews its long poll, because the turns of a data
// centre that is gone follow each other. A silent poll has to be found within the stable window (3 s),
// less the silence of the poll that ends first (0.5 s) and the resync of the hosts that hear of it
// (0.8 s).
func TestLongPollsEndInTurnsWithoutDataCentre(t *testing.T) {
	const limit = 3*time.Second - 500*time.Millisecond - 800*time.Millisecond
	for _, hostsPerDataCentre := range []int{2, 6, 10, 30, 100} {
		t.Run(fmt.Sprintf("%d hosts in each of 3 data centres", hostsPerDataCentre), func(t *testing.T) {
			var all []Peer
			for _, dc := range []string{"alajuela", "cartago", "heredia"} {
				for n := range hostsPerDataCentre {
					id := fuchsiapitch.HostID(fmt.Sprintf("front-%s-%d", dc, n+1))
					all = append(all, Peer{ID: id, Address: string(id), DataCentre: fuchsiapitch.DataCentreName(dc), Capacity: 1})
				}
			}
			start := time.Unix(1_700_000_000, 0)
			var ends []time.Duration
			// The first data centre is gone; its hosts stay in the list.
			for _, self := range all[hostsPerDataCentre:] {
				c := New(self, 1, WithDataCentre(self.DataCentre))
				c.Apply(0, PeersListed{Peers: all})
				now := 20 * time.Second
				for _, p := range all[hostsPerDataCentre:] {
					if p.ID != self.ID {
						c.Apply(now, HeartbeatReceived{Heartbeat: Heartbeat{From: p, Incarnation: 1, Sequence: 1}})
					}
				}
				rank, hosts := c.Turn(now)
				for end := start; end.Sub(start) < 30*time.Second; {
					end = end.Add(spreader.PollWait(end, hosts, rank))
					ends = append(ends, end.Sub(start))
				}
			}
			slices.Sort(ends)
			previous, longest := time.Duration(0), time.Duration(0)
			for _, end := range ends {
				if end > 30*time.Second {
					break
				}
				longest = max(longest, end-previous)
				previous = end
			}
			t.Logf("longest time without an end of a poll: %s", longest)
			if longest > limit {
				t.Errorf("got no end of a poll for %s, want one within %s", longest, limit)
			}
		})
	}
}
