package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/invariant"
	"peathollow/internal/keepalive"
	"peathollow/internal/standin/localsystem"
)

const (
	startMost  = 30 * time.Second
	settleTime = 8 * time.Second // after all trouble is over, until each request must be served
	calmTime   = 3 * time.Second // for which that is watched
	overMost   = 40 * time.Second
	notesMost  = 50 // violations of one run

	connectTime = time.Second
	idleTime    = 2 * time.Second
)

// run is one run of the soak.
type run struct {
	options  Options
	schedule Schedule
	system   *localsystem.System
	network  *network
	ctx      context.Context // of all trouble

	through       string // where callers say whom they call
	searcherDoors []string
	load          *load
	operators     *operators
	fronts        []front
	probes        *http.Client
	probeNumber   atomic.Int64
	places        atomic.Int64
	births        atomic.Int64           // of searchers: each life has an id of its own
	locks         []sync.Mutex           // by process
	active        []*localsystem.Process // those that are not gone for good or still to come; under the lock mu

	mu         sync.Mutex
	searchers  []*searcher
	struck     map[*searcher]bool
	inflicted  []*inflicted
	violations []string
	log        *os.File
	began      time.Time
}

// Run runs the soak. The result tells of violations; an error is one of the soak itself.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", fmt.Sprintf("peathollow-soak-%d-", o.Seed))
		if err != nil {
			return nil, errors.Wrap(err, "folder")
		}
		o.Dir = dir
	}
	schedule := Draw(o.Seed, o.For, o.Trouble, o.AtOnce)
	schedule.Shape = o.shape(schedule.Shape)
	r := &run{options: o, schedule: schedule, ctx: ctx, struck: map[*searcher]bool{}, began: time.Now()}
	log, err := os.Create(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer log.Close()
	r.log = log
	if err := r.writeSchedule(); err != nil {
		return nil, err
	}
	return r.run()
}

func (r *run) writeSchedule() error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %v, %+v\n", r.options.Seed, r.options.For, r.schedule.Shape)
	for _, t := range r.schedule.Troubles {
		fmt.Fprintln(&b, t)
	}
	if err := os.WriteFile(filepath.Join(r.options.Dir, "schedule.txt"), []byte(b.String()), 0o600); err != nil {
		return errors.Wrap(err, "schedule")
	}
	return nil
}

func (r *run) run() (*Result, error) {
	if err := r.start(); err != nil {
		return nil, err
	}
	result := &Result{Seed: r.options.Seed, Dir: r.options.Dir, Shape: r.schedule.Shape, Troubles: len(r.schedule.Troubles)}
	working, stop := context.WithCancel(r.ctx)
	var all sync.WaitGroup
	all.Go(func() { r.load.send(working, r.options.Rate) })
	all.Go(func() { r.operators.work(working) })
	all.Go(func() { r.operators.read(working) })
	for i := range r.fronts {
		all.Go(func() { r.watch(working, i) })
		all.Go(func() { r.probe(working, i) })
	}
	r.trouble()
	r.note("calm")
	r.pause(settleTime - calmTime)
	r.lastLeavers()
	calm := time.Now()
	r.pause(calmTime)
	stop()
	all.Wait()
	if r.ctx.Err() != nil {
		return nil, errors.Join(r.ctx.Err(), r.system.Stop())
	}
	r.judge(calm, result)
	return result, nil
}

// start starts the system with everything around it.
func (r *run) start() error {
	r.network = newNetwork(func(err error) { r.violated("soak: relay: %v", err) })
	through, err := r.network.openThrough()
	if err != nil {
		return err
	}
	r.through = through
	env := []string{invariant.FatalVariable + "=fatal", "PEATHOLLOW_LOG=info"}
	r.system, err = localsystem.Launch(localsystem.Options{Program: r.options.Program, Env: env, Controllers: r.schedule.Shape.Controllers,
		Fronts: r.schedule.Shape.Fronts, Spares: r.schedule.Shape.Spares, Dir: r.options.Dir, Relay: through,
		Settings: fmt.Sprintf("bounds.drain-ms=%d\nbounds.reuse-delay-s=%g\nbounds.retry-ratio=%g\nbounds.retry-window-s=%g\nbounds.retry-slack=%d", drainTime.Milliseconds(),
			reuseDelay.Seconds(), retryRatio, retryWindow.Seconds(), r.schedule.Shape.RetrySlack)})
	if err != nil {
		return err
	}
	resolve := resolver(r.system.Resolve)
	r.network.resolve.Store(&resolve)
	r.locks = make([]sync.Mutex, len(r.system.Processes))
	r.active = slices.Clone(r.system.Processes[:len(r.system.Processes)-r.schedule.Shape.Spares])
	r.fronts = make([]front, len(r.system.Fronts))
	if err := r.open(); err != nil {
		return errors.Join(err, r.system.Stop())
	}
	return nil
}

