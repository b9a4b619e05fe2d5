package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"peathollow/client"
)

// run is the state of a run in progress.
type run struct {
	Options
	dir             string
	net             loopbackNet
	controlAddrs    []string
	children        []*child
	controllers     []*child
	agentProcess    *child
	searcherProcess *child
	client          *client.Client
	report          *Report
	version         int
}

const (
	stepTimeout  = 20 * time.Second // limit for one update to reach all agents
	maxDrainTime = 4 * time.Second  // longest time for which a draining searcher keeps sending heartbeats
)

// Run performs a run, and stops its processes and removes its files before it returns. Once the options have passed their check
// and the run's folder exists, an error comes with the report as far as it got.
func Run(ctx context.Context, options Options) (report *Report, err error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	r := &run{Options: options, report: &Report{Options: options, Date: time.Now().UTC().Format(time.RFC3339), Go: runtime.Version(),
		Cores: runtime.NumCPU(), LoadBefore: loadAverage()}}
	ctx, cancel := context.WithTimeoutCause(ctx, options.StartTimeout+options.SettleTime+options.Duration+3*stepTimeout,
		errors.New("the run exceeded its time limit"))
	defer cancel()
	if r.dir, err = os.MkdirTemp("", "peathollow-scale-"); err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	defer func() {
		if r.client != nil {
			r.client.Close()
		}
		stopErr := stopAll(r.children, 10*time.Second)
		r.report.LoadAfter = loadAverage()
		err = errors.Join(err, stopErr, os.RemoveAll(r.dir))
	}()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	go r.guard(ctx, abort)
	start := time.Now()
	if err := r.start(ctx); err != nil {
		return r.report, err
	}
	r.report.StartSeconds = time.Since(start).Seconds()
	r.progress("all mixers know all searchers after %.1f s", r.report.StartSeconds)
	if !sleep(ctx, options.SettleTime) {
		return r.report, context.Cause(ctx)
	}
	if err := r.measureWindow(ctx, "quiet", func(ctx context.Context) error { sleep(ctx, options.Duration/2); return nil }); err != nil {
		return r.report, err
	}
	if err := r.measureWindow(ctx, "busy", r.applyChanges); err != nil {
		return r.report, err
	}
	return r.report, context.Cause(ctx)
}

func (r *run) progress(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// guard checks once a second how much memory the run uses and aborts it above maxMemory.
func (r *run) guard(ctx context.Context, abort context.CancelCauseFunc) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if memory := treeMemory(os.Getpid()); memory > maxMemory {
			abort(errors.Errorf("the run uses %d MB of memory, limit %d MB", memory>>20, maxMemory>>20))
			return
		}
	}
}

// treeMemory sums the resident memory of a process and its children, in bytes.
func treeMemory(parent int) (sum int64) {
	lists, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", parent))
	if err != nil {
		return 0
	}
	pids := []int{parent}
	for _, path := range lists {
		b, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		pids = append(pids, parsePIDs(b)...)
	}
	for _, pid := range pids {
		if u, err := readUsage(pid); err == nil {
			sum += u.memory
		}
	}
	return sum
}

// start launches all processes and waits until all mixers know all searchers.
func (r *run) start(ctx context.Context) (err error) {
	if r.net, err = findFreeNet(r.Controllers + 1); err != nil {
		return err
	}
	procs := []string{fmt.Sprint("GOMAXPROCS=", r.MaxProcs)}
	for i := range r.Controllers {
		r.controlAddrs = append(r.controlAddrs, r.net.addr(i, portControl))
	}
	for i := range r.Controllers {
		name := fmt.Sprint("controller-", i)
		dataDir := filepath.Join(r.dir, name)
		if err := os.Mkdir(dataDir, 0o700); err != nil {
			return errors.Wrap(err, name)
		}
		settingsFile, err := r.writeSettings(name, "core", i, zoneOf(i, r.Controllers), "bind-addrs.control="+r.controlAddrs[i],
			"data-dir="+dataDir, "serves=supervisor", "counts-loss=true")
		if err != nil {
			return err
		}
		controller, err := r.launch("controller", name, append(procs, "PEATHOLLOW_SETTINGS="+settingsFile), "controller")
		if err != nil {
			return err
		}
		r.controllers = append(r.controllers, controller)
	}
	r.client = client.New(r.controlAddrs...)
	if err := r.waitUntil(ctx, "all controllers are members", func(ctx context.Context) (bool, error) {
		status, err := r.client.Status(ctx)
		return err == nil && len(status.Members) == r.Controllers && status.Primary != "", err
	}); err != nil {
		return err
	}
	r.progress("%d controllers are members", r.Controllers)
	if _, _, err := r.putNextVersion(ctx); err != nil {
		return err
	}
	if r.searcherProcess, err = r.startSimulated("searchers", procs, r.Searchers); err != nil {
		return err
	}
	if _, err := r.searcherProcess.await("ready", r.StartTimeout, nil); err != nil {
		return err
	}
	r.progress("%d searchers report", r.Searchers)
	if err := r.startFront(procs); err != nil {
		return err
	}
	if r.Mixers > 1 {
		if r.agentProcess, err = r.startSimulated("agents", procs, r.Mixers-1); err != nil {
			return err
		}
		if _, err := r.agentProcess.await("ready", stepTimeout, nil); err != nil {
			return err
		}
	}
	return r.waitUntil(ctx, "all mixers know all searchers", func(ctx context.Context) (bool, error) {
		status, err := r.client.Status(ctx)
		if err == nil && status.Mixers != r.Mixers {
			err = errors.Errorf("%s counts %d mixers", status.Node, status.Mixers)
		}
		if err != nil || r.agentProcess == nil {
			return err == nil, err
		}
		totals, err := r.queryTotals(r.agentProcess)
		if err == nil && totals.MinListed < r.Searchers {
			err = errors.Errorf("an agent lists only %d searchers; %d connections failed, first: %s",
				totals.MinListed, totals.PullErrors, totals.FirstError)
		}
		return err == nil, err
	})
}

