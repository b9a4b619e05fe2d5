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

// Process is one child: a role of the system with a settings file of its own. It may end and be started again.
type Process struct {
	Name    string // of the machine and, on a front, the role
	Machine string
	Role    string
	Metrics string // where it tells its figures
	Log     string // path of its log, of all its lives
	Conf    string // path of its settings

	program, env []string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // after ended
	asked bool  // its end was asked for
	lives int
}

// Start starts a life of the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	defer log.Close()
	cmd := exec.Command(p.program[0], p.program[1:]...)
	cmd.Env = append(append(os.Environ(), p.env...), "PEATHOLLOW_SETTINGS="+p.Conf)
	cmd.Stdout, cmd.Stderr = log, log
	// A group of its own, so that Ctrl-C ends the parent first, which ends the children in order; none outlives it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.Name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.asked = cmd, ended, false
	p.lives++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the present life. One that asks for its end makes that end an expected one.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return // it never started
	}
	select {
	case <-p.ended:
		return // by itself, or as it was asked before
	default:
	}
	p.asked = p.asked || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.cmd.Process.Signal(s)
}

// Ended is closed once the present life is over, and while there has been none.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		never := make(chan struct{})
		close(never)
		return never
	}
	return p.ended
}

// Lives tells how many lives the process has had.
func (p *Process) Lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// Kill ends the present life at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// Fault tells how the present life ended if that was not as asked: by itself, or after SIGTERM with an error.
func (p *Process) Fault() error {
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
	case !p.asked:
		return errors.Errorf("%s ended by itself: %v; its log ends with:\n%s", p.Name, p.err, p.tail(5))
	case p.err != nil && !killed:
		return errors.Errorf("%s ended with %v; its log ends with:\n%s", p.Name, p.err, p.tail(5))
	}
	return nil
}

// end stops all of them: SIGTERM, and SIGKILL after the time given. Its error tells of those that ended otherwise.
func end(all []*Process, within time.Duration) error {
	var bad error
	for _, p := range all {
		if err := p.Fault(); err != nil {
			bad = errors.Join(bad, err)
		}
		p.Signal(syscall.SIGTERM)
	}
	late := time.After(within)
	for _, p := range all {
		select {
		case <-p.Ended():
			if err := p.Fault(); err != nil && bad == nil {
				bad = err
			}
		case <-late:
			bad = errors.Join(bad, errors.Errorf("%s did not end within %v of SIGTERM", p.Name, within))
			for _, p := range all {
				p.Kill()
			}
			return bad
		}
	}
	return bad
}

// tail is the end of its log.
func (p *Process) tail(lines int) string {
	b, _ := os.ReadFile(p.Log)
	all := strings.Split(string(bytes.TrimSpace(b)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
