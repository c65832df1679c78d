//go:build !linux

package httptarget

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing where the system has no such option; keepalive
// then finds a peer that is gone.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
