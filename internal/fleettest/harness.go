package fleettest

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
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

	"peathollow/internal/standin"
)

// Options describes the processes to start.
type Options struct {
	Mixers           int
	Program          []string // the command and its first arguments; the path of the settings file is appended
	Env              []string // additional environment variables
	Fleet            *standin.Fleet
	EditSettings     func(settings map[string]any) // changes the settings in the configuration; may be nil
	SettingsSections string                        // sections of the settings file besides [members], which the harness writes
	Dir              string                        // directory for the files of the processes
}

// Harness manages the processes of one run.
type Harness struct {
	options   Options
	binds     []string
	Processes []*Process
}

// Process is one mixer. Its operating system process is replaced at each restart.
type Process struct {
	h     *Harness
	Name  string
	Addr  string // address for clients
	ini   string
	conf  string
	keys  string
	cmd   *exec.Cmd
	ended chan error

	mu    sync.Mutex
	lines []map[string]any // parsed lines of its log
}

// freeAddrs finds addresses on loopback with unused ports.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("fleettest: %w", err)
		}
		defer ln.Close() // held until all are found, so that none is found twice
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// Start starts all processes and waits until they accept scans. KillAll must be called even if it fails. Another program
// may take an address between the search for a free one and its use: then a process exits, and all are started again.
func Start(options Options) (h *Harness, err error) {
	for range 3 {
		if h, err = start(options); err == nil || !errors.Is(err, errEnded) {
			return h, err
		}
		h.KillAll()
	}
	return h, err
}

var errEnded = errors.New("process ended unexpectedly")

func start(options Options) (*Harness, error) {
	h := &Harness{options: options}
	addrs, err := freeAddrs(2 * options.Mixers)
	if err != nil {
		return h, err
	}
	h.binds = addrs[options.Mixers:]
	for i := range options.Mixers {
		p := &Process{h: h, Name: fmt.Sprint("m", i), Addr: addrs[i]}
		path := func(ending string) string { return filepath.Join(options.Dir, p.Name+ending) }
		p.ini, p.conf, p.keys = path(".ini"), path(".json"), path(".keys")
		text := bytes.Replace(options.Fleet.Config(options.EditSettings), []byte(`"name": "n0"`), []byte(`"name": "`+p.Name+`"`), 1)
		text = bytes.Replace(text, []byte(`"listen": "127.0.0.1:0"`), []byte(`"listen": "`+p.Addr+`"`), 1)
		ini := fmt.Sprintf("[members]\nbind = %s\nseeds = %s\nkeys = %s\n%s\n", h.binds[i],
			strings.Join(h.binds, ","), p.keys, options.SettingsSections)
		if err := errors.Join(os.WriteFile(p.conf, text, 0o600), os.WriteFile(p.ini, []byte(ini), 0o600),
			p.writeKeys(commonKey)); err != nil {
			return h, fmt.Errorf("fleettest: %w", err)
		}
		h.Processes = append(h.Processes, p)
	}
	for _, p := range h.Processes {
		if err := p.Start(); err != nil {
			return h, err
		}
	}
	for _, p := range h.Processes {
		ended := false
		err := WaitUntil(30*time.Second, p.Name+" is ready", func() bool {
			select {
			case err := <-p.ended:
				p.ended <- err
				ended = true
			default:
			}
			return ended || p.Ready()
		})
		if ended {
			err = fmt.Errorf("fleettest: %s: %w", p.Name, errEnded)
		}
		if err != nil {
			return h, err
		}
	}
	return h, nil
}

// commonKey is the key of all processes without a partition. Each side of a partition has a key of its own.
const commonKey = 0

func (p *Process) writeKeys(keys ...byte) error {
	var b strings.Builder
	for _, k := range keys {
		b.WriteString(base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{k}, 32)) + "\n")
	}
	return os.WriteFile(p.keys, []byte(b.String()), 0o600)
}

// Start starts the process, or a new one after the previous one has ended.
func (p *Process) Start() error {
	args := append(p.h.options.Program[1:len(p.h.options.Program):len(p.h.options.Program)], p.ini)
	p.cmd = exec.Command(p.h.options.Program[0], args...)
	p.cmd.Env = append(append(os.Environ(), p.h.options.Env...), "ROUTER_CONFIG="+p.conf)
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("fleettest: %w", err)
	}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("fleettest: %s: %w", p.Name, err)
	}
	cmd, ended := p.cmd, make(chan error, 1)
	p.ended = ended
	go func() {
		for r := bufio.NewScanner(log); r.Scan(); {
			var line map[string]any
			if json.Unmarshal(r.Bytes(), &line) == nil {
				p.mu.Lock()
				p.lines = append(p.lines, line)
				p.mu.Unlock()
			}
		}
		ended <- cmd.Wait()
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	p.Wait() // the error only states that the process was killed
	return err
}

// Wait waits for the process to end, and returns its exit error.
func (p *Process) Wait() error {
	err := <-p.ended
	p.ended <- nil
	return err
}

// LastLogValue returns the value of a field in the newest log line that has the message and the field.
func (p *Process) LastLogValue(msg, field string) (any, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.lines) - 1; i >= 0; i-- {
		if v, ok := p.lines[i][field]; ok && p.lines[i]["msg"] == msg {
			return v, true
		}
	}
	return nil, false
}

// CountLogLines returns the number of log lines with a message and, unless field is empty, with a value of that field.
func (p *Process) CountLogLines(msg, field string, value any) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		if l["msg"] == msg && (field == "" || l[field] == value) {
			n++
		}
	}
	return n
}

// Ready reports whether the process accepts scans.
func (p *Process) Ready() bool {
	res, err := http.Get("http://" + p.Addr + "/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Partition partitions the mixers: those of different sides receive nothing from each other. Without sides it
// heals a partition.
func (h *Harness) Partition(sides ...[]*Process) error {
	if len(sides) == 0 {
		sides = [][]*Process{h.Processes}
	}
	for i, side := range sides {
		key := byte(i + 1)
		if len(sides) == 1 {
			key = commonKey
		}
		for _, p := range side {
			if err := errors.Join(p.writeKeys(key), p.Signal(syscall.SIGHUP)); err != nil {
				return fmt.Errorf("fleettest: %s: %w", p.Name, err)
			}
		}
	}
	return nil
}

// WaitUntil waits until a condition holds, and returns an error with its description if it does not hold in time.
func WaitUntil(timeout time.Duration, description string, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) { // polling interval only
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %v: %s", timeout, description)
		}
	}
	return nil
}

// KillAll kills all processes, and returns the number of those that are still there afterwards.
func (h *Harness) KillAll() (left int) {
	for _, p := range h.Processes {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		select {
		case <-p.ended:
		case <-time.After(5 * time.Second):
		}
		if syscall.Kill(p.cmd.Process.Pid, 0) == nil {
			left++
		}
	}
	return left
}
