package localsystem

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"peathollow/client"
	"peathollow/internal/standin/faulty"
)

const (
	controllersUsual = 3
	frontsUsual      = 2
	controllersMost  = 9
	frontsMost       = 60

	shards = 3
	copies = 2 // searchers of a service
	topK   = 10

	host   = "try.example"
	single = "single"

	beatPeriod = 400 * time.Millisecond
	// Grace is the time from SIGTERM to SIGKILL that the settings of a system tell.
	Grace = 2 * time.Second
)

// Options says what to run.
type Options struct {
	Program     []string // its first arguments; the role follows
	Env         []string // for it
	Controllers int      // 3 if 0
	Fronts      int      // 2 if 0
	Spares      int      // controllers that are set up and not started; they come with empty disks
	Dir         string   // for settings, logs and disks, and kept after the end; one that is removed then if empty
	Relay       string   // that the processes dial each other through, if not empty; see keepalive.TCP
	Settings    string   // further lines for all settings files
}

// System is one that runs.
type System struct {
	Control   []string       // of the controllers
	Fronts    []string       // where clients are served
	Ready     []string       // where fronts tell that they are ready
	Processes []*Process     // controllers first, then each front's agent and proxy, then spare controllers
	Ledger    *faulty.Ledger // of all searchers

	mu        sync.Mutex
	searchers []*Searcher

	options Options
	base    int // the first of its ports
	shared  int // the first of those that all machines have alike
	dir     string
	relays  []net.Listener
	client  *client.Client
}

