package process

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/adapter/jobapi"
	"github.com/guavarill/guavarill/platform"
)

// The ports of the daemon's interfaces for operators.
const (
	metricsPort = "9464"
	apiPort     = "9465"
)

// Process is one daemon: its settings, which last, and its operating system
// process, which comes and goes.
type Process struct {
	Name     string
	Settings *platform.Settings
	// Flags are those of the next start.
	Flags []string
	// Env is added to the environment of the next start.
	Env []string
	// Limits are set on the operating system process as soon as it was started.
	Limits Limits
	// Restarting is held while a planned series restarts the daemon.
	Restarting sync.Mutex

	binary string
	file   string
	log    *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
	// pauses counts the times that the daemon was suspended.
	pauses int
	// failure is the exit code of a process that ended by itself, -1 for none.
	failure int
}

// New writes the settings of a daemon.
func New(dir, binary, name string, settings []byte) (*Process, error) {
	parsed, err := platform.ParseSettings(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &Process{Name: name, binary: binary, file: file, Settings: parsed, log: log, failure: -1,
		Flags: []string{"--metrics-port=" + metricsPort, "--api-port=" + apiPort}}, nil
}

// Start starts the process, unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	c := exec.Command(p.binary, p.Flags...)
	c.Env = append(os.Environ(), platform.SettingsEnv+"="+p.file, raceOptions())
	c.Env = append(c.Env, p.Env...)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	if err := p.Limits.set(c.Process.Pid); err != nil {
		// It has not served anything yet.
		_ = c.Process.Kill()
		_ = c.Wait()
		return err
	}
	p.command, p.exited, p.paused = c, make(chan struct{}), false
	go p.wait(c, p.exited)
	return nil
}

// raceOptions returns the environment variable that keeps a daemon built with the race
// detector from sleeping for a second before it exits, which its time to stop does not
// allow for.
func raceOptions() string {
	return "GORACE=" + strings.TrimSpace(os.Getenv("GORACE")+" atexit_sleep_ms=0")
}

func (p *Process) wait(c *exec.Cmd, exited chan struct{}) {
	_ = c.Wait()
	p.mu.Lock()
	if c.ProcessState.Exited() && c.ProcessState.ExitCode() != 0 {
		p.failure = c.ProcessState.ExitCode()
	}
	p.command = nil
	p.mu.Unlock()
	close(exited)
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
		p.pauses++
	case syscall.SIGCONT:
		p.paused = false
	}
	_ = p.command.Process.Signal(s)
}

// Running reports whether the process runs and is not suspended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused
}

// Suspensions reports whether the process is suspended, and how often it was.
func (p *Process) Suspensions() (now bool, times int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused, p.pauses
}

// AwaitExit waits for the end of the process, and returns false if it did not
// come in time.
func (p *Process) AwaitExit(limit time.Duration) bool {
	p.mu.Lock()
	running, exited := p.command != nil, p.exited
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Front returns the address at which callers reach the daemon.
func (p *Process) Front() string { return p.Settings.Listen.Front }

// API returns a client of the daemon's interface for jobs.
func (p *Process) API() *jobapi.Client {
	return jobapi.NewClient(net.JoinHostPort(p.Settings.IP, apiPort), http.DefaultTransport)
}

// StatusTimeout bounds a look at a daemon, which may be suspended.
const StatusTimeout = 300 * time.Millisecond

// Leads reports whether the daemon says that it leads.
func (p *Process) Leads() bool {
	ctx, cancel := context.WithTimeout(context.Background(), StatusTimeout)
	defer cancel()
	status, err := p.API().Status(ctx)
	return err == nil && status.Leads
}

// PID returns the id of the operating system process, 0 if none runs.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// LogFile returns the path of the file with the lines that the daemon wrote.
func (p *Process) LogFile() string { return p.log.Name() }

// Close kills the process and closes its log.
func (p *Process) Close() {
	p.Kill()
	_ = p.log.Close()
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.AwaitExit(5 * time.Second)
}

// Failed returns what is wrong with how the process ended or what it wrote.
func (p *Process) Failed() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure > 0 {
		return fmt.Sprintf("%s ended with exit code %d", p.Name, p.failure)
	}
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if i := bytes.Index(text, []byte(sign)); i >= 0 {
			line, _, _ := strings.Cut(string(text[i:]), "\n")
			return fmt.Sprintf("%s wrote %q", p.Name, line)
		}
	}
	return ""
}
