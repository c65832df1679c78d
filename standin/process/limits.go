package process

import "golang.org/x/sys/unix"

// Limits bound an operating system process. The zero value sets none.
type Limits struct {
	// FileDescriptors is the highest number of open descriptors, unless this process has a
	// lower limit; 0 leaves it as it is.
	FileDescriptors uint64
}

// set sets the limits of a process that runs.
func (l Limits) set(pid int) error {
	if l.FileDescriptors == 0 {
		return nil
	}
	var present unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &present); err != nil {
		return err
	}
	descriptors := min(l.FileDescriptors, present.Max)
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil)
}
