package localsystem

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Process is a child process that runs one role of the system with its own settings file. It can be restarted.
type Process struct {
	Name         string // name of the machine, followed by the role on a front
	Machine      string
	Role         string
	MetricsURL   string // URL of its metrics
	LogPath      string // path of the log file, shared by all incarnations
	SettingsPath string // path of the settings file

	program, env []string

	mu           sync.Mutex
	cmd          *exec.Cmd
	ended        chan struct{}
	err          error // result of the process, valid once ended is closed
	endRequested bool  // SIGTERM or SIGKILL was sent
	incarnations int
}

// Start starts a new incarnation of the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	defer log.Close()
	cmd := exec.Command(p.program[0], p.program[1:]...)
	cmd.Env = append(append(os.Environ(), p.env...), "PEATHOLLOW_SETTINGS="+p.SettingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	// In its own process group, so that Ctrl-C reaches only the parent, which then stops the children in order. Pdeathsig
	// ensures that no child outlives the parent.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.Name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.endRequested = cmd, ended, false
	p.incarnations++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the running incarnation. After SIGTERM or SIGKILL, its end counts as expected.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return // never started
	}
	select {
	case <-p.ended:
		return // already ended
	default:
	}
	p.endRequested = p.endRequested || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed once the current incarnation has ended. It is closed already if the process was
// never started.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.ended
}

// Incarnations returns the number of incarnations of the process so far.
func (p *Process) Incarnations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnations
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// UnexpectedEnd returns an error if the current incarnation ended unexpectedly: without being signalled, or with an error after
// SIGTERM.
func (p *Process) UnexpectedEnd() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	select {
	case <-p.ended:
	default:
		return nil
	}
	killed := p.cmd.ProcessState != nil && !p.cmd.ProcessState.Exited()
	switch {
	case !p.endRequested:
		return errors.Errorf("%s ended unexpectedly: %v; its log ends with:\n%s", p.Name, p.err, p.tail(5))
	case p.err != nil && !killed:
		return errors.Errorf("%s ended with %v; its log ends with:\n%s", p.Name, p.err, p.tail(5))
	}
	return nil
}

// stopAll sends SIGTERM to all processes, and SIGKILL to all once the timeout has passed. Its error describes processes that
// ended in any other way.
func stopAll(processes []*Process, timeout time.Duration) error {
	var result error
	for _, p := range processes {
		if err := p.UnexpectedEnd(); err != nil {
			result = errors.Join(result, err)
		}
		p.Signal(syscall.SIGTERM)
	}
	deadline := time.After(timeout)
	for _, p := range processes {
		select {
		case <-p.Ended():
			if err := p.UnexpectedEnd(); err != nil && result == nil {
				result = err
			}
		case <-deadline:
			result = errors.Join(result, errors.Errorf("%s did not end within %v of SIGTERM", p.Name, timeout))
			for _, p := range processes {
				p.Kill()
			}
			return result
		}
	}
	return result
}

// tail returns the last lines of the log.
func (p *Process) tail(lines int) string {
	b, _ := os.ReadFile(p.LogPath)
	text := strings.Split(string(bytes.TrimSpace(b)), "\n")
	return strings.Join(text[max(0, len(text)-lines):], "\n")
}