// Start starts a system and waits till it takes clients. After an error nothing is left of it.
func Start(ctx context.Context, o Options) (*System, error) {
	s, err := Launch(o)
	if err != nil {
		return nil, err
	}
	if err := s.serve(ctx); err != nil {
		// Why something ended is worth more than that nobody heard of it.
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

// Launch starts the processes of a system, which has no searchers and no configuration then. After an error nothing is
// left of it.
func Launch(o Options) (*System, error) {
	if o.Controllers == 0 {
		o.Controllers = controllersUsual
	}
	if o.Fronts == 0 {
		o.Fronts = frontsUsual
	}
	if o.Controllers+o.Spares > controllersMost || o.Fronts > frontsMost {
		return nil, errors.Errorf("%d controllers and %d fronts: %d and %d at most", o.Controllers+o.Spares, o.Fronts, controllersMost, frontsMost)
	}
	for try := 0; ; try++ {
		s, err := launchAt(o)
		// A port that was found free may be somebody else's by the time it is listened at.
		if err == nil || try == 2 || !strings.Contains(err.Error(), "address already in use") {
			return s, err
		}
	}
}

func launchAt(o Options) (*System, error) {
	base, reservations, err := reserveBase(o.Fronts)
	if err != nil {
		return nil, err
	}
	s := &System{dir: o.Dir, base: base, shared: base + o.Fronts*rangeLength, relays: reservations, options: o, Ledger: &faulty.Ledger{}}
	if s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "peathollow-try-"); err != nil {
			return nil, errors.Wrap(err, "folder")
		}
	}
	if err := s.launch(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

// launch starts all processes.
func (s *System) launch() error {
	for i := range s.options.Controllers + s.options.Spares {
		s.Control = append(s.Control, at(controllerIP(i), s.shared+portControl))
	}
	for i := range s.options.Controllers {
		if err := s.launchController(i); err != nil {
			return err
		}
	}
	for i := range s.options.Fronts {
		if err := s.launchFront(i); err != nil {
			return err
		}
	}
	for i := range s.options.Spares {
		if err := s.launchController(s.options.Controllers + i); err != nil {
			return err
		}
	}
	s.client = client.New(s.Control[:s.options.Controllers]...)
	return nil
}

func (s *System) launchController(i int) error {
	name := fmt.Sprint("core-", i)
	if err := os.Mkdir(s.disk(name), 0o700); err != nil {
		return errors.Wrap(err, name)
	}
	conf := s.settings(name, "core", controllerIP(i), i, s.base) +
		fmt.Sprintf("bind-addrs.control=%s\ndata-dir=%s\nserves=supervisor\ncounts-loss=true\n", s.Control[i], s.disk(name))
	return s.add("controller", name, name, controllerIP(i), portControllerMetrics, conf)
}

func (s *System) launchFront(i int) error {
	own := s.base + i*rangeLength
	name, ip := fmt.Sprint("front-", i), frontIP(i)
	if i > 0 && s.options.Relay == "" {
		if err := s.relayNews(own); err != nil {
			return err
		}
	}
	s.Fronts, s.Ready = append(s.Fronts, at(ip, s.shared+portFront)), append(s.Ready, at(ip, s.shared+portReady))
	conf := s.settings(name, "front", ip, i, own) +
		fmt.Sprintf("bind-addrs.front=%s\nbind-addrs.readiness=%s\n", s.Fronts[i], s.Ready[i])
	if err := s.add("agent", name, name+"-agent", ip, portAgentMetrics, conf); err != nil {
		return err
	}
	return s.add("proxy", name, name+"-proxy", ip, portProxyMetrics, conf)
}

// relayNews lets a front with a range of ports of its own reach the controllers.
func (s *System) relayNews(own int) error {
	for k := range s.options.Controllers {
		ln, err := net.Listen("tcp", at(controllerIP(k), own+portNews))
		if err != nil {
			return errors.Wrap(err, "relay")
		}
		s.relays = append(s.relays, ln)
		go relay(ln, at(controllerIP(k), s.base+portNews))
	}
	return nil
}

// Resolve gives the address and the machine that a process means which dials through a relay; see ports.go.
func (s *System) Resolve(from, address string) (to, machine string, err error) {
	ip, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", "", errors.Wrap(err, "resolve")
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", "", errors.Wrap(err, "resolve")
	}
	for i := range s.options.Controllers + s.options.Spares {
		if ip == controllerIP(i) && port < s.shared {
			port = s.base + (port-s.base)%rangeLength
		}
		if ip == controllerIP(i) {
			return at(ip, port), fmt.Sprint("core-", i), nil
		}
	}
	for i := range s.options.Fronts {
		if ip == frontIP(i) {
			return address, fmt.Sprint("front-", i), nil
		}
	}
	return address, from, nil // an agent, by its own proxy
}

// Add makes a searcher one of the system's: its answers count as right from then on, and it ends with the system.
func (s *System) Add(x *Searcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searchers = append(s.searchers, x)
}

// Searchers gives all that were added, those that have ended among them.
func (s *System) Searchers() []*Searcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.searchers)
}

// Place gives an address that is the caller's for as long as the system is there.
func (s *System) Place(i int) string {
	const first, perBlock = 1, 250
	return at(fmt.Sprintf("127.0.%d.%d", first+i/perBlock, 1+i%perBlock), s.shared+portOthers)
}

// serve adds searchers and a configuration, and waits till all fronts are ready.
func (s *System) serve(ctx context.Context) error {
	for service := range shards + 1 {
		name := single
		if service < shards {
			name = shard(service)
		}
		for i := range copies {
			x, err := NewSearcher(SearcherOptions{Service: name, Zone: zone(i), Control: s.Control, Period: beatPeriod,
				Server: faulty.Options{Ledger: s.Ledger, Queue: 8, Script: busy}})
			if err != nil {
				return err
			}
			s.Add(x)
		}
	}
	if _, err := s.client.Put(ctx, Config(1)); err != nil {
		return errors.Wrap(err, "first configuration")
	}
	return s.AwaitReady(ctx)
}

// AwaitReady waits till all fronts say that they are ready.
func (s *System) AwaitReady(ctx context.Context) error {
	for _, at := range s.Ready {
		if err := s.until(ctx, at+" is ready", func() bool { return status(ctx, "http://"+at+"/ready", "") == http.StatusOK }); err != nil {
			return err
		}
	}
	return nil
}

// disk is the folder that stands for a controller's disk.
func (s *System) disk(machine string) string { return filepath.Join(s.dir, machine) }

