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
	defaultControllers = 3
	defaultFronts      = 2
	maxControllers     = 9
	maxFronts          = 60

	shards = 3
	copies = 2 // searchers per service
	topK   = 10

	host   = "try.example"
	single = "single"

	beatPeriod = 400 * time.Millisecond
	// Grace is the time between SIGTERM and SIGKILL that the settings of a system state.
	Grace = 2 * time.Second
)

// Options configures a System.
type Options struct {
	Program     []string // command and its first arguments; the role follows
	Env         []string // additional environment of the processes
	Controllers int      // default 3
	Fronts      int      // default 2
	Spares      int      // further controllers with empty disks that are set up but not started
	Dir         string   // directory for settings, logs and disks, kept by Stop; default: a temporary one that Stop removes
	Relay       string   // address of the relay through which the processes dial each other; default none; see keepalive.TCP
	Settings    string   // additional lines for all settings files
}

// System is a running system.
type System struct {
	Control   []string       // control addresses of the controllers
	Fronts    []string       // addresses that serve clients
	Ready     []string       // readiness addresses of the fronts
	Processes []*Process     // controllers first, then each front's agent and proxy, then spare controllers
	Ledger    *faulty.Ledger // shared by all searchers

	mu        sync.Mutex
	searchers []*Searcher

	options    Options
	base       int // first port of the system
	sharedBase int // first of the ports that are the same on all machines
	dir        string
	relays     []net.Listener
	client     *client.Client
}

// Start starts a system and waits until its fronts are ready. If it fails, it stops everything it started.
func Start(ctx context.Context, o Options) (*System, error) {
	s, err := Launch(o)
	if err != nil {
		return nil, err
	}
	if err := s.serve(ctx); err != nil {
		// Includes the errors of Stop: why a process ended explains more than the timeout that follows from it.
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

// Launch starts the processes of a system without searchers and configuration. If it fails, it stops all it started.
func Launch(o Options) (*System, error) {
	if o.Controllers == 0 {
		o.Controllers = defaultControllers
	}
	if o.Fronts == 0 {
		o.Fronts = defaultFronts
	}
	if o.Controllers+o.Spares > maxControllers || o.Fronts > maxFronts {
		return nil, errors.Errorf("%d controllers and %d fronts: %d and %d at most", o.Controllers+o.Spares, o.Fronts, maxControllers, maxFronts)
	}
	for attempt := 0; ; attempt++ {
		s, err := launchAt(o)
		// A port that was found free may be taken by another process before it is used.
		if err == nil || attempt == 2 || !strings.Contains(err.Error(), "address already in use") {
			return s, err
		}
	}
}

func launchAt(o Options) (*System, error) {
	base, reservations, err := reserveBase(o.Fronts)
	if err != nil {
		return nil, err
	}
	s := &System{dir: o.Dir, base: base, sharedBase: base + o.Fronts*rangeLength, relays: reservations, options: o, Ledger: &faulty.Ledger{}}
	if s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "peathollow-try-"); err != nil {
			return nil, errors.Wrap(err, "create directory")
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
		s.Control = append(s.Control, joinAddress(controllerIP(i), s.sharedBase+portControl))
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
	firstPort := s.base + i*rangeLength
	name, ip := fmt.Sprint("front-", i), frontIP(i)
	if i > 0 && s.options.Relay == "" {
		if err := s.relayDistribution(firstPort); err != nil {
			return err
		}
	}
	s.Fronts, s.Ready = append(s.Fronts, joinAddress(ip, s.sharedBase+portFront)),
		append(s.Ready, joinAddress(ip, s.sharedBase+portReady))
	conf := s.settings(name, "front", ip, i, firstPort) +
		fmt.Sprintf("bind-addrs.front=%s\nbind-addrs.readiness=%s\n", s.Fronts[i], s.Ready[i])
	if err := s.add("agent", name, name+"-agent", ip, portAgentMetrics, conf); err != nil {
		return err
	}
	return s.add("proxy", name, name+"-proxy", ip, portProxyMetrics, conf)
}

// relayDistribution forwards the distribution port in a front's own port range to each controller.
func (s *System) relayDistribution(firstPort int) error {
	for k := range s.options.Controllers {
		ln, err := net.Listen("tcp", joinAddress(controllerIP(k), firstPort+portDistribution))
		if err != nil {
			return errors.Wrap(err, "relay")
		}
		s.relays = append(s.relays, ln)
		go relay(ln, joinAddress(controllerIP(k), s.base+portDistribution))
	}
	return nil
}

// Resolve returns the real address and the machine that a process on machine from dials through Options.Relay; see ports.go.
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
		if ip == controllerIP(i) && port < s.sharedBase {
			port = s.base + (port-s.base)%rangeLength
		}
		if ip == controllerIP(i) {
			return joinAddress(ip, port), fmt.Sprint("core-", i), nil
		}
	}
	for i := range s.options.Fronts {
		if ip == frontIP(i) {
			return address, fmt.Sprint("front-", i), nil
		}
	}
	return address, from, nil // an agent, dialled by the proxy on the same machine
}

