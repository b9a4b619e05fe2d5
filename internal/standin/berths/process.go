package berths

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is one child: a role of the system with a settings file of its own.
type process struct {
	name  string
	log   string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // after ended
	asked bool  // its end was asked for
}

func launch(program, env []string, dir, role, name, settings string) (*process, error) {
	file := filepath.Join(dir, name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &process{name: name, log: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	defer log.Close()
	p.cmd = exec.Command(program[0], append(program[1:len(program):len(program)], role)...)
	p.cmd.Env = append(append(os.Environ(), env...), "PEATHOLLOW_SETTINGS="+file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A group of its own, so that Ctrl-C ends the parent first, which ends the children in order; none outlives it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) gone() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	p.asked = true
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// end stops all of them: SIGTERM, and SIGKILL after the time given. Its error tells of those that ended otherwise.
func end(all []*process, within time.Duration) error {
	var bad error
	for _, p := range all {
		if p.gone() && !p.asked {
			bad = errors.Join(bad, errors.Errorf("%s ended by itself: %v; its log ends with:\n%s", p.name, p.err, p.tail(5)))
		}
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	late := time.After(within)
	for _, p := range all {
		select {
		case <-p.ended:
			if p.err != nil && !p.asked && bad == nil {
				bad = errors.Errorf("%s ended with %v; its log ends with:\n%s", p.name, p.err, p.tail(5))
			}
		case <-late:
			bad = errors.Join(bad, errors.Errorf("%s did not end within %v of SIGTERM", p.name, within))
			for _, p := range all {
				p.kill()
			}
			return bad
		}
	}
	return bad
}

// tail is the end of its log.
func (p *process) tail(lines int) string {
	b, _ := os.ReadFile(p.log)
	all := strings.Split(string(bytes.TrimSpace(b)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
