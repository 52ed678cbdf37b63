//go:build !linux

package sender

import (
	"syscall"
	"time"
)

// limitUnacknowledged leaves the limit to the system, which has no such option.
func limitUnacknowledged(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
