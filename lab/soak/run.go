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
	startTimeout    = 30 * time.Second
	settleTime      = 8 * time.Second  // after the last fault has ended, until each request must be served
	quietCheckTime  = 3 * time.Second  // the part of settleTime in which requests are checked
	faultEndTimeout = 40 * time.Second // after the latest end that the schedule allows
	maxViolations   = 50               // violations recorded per run

	connectTimeout = time.Second
	idleTimeout    = 2 * time.Second
)

// run is one run of the soak test.
type run struct {
	options  Options
	schedule Schedule
	system   *localsystem.System
	network  *network
	ctx      context.Context // is done when the run is cancelled

	relayAddress      string // the relay's address for callers that name their callee
	searcherEndpoints []string
	load              *load
	operators         *operators
	fronts            []front
	probes            *http.Client
	probeNumber       atomic.Int64
	slotCount         atomic.Int64
	searcherCount     atomic.Int64           // numbers searchers, so that each incarnation has its own ID
	processLocks      []sync.Mutex           // by process
	active            []*localsystem.Process // without replaced controllers and spares; guarded by mu

	mu         sync.Mutex
	searchers  []*searcher
	affected   map[*searcher]bool // reserved for a fault; stopped searchers stay in it
	injected   []*injectedFault
	violations []string
	log        *os.File
	started    time.Time
}

// Run runs the soak test. Violations are part of the result; an error means that the test itself could not run.
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
	schedule := DrawSchedule(o.Seed, o.Duration, o.Kinds, o.MaxConcurrent)
	schedule.Shape = o.shape(schedule.Shape)
	r := &run{options: o, schedule: schedule, ctx: ctx, affected: map[*searcher]bool{}, started: time.Now()}
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
	fmt.Fprintf(&b, "seed %d, %v, %+v\n", r.options.Seed, r.options.Duration, r.schedule.Shape)
	for _, f := range r.schedule.Faults {
		fmt.Fprintln(&b, f)
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
	result := &Result{Seed: r.options.Seed, Dir: r.options.Dir, Shape: r.schedule.Shape, Troubles: len(r.schedule.Faults)}
	loadCtx, stop := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.load.send(loadCtx, r.options.Rate) })
	wg.Go(func() { r.operators.changePeriodically(loadCtx) })
	wg.Go(func() { r.operators.readPeriodically(loadCtx) })
	wg.Go(func() { r.watchStalls(loadCtx) })
	for i := range r.fronts {
		wg.Go(func() { r.watchReadiness(loadCtx, i) })
		wg.Go(func() { r.probeRoutes(loadCtx, i) })
	}
	r.injectFaults()
	r.logf("calm")
	r.sleep(settleTime - quietCheckTime)
	r.drainInQuietPeriod()
	quietSince := time.Now()
	r.sleep(quietCheckTime)
	stop()
	wg.Wait()
	if r.ctx.Err() != nil {
		return nil, errors.Join(r.ctx.Err(), r.system.Stop())
	}
	r.evaluate(quietSince, result)
	return result, nil
}

// start starts the system and its environment.
func (r *run) start() error {
	r.network = newNetwork(func(err error) { r.violation("soak: relay: %v", err) })
	relayAddress, err := r.network.openRouted()
	if err != nil {
		return err
	}
	r.relayAddress = relayAddress
	env := []string{invariant.FatalVariable + "=fatal", "PEATHOLLOW_LOG=info"}
	r.system, err = localsystem.Launch(localsystem.Options{Program: r.options.Program, Env: env, Controllers: r.schedule.Shape.Controllers,
		Fronts: r.schedule.Shape.Fronts, Spares: r.schedule.Shape.Spares, Dir: r.options.Dir, Relay: relayAddress,
		Settings: fmt.Sprintf("bounds.drain-ms=%d\nbounds.reuse-delay-s=%g\nbounds.retry-ratio=%g\nbounds.retry-window-s=%g\nbounds.retry-slack=%d", drainTime.Milliseconds(),
			reuseDelay.Seconds(), retryRatio, retryWindow.Seconds(), r.schedule.Shape.RetrySlack)})
	if err != nil {
		return err
	}
	resolve := resolver(r.system.Resolve)
	r.network.resolve.Store(&resolve)
	r.processLocks = make([]sync.Mutex, len(r.system.Processes))
	r.active = slices.Clone(r.system.Processes[:len(r.system.Processes)-r.schedule.Shape.Spares])
	r.fronts = make([]front, len(r.system.Fronts))
	if err := r.open(); err != nil {
		return errors.Join(err, r.system.Stop())
	}
	return nil
}

