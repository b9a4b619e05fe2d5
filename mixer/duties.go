package mixer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"peathollow/attempt"
	"peathollow/duty"
	"peathollow/internal/discovery"
	"peathollow/internal/link"
	"peathollow/internal/proto"
	"peathollow/policy"
)

// Duties shared with other instances, if the settings file enables them: package duty decides, package member carries
// the messages, and probes are sent on the mixer's own connections. This runs outside the stages of a scan and never
// blocks the owner: the scheduler has a lock of its own that is held for microseconds, and all work that may block is
// done outside it.

// The kinds of duty, in the scheduler's order.
const (
	probeDuty = iota
	auditDuty
)

const listTarget = "list"

// dutyRunner drives the duty scheduler with the clock, messages and results, and carries out its actions.
type dutyRunner struct {
	limits      *Limits
	log         *zap.Logger
	owner       *owner
	watch       *discovery.Watcher
	send        func(to string, b []byte)
	loadReports bool
	start       time.Time
	wake        chan struct{}

	mu        sync.Mutex
	scheduler *duty.Scheduler
	actions   []func() // to be run after the lock is released
}

func newDutyRunner(c *Config, limits *Limits, log *zap.Logger, o *owner, w *discovery.Watcher, incarnation uint64,
	send func(to string, b []byte)) (*dutyRunner, error) {
	settings := &c.Options.Duties
	d := &dutyRunner{limits: limits, log: log.Named("duties"), owner: o, watch: w, send: send, loadReports: settings.Load,
		start: time.Now(), wake: make(chan struct{}, 1)}
	var err error
	d.scheduler, err = duty.New(duty.Settings{Name: c.Name, Incarnation: incarnation, Instances: settings.Instances,
		Shares: limits.DutyShares, Lease: settings.Lease, MaxConcurrent: settings.Running,
		WriteTimeout: min(limits.Link.WriteTimeout, settings.Lease/4), Kinds: []duty.Kind{
			probeDuty: {Name: "probe", Interval: settings.Interval, StartupPeriod: settings.Young, StartupFactor: settings.Gentle},
			auditDuty: {Name: "audit", Interval: settings.Audit, StartupFactor: 1},
		}}, d, 0)
	if err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	d.scheduler.SetTargets(auditDuty, []duty.Target{{Name: listTarget}})
	return d, nil
}

func (d *dutyRunner) now() time.Duration { return time.Since(d.start) }

// update applies a change to the scheduler and wakes run, which carries out the resulting actions.
func (d *dutyRunner) update(f func(s *duty.Scheduler)) {
	d.mu.Lock()
	d.scheduler.Advance(d.now())
	f(d.scheduler)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run advances the scheduler and carries out its actions until the context ends.
func (d *dutyRunner) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		d.mu.Lock()
		d.scheduler.Advance(d.now())
		next := d.scheduler.Wake()
		actions := d.actions
		d.actions = nil
		d.mu.Unlock()
		for _, f := range actions {
			f()
		}
		timer.Reset(max(0, next-d.now()))
	}
}

// Run, Send, ObserveResult and Record implement the actions of the scheduler. They are called with the lock held.
func (d *dutyRunner) Run(token uint64, kind int, target string) {
	switch kind {
	case probeDuty:
		d.actions = append(d.actions, func() { d.probe(token, target) })
	case auditDuty:
		d.actions = append(d.actions, func() { go d.audit(token) })
	}
}

func (d *dutyRunner) Send(to string, msg duty.Message) {
	b := msg.Append(nil)
	d.actions = append(d.actions, func() { d.send(to, b) })
}

func (d *dutyRunner) ObserveResult(target string, r duty.Result, peer string) {
	if r.Kind != probeDuty {
		return
	}
	answered := r.Outcome == duty.Reached
	// The result may be lost: the policy mostly decides without probes, and this goroutine must not wait for the owner.
	d.actions = append(d.actions, func() {
		d.owner.tryPost(func() {
			d.owner.Probed(target, r.Age, answered)
		})
	})
	d.log.Debug("probed", zap.String("searcher", target), zap.Stringer("outcome", r.Outcome), zap.Duration("took", r.Took),
		zap.String("load", r.Load), zap.String("peer", peer), zap.Duration("age", r.Age))
}

func (d *dutyRunner) Record(n duty.EventRecord) {
	level := zap.DebugLevel
	if n.Event == duty.ClockJumped || n.Event == duty.MessageRejected {
		level = zap.WarnLevel
	}
	d.log.Log(level, n.Event.String(), zap.Int("share", n.Share), zap.String("peer", n.Peer))
}

// View and Message are called by the member group.
func (d *dutyRunner) View(others map[string]uint64) {
	d.update(func(s *duty.Scheduler) { s.SetMembers(others) })
}

func (d *dutyRunner) Message(b []byte) {
	msg, err := duty.DecodeMessage(b)
	if err != nil {
		d.log.Warn("message not believed", zap.Error(err))
		d.update(func(s *duty.Scheduler) { s.CountUndecodable() })
		return
	}
	d.update(func(s *duty.Scheduler) { s.Receive(msg) })
}

