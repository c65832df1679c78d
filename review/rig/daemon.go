package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one daemon: its settings, which last, and its process, which comes and goes.
type daemon struct {
	rig  *rig
	name string
	ip   string
	file string
	log  string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	asked   bool
	// failures counts the times that the process ended without being asked to.
	failures int
}

// deployCommand returns the command of the deploy file that starts a daemon.
func deployCommand() ([]string, error) {
	file, err := os.Open(filepath.Join("deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), `run = "`); found {
			return strings.Fields(strings.TrimSuffix(text, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no command")
}

// addDaemon adds a daemon on a loopback address of its own. It is not started.
func (r *rig) addDaemon() *daemon {
	n := len(r.daemons) + 1
	pid := os.Getpid()
	d := &daemon{rig: r, name: fmt.Sprintf("daemon-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 2+pid%250, 1+pid/250%250, n)}
	d.file = filepath.Join(r.dir, d.name+".yaml")
	d.log = filepath.Join(r.dir, d.name+".log")
	r.must(os.WriteFile(d.file, []byte(d.settings(r.storeAddress)), 0o600))
	r.startMu.Lock()
	r.daemons = append(r.daemons, d)
	r.startMu.Unlock()
	return d
}

// settings returns the settings file of a small deployment.
func (d *daemon) settings(store string) string {
	return fmt.Sprintf(`nodeName: "%s"
role: "daemon"
machineClass: "frontend"
serves: ["frontend"]
ip: "%s"
zone: "zone-a"
region: "region"
zones: {zone-a: "region"}
listen: {front: "%s:8161", readiness: "%s:8167"}
internalPorts: [7720, 7735]
seeds: []
firstStart: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, fileDescriptors: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "virtual_ip"
heartbeatMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
bounds:
  seedLagS: 3
  addressReuseS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 6
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxStretchMs: 5000
  recoveryS: 12
  maxHoldMs: 6000
  stopMs: 900
  gangWaitMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  farFactor: 2
  checkpointS: 1
  restoreMs: 600
  noticeMs: 4500
  fencingRequired: false
  leaseMs: 3000
  thawSlackMs: 300
  paceMs: 100
  harmMs: 4000
orders: "invocation"
advice: "127.0.0.1:1"
platform: {address: "%s", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, minTtlMs: 1000}
`, d.name, d.ip, d.ip, d.ip, store)
}

// start starts the process, unless the case is over.
func (d *daemon) start() {
	command, err := deployCommand()
	d.rig.must(err)
	d.rig.startMu.Lock()
	defer d.rig.startMu.Unlock()
	if d.rig.closed {
		return
	}
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.rig.must(err)
	defer log.Close()
	process := exec.Command(command[0], command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVARILL_SETTINGS=" + d.file}
	process.Stdout, process.Stderr = log, log
	d.rig.must(process.Start())
	d.mu.Lock()
	d.process, d.exited, d.asked = process, make(chan struct{}), false
	exited := d.exited
	d.mu.Unlock()
	d.rig.note("%s started", d.name)
	go d.wait(process, exited)
}

func (d *daemon) wait(process *exec.Cmd, exited chan struct{}) {
	err := process.Wait()
	d.mu.Lock()
	asked := d.asked
	if !asked {
		d.failures++
	}
	d.process = nil
	d.mu.Unlock()
	if !asked {
		d.rig.note("%s ended by itself: %v%s", d.name, err, d.lastPanic())
	}
	close(exited)
}

// panicLines is how many lines of a panic are searched for the functions at fault.
const panicLines = 40

// lastPanic returns the last panic in the daemon's log and the functions at fault.
func (d *daemon) lastPanic() string {
	data, err := os.ReadFile(d.log)
	if err != nil {
		return ""
	}
	text := string(data)
	i := max(strings.LastIndex(text, "\npanic:"), strings.LastIndex(text, "\nfatal error:"))
	if i < 0 {
		return ""
	}
	lines := strings.Split(text[i+1:], "\n")
	var found []string
	for _, line := range lines[:min(len(lines), panicLines)] {
		if !strings.HasPrefix(line, "\t") && !strings.HasPrefix(line, "runtime") {
			found = append(found, line)
		}
	}
	return ", " + strings.Join(found, " | ")
}

// signal sends a signal to the process. asked is whether the process is to end by it.
func (d *daemon) signal(s syscall.Signal, asked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	d.asked = d.asked || asked
	_ = d.process.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	running, exited := d.process != nil, d.exited
	d.mu.Unlock()
	if !running {
		return
	}
	d.signal(syscall.SIGKILL, true)
	<-exited
}

// runs reports whether the process runs.
func (d *daemon) runs() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil
}

func (d *daemon) ownEnds() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failures
}

// isReady reports whether the daemon says that it is ready.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + d.ip + ":8167/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// front is where the daemon serves clients.
func (d *daemon) front() string { return d.ip + ":8161" }