// Wipe empties the disk of a controller, which must not run.
func (s *System) Wipe(machine string) error {
	if err := os.RemoveAll(s.disk(machine)); err != nil {
		return errors.Wrap(err, machine)
	}
	if err := os.Mkdir(s.disk(machine), 0o700); err != nil {
		return errors.Wrap(err, machine)
	}
	return nil
}

// Warm tells in all settings files that the system has started before, as later starts of its processes are to read.
func (s *System) Warm() error {
	for _, p := range s.Processes {
		conf, err := os.ReadFile(p.Conf)
		if err != nil {
			return errors.Wrap(err, p.Name)
		}
		conf = bytes.Replace(conf, []byte("cold-start=true"), []byte("cold-start=false"), 1)
		if err := os.WriteFile(p.Conf, conf, 0o600); err != nil {
			return errors.Wrap(err, p.Name)
		}
	}
	return nil
}

// add starts a process of a machine.
func (s *System) add(role, machine, name, ip string, metrics int, conf string) error {
	const path = "metrics"
	figures := fmt.Sprintf("%d/%s", s.shared+metrics, path)
	program := s.options.Program
	p := &Process{Name: name, Machine: machine, Role: role, Log: filepath.Join(s.dir, name+".log"), Conf: filepath.Join(s.dir, name+".conf"),
		Metrics: "http://" + at(ip, s.shared+metrics) + "/" + path, env: s.options.Env,
		program: append(program[:len(program):len(program)], role, "--metrics", figures)}
	if err := os.WriteFile(p.Conf, []byte(conf), 0o600); err != nil {
		return errors.Wrap(err, name)
	}
	s.Processes = append(s.Processes, p)
	if len(s.Processes) > s.options.Controllers+2*s.options.Fronts {
		return nil // a spare
	}
	return p.Start()
}

// zones is how many there are.
const zones = 3

func zone(i int) string { return fmt.Sprint("zone-", i%zones) }

func shard(i int) string { return fmt.Sprint("shard-", i) }

// seedsMost is how many controllers a settings file names.
const seedsMost = 3

func (s *System) settings(node, class, ip string, i, ports int) string {
	return fmt.Sprintf(`node-name=%s
machine-class=%s
ip=%s
zone=%s
region=here
internal-ports=%d,%d
seeds=%s
cold-start=true
beat-period-ms=%d
tolerance.machine-losses=1
bounds.grace-s=%g
lab-relay=%s
%s
`, node, class, ip, zone(i), ports, ports+rangeLength-1, strings.Join(s.Control[:min(seedsMost, s.options.Controllers)], ","), beatPeriod.Milliseconds(),
		Grace.Seconds(), s.options.Relay, s.options.Settings)
}

// until waits for a condition, or for what makes it impossible.
func (s *System) until(ctx context.Context, what string, is func() bool) error {
	for !is() {
		for _, p := range s.Processes {
			if err := p.Fault(); err != nil {
				return errors.Wrapf(err, "till %s", what)
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "till %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// Stop ends everything and removes the folder.
func (s *System) Stop() error {
	err := end(s.Processes, Grace+3*time.Second)
	for _, x := range s.Searchers() {
		x.Close()
	}
	closeAll(s.relays)
	if s.client != nil {
		s.client.Close()
	}
	if s.options.Dir != "" {
		return err
	}
	return errors.Join(err, os.RemoveAll(s.dir))
}

// status asks for a page of the system's host; 0 if there is no answer.
func status(ctx context.Context, url, attempt string) int {
	return Status(ctx, http.DefaultClient, url, attempt)
}

// Status does so with a client of the caller's. Without an attempt the page is none of the system's host.
func Status(ctx context.Context, by *http.Client, url, attempt string) int {
	const within = time.Second
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	if attempt != "" {
		req.Host = host
		req.Header.Set("Attempt-Id", attempt)
		req.Header.Set("Deadline-Ms", strconv.FormatInt(within.Milliseconds(), 10))
	}
	res, err := by.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