// Add adds a searcher to the system: its responses count as correct from now on, and Stop closes it.
func (s *System) Add(x *Searcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searchers = append(s.searchers, x)
}

// Searchers returns all searchers that were added, including closed ones.
func (s *System) Searchers() []*Searcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.searchers)
}

// ReservedAddress returns the i-th address reserved for the caller during the lifetime of the system.
func (s *System) ReservedAddress(i int) string {
	const first, perBlock = 1, 250
	return joinAddress(fmt.Sprintf("127.0.%d.%d", first+i/perBlock, 1+i%perBlock), s.sharedBase+portOthers)
}

// serve adds searchers, submits a configuration and waits until all fronts are ready.
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

// AwaitReady waits until all fronts report that they are ready.
func (s *System) AwaitReady(ctx context.Context) error {
	for _, at := range s.Ready {
		if err := s.waitFor(ctx, at+" is ready", func() bool { return status(ctx, "http://"+at+"/ready", "") == http.StatusOK }); err != nil {
			return err
		}
	}
	return nil
}

// disk returns the directory that serves as a controller's disk.
func (s *System) disk(machine string) string { return filepath.Join(s.dir, machine) }

// Wipe empties the disk of a controller. The controller must not be running.
func (s *System) Wipe(machine string) error {
	if err := os.RemoveAll(s.disk(machine)); err != nil {
		return errors.Wrap(err, machine)
	}
	if err := os.Mkdir(s.disk(machine), 0o700); err != nil {
		return errors.Wrap(err, machine)
	}
	return nil
}

// ClearColdStart sets cold-start to false in all settings files, for processes that are started again later.
func (s *System) ClearColdStart() error {
	for _, p := range s.Processes {
		conf, err := os.ReadFile(p.SettingsPath)
		if err != nil {
			return errors.Wrap(err, p.Name)
		}
		conf = bytes.Replace(conf, []byte("cold-start=true"), []byte("cold-start=false"), 1)
		if err := os.WriteFile(p.SettingsPath, conf, 0o600); err != nil {
			return errors.Wrap(err, p.Name)
		}
	}
	return nil
}

// add sets up a process of a machine and starts it unless it belongs to a spare controller.
func (s *System) add(role, machine, name, ip string, metrics int, conf string) error {
	const path = "metrics"
	metricsAddress := fmt.Sprintf("%d/%s", s.sharedBase+metrics, path)
	program := s.options.Program
	p := &Process{Name: name, Machine: machine, Role: role, LogPath: filepath.Join(s.dir, name+".log"),
		SettingsPath: filepath.Join(s.dir, name+".conf"),
		MetricsURL:   "http://" + joinAddress(ip, s.sharedBase+metrics) + "/" + path, env: s.options.Env,
		program: append(program[:len(program):len(program)], role, "--metrics", metricsAddress)}
	if err := os.WriteFile(p.SettingsPath, []byte(conf), 0o600); err != nil {
		return errors.Wrap(err, name)
	}
	s.Processes = append(s.Processes, p)
	if len(s.Processes) > s.options.Controllers+2*s.options.Fronts {
		return nil // a spare controller
	}
	return p.Start()
}

// zones is the number of zones.
const zones = 3

func zone(i int) string { return fmt.Sprint("zone-", i%zones) }

func shard(i int) string { return fmt.Sprint("shard-", i) }

// maxSeeds is the maximum number of controllers that a settings file names.
const maxSeeds = 3

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
`, node, class, ip, zone(i), ports, ports+rangeLength-1, strings.Join(s.Control[:min(maxSeeds, s.options.Controllers)], ","), beatPeriod.Milliseconds(),
		Grace.Seconds(), s.options.Relay, s.options.Settings)
}

// waitFor waits until a condition holds. It fails if a process ends unexpectedly before that.
func (s *System) waitFor(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		for _, p := range s.Processes {
			if err := p.UnexpectedEnd(); err != nil {
				return errors.Wrapf(err, "wait until %s", what)
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait until %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// Stop stops all processes and searchers and, unless Options.Dir is set, removes the directory.
func (s *System) Stop() error {
	err := stopAll(s.Processes, Grace+3*time.Second)
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

// status calls Status with the default client.
func status(ctx context.Context, url, attempt string) int {
	return Status(ctx, http.DefaultClient, url, attempt)
}

// Status sends a GET request and returns the status of the response, or 0 if there is none. With an attempt ID the request
// is sent to the host that the system serves; without, the host is that of the URL.
func Status(ctx context.Context, client *http.Client, url, attempt string) int {
	const timeout = time.Second
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	if attempt != "" {
		req.Host = host
		req.Header.Set("Attempt-Id", attempt)
		req.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