// startFront starts a real agent and proxy, in a zone chosen by the seed. They show the cost of what a simulated agent leaves out.
func (r *run) startFront(procs []string) error {
	settingsFile, err := r.writeSettings("front", "front", r.Controllers, zones[r.Seed%uint64(len(zones))], "serves=front",
		"bind-addrs.front="+r.net.addr(r.Controllers, portFront), "bind-addrs.readiness="+r.net.addr(r.Controllers, portReady))
	if err != nil {
		return err
	}
	for _, role := range []string{"agent", "proxy"} {
		if _, err := r.launch(role, role, append(procs, "PEATHOLLOW_SETTINGS="+settingsFile), role); err != nil {
			return err
		}
	}
	return nil
}

// startSimulated starts a process with count simulated agents or searchers.
func (r *run) startSimulated(kind string, procs []string, count int) (*child, error) {
	process, err := r.launch(kind, "hollow-"+kind, procs, "lab", "hollow", kind)
	if err != nil {
		return nil, err
	}
	task := Task{Seed: r.Seed, Count: count, ControlAddrs: r.controlAddrs, HeartbeatPeriod: r.HeartbeatPeriod,
		DrainTime: min(maxDrainTime, r.Duration/4), Services: max(r.Shards, 12), Restart: r.RestartsPerMinute,
		Crash: r.CrashesPerMinute, FreshConnections: r.FreshConnections}
	if r.Mixers > 100 { // agents on separate machines would load the list in parallel; here they share one process
		task.StartInterval = 5*time.Millisecond + 10*time.Microsecond*time.Duration(r.Searchers)
	}
	for i := range min(3, r.Controllers) {
		task.DistributionAddrs = append(task.DistributionAddrs, r.net.addr(i, portDistribution))
	}
	if err := process.commands.Encode(task); err != nil {
		return nil, errors.Wrapf(err, "task of %s", process.name)
	}
	return process, nil
}

// queryTotals requests the running totals of a simulated process.
func (r *run) queryTotals(c *child) (*Totals, error) {
	if err := c.send(Command{Action: "tally"}); err != nil {
		return nil, err
	}
	event, err := c.await("tally", stepTimeout, r.lateEvent)
	return event.Totals, err
}

// usageSummary lists what each process has used so far, for progress messages during a slow start.
func (r *run) usageSummary() string {
	var entries []string
	for _, c := range r.children {
		if u, err := readUsage(c.cmd.Process.Pid); err == nil {
			entries = append(entries, fmt.Sprintf("%s %.1f s, %d MB", c.name, u.cpu.Seconds(), u.memory>>20))
		}
	}
	return strings.Join(entries, "; ")
}

// waitUntil polls check until it returns true, a child process exits, or the start's time limit passes.
func (r *run) waitUntil(ctx context.Context, condition string, check func(context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, r.StartTimeout)
	defer cancel()
	var lastErr error
	lastProgress := time.Now()
	for {
		if time.Since(lastProgress) > 10*time.Second {
			lastProgress = time.Now()
			r.progress("waiting until %s: %v; usage so far: %s", condition, lastErr, r.usageSummary())
		}
		callCtx, cancelCall := context.WithTimeout(ctx, 3*time.Second)
		met, err := check(callCtx)
		cancelCall()
		if met {
			return nil
		}
		if err != nil {
			lastErr = err
		}
		for _, c := range r.children {
			if c.hasExited() {
				return errors.Errorf("wait until %s: process %s exited: %v; its log ends with:\n%s",
					condition, c.name, c.exitErr, c.logTail(5))
			}
		}
		if !sleep(ctx, 200*time.Millisecond) {
			return errors.Wrapf(errors.Join(context.Cause(ctx), lastErr), "wait until %s", condition)
		}
	}
}