// open opens the ways in from outside, and waits until the system serves.
func (r *run) open() error {
	for i, to := range r.system.Control {
		door, err := r.network.open(outside, func() (string, string) { return to, fmt.Sprint("core-", i) })
		if err != nil {
			return err
		}
		r.searcherDoors = append(r.searcherDoors, door)
	}
	r.probes = r.caller(clients, 4)
	r.load, r.operators = newLoad(r), newOperators(r)
	if err := r.populate(); err != nil {
		return err
	}
	starting, stop := context.WithTimeout(r.ctx, startMost)
	defer stop()
	r.operators.change(starting)
	if err := r.system.AwaitReady(starting); err != nil {
		return err
	}
	if err := r.system.Warm(); err != nil {
		return err
	}
	r.began = time.Now()
	return nil
}

// trouble inflicts the schedule and waits until it is over.
func (r *run) trouble() {
	var all sync.WaitGroup
	for _, t := range r.schedule.Troubles {
		r.pause(time.Until(r.began.Add(t.At)))
		all.Go(func() { r.inflict(t) })
	}
	r.pause(time.Until(r.began.Add(r.options.For)))
	over := make(chan struct{})
	go func() {
		all.Wait()
		close(over)
	}()
	select {
	case <-over:
	case <-time.After(overMost):
		r.violated("soak: trouble is not over %v after its time", overMost)
	}
}

// lastLeavers has searchers leave in the calm, where their leaving is watched most strictly.
func (r *run) lastLeavers() {
	for i := range 2 {
		if s := r.takeOne(i * r.schedule.Shape.Copies); s != nil {
			go r.leave(s, i == 0)
		}
	}
}

// judge says what was wrong.
func (r *run) judge(calm time.Time, result *Result) {
	for _, p := range r.present("") {
		r.ending(p)
	}
	r.judgeCalm(calm, result)
	r.judgeEnd()
	explained, failures := r.explain()
	result.Explained, result.Failures = explained, failures
	if err := r.system.Stop(); err != nil {
		r.violated("at the end: %v", err)
	}
	r.network.close()
	r.judgeLedger()
	for _, q := range r.load.all() {
		result.Requests++
		switch {
		case q.right && !q.whole:
			result.Partial++
			fallthrough
		case q.right:
			result.Right++
		case q.left:
			result.Left++
		default:
			result.Unanswered++
		}
	}
	r.operators.mu.Lock()
	for _, d := range r.operators.orders {
		result.Orders++
		if !d.acked.IsZero() {
			result.Acked++
		}
	}
	r.operators.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Violations = r.violations
	b, err := json.MarshalIndent(result, "", "  ")
	if err == nil {
		os.WriteFile(filepath.Join(r.options.Dir, "result.json"), b, 0o600)
	}
}

// judgeEnd reads back the configuration and looks at what the processes count of themselves.
func (r *run) judgeEnd() {
	ctx, stop := context.WithTimeout(r.ctx, contactTime)
	defer stop()
	read := false
	for ctx.Err() == nil && !read {
		read = r.operators.readOnce(ctx)
	}
	if !read {
		r.violated("not read back: the configuration was asked for during %v of calm", contactTime)
	}
	for _, p := range r.present("") {
		figures := r.figures(ctx, p)
		os.WriteFile(filepath.Join(r.options.Dir, p.Name+".metrics"), []byte(figures), 0o600)
		if figures == "" {
			r.violated("no figures: %s", p.Name)
		}
		for line := range strings.Lines(figures) {
			if strings.HasPrefix(line, "peathollow_invariant_violations_total{") || strings.HasPrefix(line, "peathollow_decision_restarts_total") && !strings.HasSuffix(strings.TrimSpace(line), " 0") {
				r.violated("counted by %s: %s", p.Name, strings.TrimSpace(line))
			}
		}
	}
}

// caller makes an HTTP client whose connections go through the relay.
func (r *run) caller(from string, idle int) *http.Client {
	dial := keepalive.TCP{Relay: r.through, From: from}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTime,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial.Dial(ctx, address, connectTime, patience)
		}}}
}

// process finds a process by its name.
func (r *run) process(name string) *localsystem.Process {
	for _, p := range r.system.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

func (r *run) proxyName(front int) string { return fmt.Sprintf("front-%d-proxy", front) }

const probePrefix = "probe-"

func (r *run) probeID() string { return fmt.Sprint(probePrefix, r.probeNumber.Add(1)) }

func (r *run) isProbe(id string) bool { return strings.HasPrefix(id, probePrefix) }

// violated notes that something was wrong.
func (r *run) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("VIOLATED %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < notesMost {
		r.violations = append(r.violations, text)
	}
}

// note writes a line of the run's own log.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%s %8.3f %s\n", time.Now().UTC().Format("15:04:05.000"), time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.WriteString(line)
	if r.options.Out != nil {
		r.options.Out(strings.TrimSuffix(line, "\n"))
	}
}
