package abuse

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/guavarill/guavarill/standin/process"
)

const (
	// watchInterval is the time between two looks at the memory of the daemons.
	watchInterval = 20 * time.Millisecond
	// unreadEvery is of how many looks one reads the socket buffers too. The list of
	// sockets has thousands of lines.
	unreadEvery = 10
	// restartPause is the time after which the platform starts a daemon again.
	restartPause = 500 * time.Millisecond
)

// watch measures the memory of daemons, and ends those that exceed the memory of their VM.
type watch struct {
	daemons []*watched
	bounded bool
	done    chan struct{}
	ended   sync.WaitGroup

	// mu protects what was seen.
	mu sync.Mutex
}

// reset forgets what was seen.
func (w *watch) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.daemons {
		d.peakResident, d.peakUnread, d.exceeded, d.exits = 0, 0, 0, 0
	}
}

// watched is one daemon and the most memory that it had, in bytes.
type watched struct {
	*process.Process
	// socketAddress is the daemon's address as the kernel's list of sockets writes it.
	socketAddress            string
	unread                   int64
	peakResident, peakUnread int64
	exceeded, exits          int
}

func startWatch(daemons []*process.Process, bounded bool) *watch {
	w := &watch{bounded: bounded, done: make(chan struct{})}
	for _, p := range daemons {
		w.daemons = append(w.daemons, &watched{Process: p, socketAddress: socketAddress(p.Settings.IP)})
	}
	w.ended.Go(w.run)
	return w
}

// stop ends the watch.
func (w *watch) stop() {
	close(w.done)
	w.ended.Wait()
}

func (w *watch) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for looks := 0; ; looks++ {
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
		if looks%unreadEvery == 0 {
			w.readSockets()
		}
		w.look()
	}
}

// look looks at all daemons.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.daemons {
		d.look(w.bounded)
	}
}

// look measures the resident memory, and starts the daemon again if it has ended or is
// ended for its memory.
func (d *watched) look(bounded bool) {
	if !d.Running() {
		d.exits++
		time.Sleep(restartPause)
		_ = d.Start()
		return
	}
	resident := residentBytes(d.PID())
	d.peakResident = max(d.peakResident, resident)
	d.peakUnread = max(d.peakUnread, d.unread)
	if bounded && resident+d.unread > d.Settings.Limits.MemoryMB<<20 {
		d.exceeded++
		d.Kill()
		d.unread = 0
		time.Sleep(restartPause)
		_ = d.Start()
	}
}

// residentBytes returns the resident memory of a process, 0 if it is not there.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// socketAddress returns an IPv4 address as the kernel's list of sockets writes it: in the
// byte order of the machine, which is little-endian.
func socketAddress(ip string) string {
	b := netip.MustParseAddr(ip).As4()
	return strings.ToUpper(hex.EncodeToString([]byte{b[3], b[2], b[1], b[0]}))
}

// The columns of the kernel's list of sockets.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4
	// stateListening marks a socket whose queue counts connections.
	stateListening = "0A"
)

// readSockets sums up, for each daemon, the bytes that have arrived and are not read.
func (w *watch) readSockets() {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return
	}
	defer file.Close()
	unread := make(map[string]int64)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= columnQueues || fields[columnState] == stateListening {
			continue
		}
		address, _, _ := strings.Cut(fields[columnLocal], ":")
		_, received, _ := strings.Cut(fields[columnQueues], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			unread[address] += n
		}
	}
	for _, d := range w.daemons {
		d.unread = unread[d.socketAddress]
	}
}

const megabyte = 1 << 20

// peaks returns the largest resident memory and the most unread bytes of some daemons, in
// MB.
func (w *watch) peaks(of []*process.Process) (resident, unread float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.daemons {
		for _, p := range of {
			if d.Process == p {
				resident = max(resident, float64(d.peakResident)/megabyte)
				unread = max(unread, float64(d.peakUnread)/megabyte)
			}
		}
	}
	return resident, unread
}

// broken returns which daemons exceeded their memory or ended.
func (w *watch) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for _, d := range w.daemons {
		if d.exceeded > 0 {
			list = append(list, fmt.Sprintf("%s exceeded the memory of its VM %d times", d.Name, d.exceeded))
		}
		if d.exits > 0 {
			list = append(list, fmt.Sprintf("%s ended by itself %d times", d.Name, d.exits))
		}
	}
	return list
}
