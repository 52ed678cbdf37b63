package sender

import (
	"syscall"
	"time"
)

// tcpUserTimeoutOption is the number of the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeoutOption = 18

// withUserTimeout returns a socket control function that sets TCP_USER_TIMEOUT: the
// kernel closes a connection whose data was not acknowledged within the timeout.
func withUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
