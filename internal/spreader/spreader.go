// Package spreader spreads the reads of the hosts of a cluster over time. It keeps no state and reads
// no clock.
//
// The first reads of the server list are spread when many hosts start at once, as after a loss of power.
// A list grows with the cluster, and so does the number of hosts that read it: at 300 hosts with ten
// servers each the store would send 300 MB. Reads that overtax the store time out and are
// repeated, so that nobody gets a list for long. A host needs no list of its own if a relay that has
// read one sends it a directory first.
//
// Long polls are spread so that the hosts take turns in renewing them. A poll whose connection delivers
// nothing any more looks like one without news. A host whose turn has come finds out, and tells the
// others what it has missed.
package spreader

import (
	"math"
	"time"
)

const (
	// spacingPerHost is what each host of the cluster adds to the time between two first reads. It
	// lets hosts read 3 KB for each host of the cluster from a store that sends 80 MB a second.
	spacingPerHost = 40 * time.Microsecond
	// maxDelay bounds the delay of a read.
	maxDelay = 3 * time.Second
	// turnInterval is the time between the ends of two long polls in a cluster. With the detection of
	// a silent poll and the news to the other hosts it must stay within the time in which a new
	// configuration has to be in force, also if some hosts are gone.
	turnInterval = 500 * time.Millisecond
	// maxPollWait bounds the wait of a long poll, and minPollWait is the shortest one.
	maxPollWait = 15 * time.Second
	minPollWait = 100 * time.Millisecond
)

// Delay returns how long after its start a host waits for a directory before it reads the list itself.
// rank is the number of hosts of its data centre that read before it, and hosts the size of the
// cluster, whose data centres all read.
func Delay(hosts, dataCentres, rank int) time.Duration {
	if rank <= 0 || hosts <= 0 || dataCentres <= 0 {
		return 0
	}
	return min(maxDelay, time.Duration(hosts)*time.Duration(dataCentres)*time.Duration(rank)*spacingPerHost)
}

// PollWait returns how long a long poll that starts now waits for news, at least minPollWait. rank is
// the number of hosts whose turn comes before that of this host, and hosts the size of the cluster.
// All hosts derive their turns from the time of day, so that they stay apart whenever they start.
// A clock that is wrong moves the turn of its host alone.
func PollWait(now time.Time, hosts, rank int) time.Duration {
	hosts = max(hosts, 1)
	cycle := min(time.Duration(hosts)*turnInterval, maxPollWait)
	turn := cycle * time.Duration(rank*turnStride(hosts)%hosts) / time.Duration(hosts)
	wait := (turn - time.Duration(now.UnixNano()%int64(cycle)) + cycle) % cycle
	if wait < minPollWait {
		wait += cycle
	}
	return wait
}

// turnStride returns the number of turns between two hosts that follow each other by rank. It has no
// divisor in common with the number of hosts, so that no two hosts share a turn. By the golden ratio,
// the turns of hosts with successive ranks are spread over the cycle: those of a data centre that is
// gone leave gaps of a few turns.
func turnStride(hosts int) int {
	const inverseGoldenRatio = 0.618
	stride := max(1, int(math.Round(inverseGoldenRatio*float64(hosts))))
	for greatestCommonDivisor(stride, hosts) > 1 {
		stride++
	}
	return stride
}

func greatestCommonDivisor(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