// open opens the controllers' endpoints for searchers, starts the searchers and waits until the system serves requests.
func (r *run) open() error {
	for i, to := range r.system.Control {
		endpoint, err := r.network.openForward(outside, func() (string, string) { return to, fmt.Sprint("core-", i) })
		if err != nil {
			return err
		}
		r.searcherEndpoints = append(r.searcherEndpoints, endpoint)
	}
	r.probes = r.newHTTPClient(clients, 4)
	r.load, r.operators = newLoad(r), newOperators(r)
	if err := r.populate(); err != nil {
		return err
	}
	startCtx, stop := context.WithTimeout(r.ctx, startTimeout)
	defer stop()
	r.operators.change(startCtx)
	if err := r.system.AwaitReady(startCtx); err != nil {
		return err
	}
	if err := r.system.ClearColdStart(); err != nil {
		return err
	}
	r.started = time.Now()
	return nil
}

// injectFaults injects the faults of the schedule and waits until they are over.
func (r *run) injectFaults() {
	var wg sync.WaitGroup
	for _, f := range r.schedule.Faults {
		r.sleep(time.Until(r.started.Add(f.At)))
		wg.Go(func() { r.inject(f) })
	}
	end := r.started.Add(max(r.options.Duration, r.schedule.latestEnd()))
	r.sleep(time.Until(r.started.Add(r.options.Duration)))
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(end) + faultEndTimeout):
		r.violation("soak: faults are still active %v after their latest end by the schedule", faultEndTimeout)
	}
}

// drainInQuietPeriod makes searchers leave in the quiet period, when the rules for draining are checked most strictly.
func (r *run) drainInQuietPeriod() {
	for i := range 2 {
		if s := r.takeSearcher(i * r.schedule.Shape.Copies); s != nil {
			go r.deregister(s, i == 0)
		}
	}
}

// evaluate checks the outcome of the run and fills in the result.
func (r *run) evaluate(quietSince time.Time, result *Result) {
	for _, p := range r.activeProcesses("") {
		r.checkExit(p)
	}
	r.checkQuietPeriod(quietSince, result)
	r.checkFinalState()
	explained, failures := r.explainFailures()
	result.Explained, result.Failures = explained, failures
	if err := r.system.Stop(); err != nil {
		r.violation("at the end: %v", err)
	}
	r.network.close()
	r.checkLedger()
	for _, q := range r.load.allRequests() {
		result.Requests++
		switch {
		case q.succeeded && !q.complete:
			result.Partial++
			fallthrough
		case q.succeeded:
			result.Right++
		case q.clientLeft:
			result.Left++
		default:
			result.Unanswered++
		}
	}
	r.operators.mu.Lock()
	for _, change := range r.operators.changes {
		result.Orders++
		if !change.acked.IsZero() {
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

// checkFinalState reads the configuration back and checks the metrics of the processes for violations that they counted
// themselves.
func (r *run) checkFinalState() {
	ctx, stop := context.WithTimeout(r.ctx, contactTime)
	defer stop()
	read := false
	for ctx.Err() == nil && !read {
		read = r.operators.readOnce(ctx)
	}
	if !read {
		r.violation("not read back: no controller returned the configuration within %v of the quiet period", contactTime)
	}
	for _, p := range r.activeProcesses("") {
		metrics := r.scrapeMetrics(ctx, p)
		os.WriteFile(filepath.Join(r.options.Dir, p.Name+".metrics"), []byte(metrics), 0o600)
		if metrics == "" {
			r.violation("no figures: %s", p.Name)
		}
		for line := range strings.Lines(metrics) {
			if strings.HasPrefix(line, "peathollow_invariant_violations_total{") ||
				strings.HasPrefix(line, "peathollow_decision_restarts_total") && !strings.HasSuffix(strings.TrimSpace(line), " 0") {
				r.violation("counted by %s: %s", p.Name, strings.TrimSpace(line))
			}
		}
	}
}

// newHTTPClient returns an HTTP client whose connections go through the relay.
func (r *run) newHTTPClient(from string, idle int) *http.Client {
	dial := keepalive.TCP{Relay: r.relayAddress, From: from}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTimeout,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial.Dial(ctx, address, connectTimeout, clientTimeout)
		}}}
}

// process returns the process with a name, or nil.
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

// violation records a violation.
func (r *run) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("VIOLATED %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, text)
	}
}

// logf writes a line to the log of the run.
func (r *run) logf(format string, args ...any) {
	line := fmt.Sprintf("%s %8.3f %s\n", time.Now().UTC().Format("15:04:05.000"), time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.WriteString(line)
	if r.options.Progress != nil {
		r.options.Progress(strings.TrimSuffix(line, "\n"))
	}
}
