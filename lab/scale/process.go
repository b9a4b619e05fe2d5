package scale

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// child is a process of the run. Real processes are configured by a settings file, simulated ones by commands on standard input.
type child struct {
	name, role string
	cmd        *exec.Cmd
	logPath    string
	exited     chan struct{}
	exitErr    error // set before exited is closed

	mu       sync.Mutex
	commands *json.Encoder
	stdin    io.Closer
	events   chan Event
}

// launch starts a child process whose stderr goes to a log file. Simulated processes also get pipes for commands and events.
func (r *run) launch(role, name string, env []string, args ...string) (*child, error) {
	c := &child{name: name, role: role, logPath: filepath.Join(r.dir, name+".log"), exited: make(chan struct{})}
	log, err := os.Create(c.logPath)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	defer log.Close()
	c.cmd = exec.Command(r.Program[0], append(r.Program[1:len(r.Program):len(r.Program)], args...)...)
	c.cmd.Env = append(append(os.Environ(), r.Env...), env...)
	c.cmd.Stderr = log
	// A separate process group, so that Ctrl-C reaches only the parent, which stops the children in order. Pdeathsig ends them if
	// the parent dies.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	var stdout io.ReadCloser
	if role == "agents" || role == "searchers" {
		stdin, err := c.cmd.StdinPipe()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		if stdout, err = c.cmd.StdoutPipe(); err != nil {
			return nil, errors.Wrap(err, name)
		}
		c.commands, c.stdin, c.events = json.NewEncoder(stdin), stdin, make(chan Event, 64)
	}
	if err := c.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		if stdout != nil {
			c.readEvents(stdout)
		}
	}()
	go func() {
		<-readDone // Wait closes the pipe, so all of it must be read first
		c.exitErr = c.cmd.Wait()
		close(c.exited)
	}()
	r.children = append(r.children, c)
	return c, nil
}

func (c *child) readEvents(stdout io.Reader) {
	defer close(c.events)
	decoder := json.NewDecoder(bufio.NewReader(stdout))
	for {
		var event Event
		if decoder.Decode(&event) != nil {
			return
		}
		c.events <- event
	}
}

func (c *child) send(command Command) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.commands.Encode(command); err != nil {
		return errors.Wrapf(err, "send command %s to process %s", command.Action, c.name)
	}
	return nil
}

// await returns the next event of the given kind. It passes events of other kinds to other, unless that is nil.
func (c *child) await(kind string, timeout time.Duration, other func(Event)) (Event, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case event, ok := <-c.events:
			if !ok {
				return event, errors.Errorf("wait for %s: process %s exited; its log ends with:\n%s", kind, c.name, c.logTail(5))
			}
			if event.Kind == kind {
				return event, nil
			}
			if other != nil {
				other(event)
			}
		case <-timer.C:
			return Event{}, errors.Errorf("wait for %s: no such event from process %s within %v", kind, c.name, timeout)
		}
	}
}

func (c *child) hasExited() bool {
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

func (c *child) logTail(lines int) string {
	content, err := os.ReadFile(c.logPath)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// stopAll stops all children with SIGTERM, and with SIGKILL after the grace period. Its error names those that had exited before
// and those that had to be killed.
func stopAll(children []*child, grace time.Duration) error {
	var errs error
	for _, c := range children {
		if c.hasExited() {
			errs = errors.Join(errs, errors.Errorf("%s exited unexpectedly: %v; its log ends with:\n%s", c.name, c.exitErr, c.logTail(5)))
			continue
		}
		if c.stdin != nil {
			c.stdin.Close() // a simulated process exits when its input ends
		}
		c.cmd.Process.Signal(syscall.SIGTERM)
	}
	killTimer := time.After(grace)
	for _, c := range children {
		if c.events != nil {
			go func() {
				for range c.events { // drain the events, or a process blocked on a full pipe never exits
				}
			}()
		}
		select {
		case <-c.exited:
		case <-killTimer:
			for _, c := range children {
				c.cmd.Process.Signal(syscall.SIGKILL)
			}
			<-c.exited
			errs = errors.Join(errs, errors.Errorf("%s did not exit within %v of SIGTERM", c.name, grace))
		}
	}
	return errs
}
