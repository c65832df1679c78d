package httptarget

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel close a connection whose written bytes stay
// unacknowledged for timeout. Without it, the kernel retransmits a request to an
// unreachable peer for many minutes.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
