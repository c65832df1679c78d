package capacity_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/guavarill/guavarill/adapter/adminapi"
	"github.com/guavarill/guavarill/core/ledger"
	"github.com/guavarill/guavarill/examples"
	"github.com/guavarill/guavarill/standin/site"
)

// The course of the measurement of whole processes.
const (
	processDaemons = 7
	processSettle  = 12 * time.Second
	processMeasure = 15 * time.Second
	ticksPerSecond = 100
)

// process is one running guavarilld.
type process struct {
	cmd   *exec.Cmd
	admin string
}

// BenchmarkCapacityProcess is what a whole guavarilld takes at the agency's
// size without callers: seven daemons, 50 workers and the sample manifest. It
// starts processes of its own, and ends them.
func BenchmarkCapacityProcess(b *testing.B) {
	// The kernel goes by the end of the thread that started a process.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	binary := filepath.Join(b.TempDir(), "guavarilld")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/guavarilld").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	s, err := site.Start(site.Agency)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	var processes []*process
	for i := range processDaemons {
		processes = append(processes, startProcess(b, s, binary, i))
	}
	awaitOwned(b, processes)
	applyAgency(b, processes[0])
	time.Sleep(processSettle)
	before := cpuTicks(b, processes)
	time.Sleep(processMeasure)
	spent := float64(cpuTicks(b, processes)-before) / ticksPerSecond
	resident, anonymous := 0, 0
	for _, p := range processes {
		resident += statusValue(b, p, "VmRSS:")
		anonymous += statusValue(b, p, "RssAnon:")
	}
	b.ReportMetric(float64(runningTasks(b, processes)), "tasks")
	b.ReportMetric(spent/processMeasure.Seconds()/processDaemons*100, "%core/daemon")
	b.ReportMetric(float64(resident)/processDaemons, "RSS-KB/daemon")
	b.ReportMetric(float64(anonymous)/processDaemons, "anonymous-KB/daemon")
}

func startProcess(b *testing.B, s *site.Site, binary string, i int) *process {
	id, zone := fmt.Sprintf("entry-%d", i+1), site.Agency.Zones[i%len(site.Agency.Zones)]
	peers, admin := freeAddress(b), freeAddress(b)
	cmd := exec.Command(binary, "--cluster=capacity", "--id="+id, "--zone="+string(zone),
		"--listen-callers=127.0.0.1:0", "--listen-admin="+admin, "--listen-peers="+peers,
		"--store="+s.StoreAddress(), "--vm-list="+s.VMListURL(), "--log-level=error")
	// A benchmark that is killed cleans nothing up: the kernel ends its daemons.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	s.AddEntry(id, zone, peers)
	return &process{cmd: cmd, admin: admin}
}

func freeAddress(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// awaitOwned waits until every shard of the site has an owner and every daemon
// knows of the shards: one that does not yet refuses a manifest.
func awaitOwned(b *testing.B, processes []*process) {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		owned, shards, knowing := 0, 0, 0
		for _, p := range processes {
			st, err := adminapi.NewClient(p.admin, nil).Status(context.Background())
			if err != nil {
				continue
			}
			owned += len(st.Owned)
			if st.Shards > 0 {
				knowing++
				shards = int(st.Shards)
			}
		}
		if knowing == len(processes) && owned == shards {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("shards without an owner")
}

func applyAgency(b *testing.B, p *process) {
	result, err := adminapi.NewClient(p.admin, nil).Apply(context.Background(), examples.Agency(), nil, false)
	if err != nil || result.Outcome != adminapi.Accepted {
		b.Fatal(result.Outcome, result.Detail, err)
	}
}

func runningTasks(b *testing.B, processes []*process) int {
	running := 0
	for _, p := range processes {
		tasks, err := adminapi.NewClient(p.admin, nil).Tasks(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		for _, t := range tasks {
			if t.State == ledger.Running.String() {
				running++
			}
		}
	}
	return running
}

func cpuTicks(b *testing.B, processes []*process) int {
	sum := 0
	for _, p := range processes {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		fields := strings.Fields(string(raw))
		for _, field := range fields[13:15] {
			n, err := strconv.Atoi(field)
			if err != nil {
				b.Fatal(err)
			}
			sum += n
		}
	}
	return sum
}

func statusValue(b *testing.B, p *process, name string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if value, found := strings.CutPrefix(line, name); found {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err != nil {
				b.Fatal(err)
			}
			return n
		}
	}
	b.Fatal(name + " not found")
	return 0
}
