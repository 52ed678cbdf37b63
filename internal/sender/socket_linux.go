package sender

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// readState reports whether a connection was reset, timed out or closed, and whether the server has acknowledged
// all bytes that were written to it. A reset shows also if its error was reported to another goroutine.
func readState(c *net.TCPConn) (isReset, isAcknowledged bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return true, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil:
		return true, false
	case infoErr != nil:
		// A kernel that does not tell the state leaves each end an orderly one.
		return false, true
	}
	return info.State == unix.BPF_TCP_CLOSE, info.Unacked == 0 && info.Notsent_bytes == 0
}

// clearUserTimeout lets the kernel keep a connection on which the server acknowledges that it lives, but has no
// room for more. That cannot fail but for a closed connection.
func clearUserTimeout(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, 0) })
}
