package abuse

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/standin/process"
)

// sharePeriod is the time in which each daemon has its share of a processor once.
const sharePeriod = 100 * time.Millisecond

// oneProcessor is the environment of a daemon whose VM has a part of one processor.
const oneProcessor = "GOMAXPROCS=1"

// limitProcessor has a daemon run for its share of each period, as on a VM whose processor
// is an allowance, until ctx ends.
func limitProcessor(ctx context.Context, p *process.Process, share float64) {
	running := time.Duration(float64(sharePeriod) * share)
	for ctx.Err() == nil {
		signal(p, syscall.SIGCONT)
		pause(ctx, running)
		signal(p, syscall.SIGSTOP)
		pause(ctx, sharePeriod-running)
	}
	signal(p, syscall.SIGCONT)
}

// signal sends a signal to a daemon that runs. An error says that it has just ended.
func signal(p *process.Process, s syscall.Signal) {
	pid := p.PID()
	if pid == 0 {
		return
	}
	if running, err := os.FindProcess(pid); err == nil {
		_ = running.Signal(s)
	}
}
