// Package spreader spreads the first reads of the server list over time when many hosts start at
// once, as after a loss of power. It keeps no state and reads no clock.
//
// A list grows with the cluster, and so does the number of hosts that read it: at 300 hosts with ten
// servers each the store would send 300 MB. Reads that overtax the store time out and are
// repeated, so that nobody gets a list for long. A host needs no list of its own if a relay that has
// read one sends it a directory first.
package spreader

import "time"

const (
	// spacingPerHost is what each host of the cluster adds to the time between two first reads. It
	// lets hosts read 3 KB for each host of the cluster from a store that sends 80 MB a second.
	spacingPerHost = 40 * time.Microsecond
	// maxDelay bounds the delay of a read.
	maxDelay = 3 * time.Second
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
