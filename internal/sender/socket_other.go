//go:build !linux

package sender

import (
	"net"
	"syscall"
	"time"
)

// withUserTimeout returns no control function, since TCP_USER_TIMEOUT exists only on
// Linux; the default of the operating system applies.
func withUserTimeout(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}

// readState takes each end of a connection that is not closed here for an orderly one, since only Linux tells.
func readState(c *net.TCPConn) (isReset, isAcknowledged bool) {
	raw, err := c.SyscallConn()
	return err != nil || raw.Control(func(uintptr) {}) != nil, true
}

// clearUserTimeout does nothing, since there is no such time-out.
func clearUserTimeout(*net.TCPConn) {}
