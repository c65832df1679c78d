package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/guavarill/guavarill/platform"
)

// The flags of daemons that reject jobs which by the forecast cannot be served in time,
// and that start copies of slow tasks.
const (
	rejectByForecast = "--reject-hopeless-jobs"
	copyStragglers   = "--copy-stragglers"
)

// process is one daemon: its settings, which last, and its operating system
// process, which comes and goes.
type process struct {
	name     string
	binary   string
	flags    []string
	file     string
	settings *platform.Settings
	log      *os.File
	// restarting is held while a planned series restarts the daemon.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	paused  bool
	// pauses counts the times that the daemon was suspended.
	pauses int
	// failure is the exit code of a process that ended by itself, -1 for none.
	failure int
}

// newProcess writes the settings of a daemon.
func newProcess(dir, binary, name string, settings []byte) (*process, error) {
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
	return &process{name: name, binary: binary, file: file, settings: parsed, log: log, failure: -1,
		flags: []string{"--metrics-port=9464", "--api-port=9465"}}, nil
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	c := exec.Command(p.binary, p.flags...)
	c.Env = append(os.Environ(), platform.SettingsEnv+"="+p.file, raceOptions())
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
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

func (p *process) wait(c *exec.Cmd, exited chan struct{}) {
	_ = c.Wait()
	p.mu.Lock()
	if c.ProcessState.Exited() && c.ProcessState.ExitCode() != 0 {
		p.failure = c.ProcessState.ExitCode()
	}
	p.command = nil
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
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

// running reports whether the process runs and is not suspended.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused
}

// suspensions reports whether the process is suspended, and how often it was.
func (p *process) suspensions() (now bool, times int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused, p.pauses
}

// awaitExit waits for the end of the process, and returns false if it did not
// come in time.
func (p *process) awaitExit(limit time.Duration) bool {
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

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.awaitExit(5 * time.Second)
}

// failed returns what is wrong with how the process ended or what it wrote.
func (p *process) failed() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure > 0 {
		return fmt.Sprintf("%s ended with exit code %d", p.name, p.failure)
	}
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if i := bytes.Index(text, []byte(sign)); i >= 0 {
			line, _, _ := strings.Cut(string(text[i:]), "\n")
			return fmt.Sprintf("%s wrote %q", p.name, line)
		}
	}
	return ""
}