// setTargets sets the searchers to be probed. The owner calls it with each list.
func (d *dutyRunner) setTargets(hosts []proto.Host) {
	var targets []duty.Target
	for _, h := range hosts {
		t := duty.Target{Name: h.Name}
		if !h.Born.IsZero() {
			t.Age, t.AgeKnown = max(0, time.Since(h.Born)), true
		}
		targets = append(targets, t)
	}
	d.update(func(s *duty.Scheduler) { s.SetTargets(probeDuty, targets) })
}

func (d *dutyRunner) reportResult(token uint64, outcome duty.Outcome, took time.Duration, load string) {
	d.update(func(s *duty.Scheduler) { s.Done(token, outcome, took, load) })
}

// probe asks the owner to send a probe on one of the searcher's connections. Permit is checked when its bytes are
// written.
func (d *dutyRunner) probe(token uint64, target string) {
	p := link.Probe{Load: d.loadReports, Timeout: d.limits.ProbeTimeout,
		Permit: func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.scheduler.Permit(token, d.now())
		},
		Done: func(r link.ProbeResult) {
			outcome := duty.Failed
			switch {
			case !r.Sent:
				outcome = duty.NotSent
			case r.Answered && r.Text == "500":
				outcome = duty.Refused
			case r.Answered:
				outcome = duty.Reached
			}
			load := ""
			if d.loadReports && len(r.Text) <= d.limits.MaxLoadReport {
				load = r.Text
			}
			d.reportResult(token, outcome, r.Took, load)
		}}
	if !d.owner.tryPost(func() {
		if !d.owner.SendOutOfBand(target, func(c attempt.TransportConn) bool { return c.(*link.Conn).Probe(p) }) {
			d.reportResult(token, duty.NotSent, 0, "")
		}
	}) {
		d.reportResult(token, duty.NotSent, 0, "")
	}
}

// audit compares the whole list with the watched one. It is the second kind of duty: one instance requests the list on
// behalf of all, and restarts its own watch if that has diverged.
func (d *dutyRunner) audit(token uint64) {
	d.mu.Lock()
	permitted := d.scheduler.Permit(token, d.now())
	d.mu.Unlock()
	if !permitted {
		d.reportResult(token, duty.NotSent, 0, "")
		return
	}
	ctx, cancel := context.WithTimeout(d.owner.ctx, d.limits.AuditTimeout)
	defer cancel()
	started := time.Now()
	whole, err := d.watch.FetchList(ctx)
	took := time.Since(started)
	if err != nil {
		d.log.Warn("audit: cannot fetch the list", zap.Error(err))
		d.reportResult(token, duty.Failed, took, "")
		return
	}
	d.owner.post(func() {
		differing, sameVersion := countDifferences(d.owner.Coordinator, whole)
		summary := fmt.Sprintf("entries=%d,differ=%d", len(whole.Hosts), differing)
		if differing > 0 {
			d.log.Warn("audit: the list watched differs", zap.Int("entries", differing), zap.Bool("sameVersion", sameVersion))
		}
		if differing > 0 && sameVersion {
			d.watch.Restart() // the versions are equal, so the watch is wrong and not only behind
		}
		d.reportResult(token, duty.Reached, took, summary)
	})
}

// leave hands the duties over before the process ends.
func (d *dutyRunner) leave() {
	d.mu.Lock()
	d.scheduler.Advance(d.now())
	d.scheduler.Leave()
	actions := d.actions
	d.actions = nil
	d.mu.Unlock()
	for _, f := range actions {
		f()
	}
}

// dutyStatus is the JSON document that `duties show` prints.
type dutyStatus struct {
	Name   string
	Counts duty.Counts
	Rows   []duty.Status
}

// serveStatus serves the status on a Unix socket that only the same user can open, for operators on the same machine.
// It returns a function that closes the socket.
func (d *dutyRunner) serveStatus(path, name string) (func(), error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("duties.show: %w", err)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("duties.show: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, fmt.Errorf("duties.show: %w", err)
	}
	srv := &http.Server{ReadTimeout: d.limits.AuditTimeout, WriteTimeout: d.limits.AuditTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			d.mu.Lock()
			d.scheduler.Advance(d.now())
			s := dutyStatus{Name: name, Counts: d.scheduler.Counts(), Rows: d.scheduler.Statuses()}
			d.mu.Unlock()
			if err := json.NewEncoder(w).Encode(s); err != nil {
				d.log.Debug("show", zap.Error(err))
			}
		})}
	go srv.Serve(ln)
	return func() { srv.Close() }, nil
}

// tryPost queues an event for the owner unless the queue is full.
func (o *owner) tryPost(f func()) bool {
	select {
	case o.events <- f:
		return true
	default:
		return false
	}
}

// countDifferences counts the entries that differ between a whole list and the stored one, and reports whether both have
// the same version.
func countDifferences(o *attempt.Coordinator, l proto.List) (n int, sameVersion bool) {
	stored := map[string]proto.Host{}
	for _, h := range o.Hosts() {
		stored[h.Name] = h
	}
	for _, h := range l.Hosts {
		if old, ok := stored[h.Name]; h.State != policy.Gone && (!ok || old.State != h.State || old.Addr != h.Addr) {
			n++
		}
		delete(stored, h.Name)
	}
	return n + len(stored), l.Version == o.Version()
}
