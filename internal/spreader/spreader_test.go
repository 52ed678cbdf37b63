package spreader

import (
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
