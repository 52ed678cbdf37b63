package spreader

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// storeBytesPerSecond is what the store sends at most, and listBytesPerHost what each host adds to a
// list: ten servers of 300 bytes.
const storeBytesPerSecond, listBytesPerHost = 80e6, 3000

// Load: all hosts of some data centres start at once.
func TestDelayKeepsReadsWithinTheStore(t *testing.T) {
	for _, dataCentres := range []int{1, 3, 5} {
		for _, hosts := range []int{30, 90, 150} {
			read := 0.0
			for rank := range hosts / dataCentres {
				if d := Delay(hosts, dataCentres, rank); d > 0 && read > d.Seconds()*storeBytesPerSecond {
					t.Errorf("got %.0f bytes for the first %v of %d hosts, want at most %.0f", read, d, hosts, d.Seconds()*storeBytesPerSecond)
				}
				read += float64(dataCentres * hosts * listBytesPerHost)
			}
		}
	}
}

func TestDelayIsBounded(t *testing.T) {
	for _, c := range []struct {
		hosts, dataCentres, rank int
		want                     time.Duration
	}{{0, 3, 0, 0}, {1, 1, 0, 0}, {300, 3, 0, 0}, {300, 3, -1, 0}, {0, 3, 5, 0}, {100, 0, 10, 0}, {100, 3, 10, 120 * time.Millisecond}, {10000, 3, 9999, maxDelay}} {
		if got := Delay(c.hosts, c.dataCentres, c.rank); got != c.want {
			t.Errorf("got %v for rank %d of %d hosts in %d data centres, want %v", got, c.rank, c.hosts, c.dataCentres, c.want)
		}
	}
}

// Guards against a cluster in which no host renews its long poll for seconds, so that nobody finds out
// that the connections of the polls deliver nothing any more.
func TestLongPollsEndInTurns(t *testing.T) {
	const steps = 97
	start := time.Unix(1_700_000_000, 0)
	for _, hosts := range []int{1, 2, 3, 6, 17, 30, 86, 300, 1000} {
		longest := time.Duration(0)
		for step := range steps {
			// All hosts start a poll when they have received news.
			news := start.Add(time.Duration(step) * 173 * time.Millisecond)
			ends := map[time.Duration]bool{}
			for rank := range hosts {
				for end := news; end.Sub(news) < 2*maxPollWait; {
					end = end.Add(PollWait(end, hosts, rank))
					ends[end.Sub(news)] = true
				}
			}
			previous := time.Duration(0)
			for _, end := range slices.Sorted(maps.Keys(ends)) {
				if end > 2*maxPollWait {
					break
				}
				longest = max(longest, end-previous)
				previous = end
			}
		}
		if want := turnInterval + minPollWait; longest > want {
			t.Errorf("%d hosts: got no end of a poll for %s, want one every %s", hosts, longest, want)
		}
	}
}

func TestPollWaitIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 123_456_789)
	for _, hosts := range []int{0, 1, 6, 40, 1000} {
		for rank := range max(hosts, 1) {
			if got := PollWait(now, hosts, rank); got < minPollWait || got > maxPollWait+minPollWait {
				t.Errorf("got %s for rank %d of %d hosts, want %s to %s", got, rank, hosts, minPollWait, maxPollWait+minPollWait)
			}
		}
	}
}
