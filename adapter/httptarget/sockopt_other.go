//go:build !linux

package httptarget

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT, where only
// keepalive detects an unreachable peer.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
