// Package measure reads what a process has used, for the benchmarks that give
// the slopes of package capacity.
package measure

import (
	"runtime"
	"syscall"
	"time"
)

// Heap returns the bytes of live objects on the heap after a collection.
func Heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Processor returns the processor time that this process has used. Unlike the
// time that passed, it hardly grows when the machine is shared with others.
func Processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
