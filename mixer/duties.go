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

// Duties shared with other instances, where the settings file turns them on: package duty decides, package member
// carries what is said, probes go out on the mixer's own connections. Beside the stages of a scan, and off the
// owner's way: the core stands behind a lock of its own that is held for microseconds, and whatever may wait is done
// outside it.

// The kinds of duty, in the core's order.
const (
	probeDuty = iota
	auditDuty
)

const listTarget = "list"

// minder drives the core.
type minder struct {
	lim   *Limits
	log   *zap.Logger
	o     *owner
	watch *discovery.Watcher
	say   func(to string, b []byte)
	load  bool
	start time.Time
	kick  chan struct{}

	mu   sync.Mutex
	core *duty.Scheduler
	acts []func() // to be done once the lock is free
}

func newMinder(c *Config, lim *Limits, log *zap.Logger, o *owner, w *discovery.Watcher, inc uint64,
	say func(to string, b []byte)) (*minder, error) {
	d := &c.Ours.Duties
	m := &minder{lim: lim, log: log.Named("duties"), o: o, watch: w, say: say, load: d.Load, start: time.Now(),
		kick: make(chan struct{}, 1)}
	var err error
	m.core, err = duty.New(duty.Settings{Name: c.Name, Incarnation: inc, Instances: d.Instances, Shares: lim.Shares, Lease: d.Lease,
		MaxConcurrent: d.Running, WriteTimeout: min(lim.Link.Write, d.Lease/4), Kinds: []duty.Kind{
			probeDuty: {Name: "probe", Interval: d.Interval, StartupPeriod: d.Young, StartupFactor: d.Gentle},
			auditDuty: {Name: "audit", Interval: d.Audit, StartupFactor: 1},
		}}, m, 0)
	if err != nil {
		return nil, fmt.Errorf("duties: %w", err)
	}
	m.core.SetTargets(auditDuty, []duty.Target{{Name: listTarget}})
	return m, nil
}

func (m *minder) now() time.Duration { return time.Since(m.start) }

// event hands something to the core, then does what that wants done.
func (m *minder) event(f func(c *duty.Scheduler)) {
	m.mu.Lock()
	m.core.Advance(m.now())
	f(m.core)
	m.mu.Unlock()
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// run looks after what is due until the context ends.
func (m *minder) run(ctx context.Context) {
	clock := time.NewTimer(0)
	defer clock.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.kick:
		case <-clock.C:
		}
		m.mu.Lock()
		m.core.Advance(m.now())
		next := m.core.Wake()
		acts := m.acts
		m.acts = nil
		m.mu.Unlock()
		for _, f := range acts {
			f()
		}
		clock.Reset(max(0, next-m.now()))
	}
}

// Run, Send, ObserveResult and Record are the core's actions; the lock is held.
func (m *minder) Run(token uint64, kind int, target string) {
	switch kind {
	case probeDuty:
		m.acts = append(m.acts, func() { m.probe(token, target) })
	case auditDuty:
		m.acts = append(m.acts, func() { go m.audit(token) })
	}
}

func (m *minder) Send(to string, msg duty.Message) {
	b := msg.Append(nil)
	m.acts = append(m.acts, func() { m.say(to, b) })
}

func (m *minder) ObserveResult(target string, r duty.Result, who string) {
	if r.Kind != probeDuty {
		return
	}
	answered := r.Outcome == duty.Reached
	// The module may miss one: it decides without them for the most part, and the owner must not be waited for.
	m.acts = append(m.acts, func() {
		m.o.try(func() {
			m.o.Probed(target, r.Age, answered)
		})
	})
	m.log.Debug("probed", zap.String("searcher", target), zap.Stringer("outcome", r.Outcome), zap.Duration("took", r.Took),
		zap.String("load", r.Load), zap.String("peer", who), zap.Duration("age", r.Age))
}

func (m *minder) Record(n duty.EventRecord) {
	level := zap.DebugLevel
	if n.Event == duty.ClockJumped || n.Event == duty.MessageRejected {
		level = zap.WarnLevel
	}
	m.log.Log(level, n.Event.String(), zap.Int("share", n.Share), zap.String("peer", n.Peer))
}

// View and Message come from the group.
func (m *minder) View(others map[string]uint64) {
	m.event(func(c *duty.Scheduler) { c.SetMembers(others) })
}

func (m *minder) Message(b []byte) {
	msg, err := duty.DecodeMessage(b)
	if err != nil {
		m.log.Warn("message not believed", zap.Error(err))
		m.event(func(c *duty.Scheduler) { c.CountUndecodable() })
		return
	}
	m.event(func(c *duty.Scheduler) { c.Receive(msg) })
}

// targets sets which searchers there are; the owner calls it with each list.
func (m *minder) targets(hosts []proto.Host) {
	var ts []duty.Target
	for _, h := range hosts {
		t := duty.Target{Name: h.Name}
		if !h.Born.IsZero() {
			t.Age, t.AgeKnown = max(0, time.Since(h.Born)), true
		}
		ts = append(ts, t)
	}
	m.event(func(c *duty.Scheduler) { c.SetTargets(probeDuty, ts) })
}

func (m *minder) done(token uint64, out duty.Outcome, took time.Duration, load string) {
	m.event(func(c *duty.Scheduler) { c.Done(token, out, took, load) })
}

// probe has the owner put a probe on one of the searcher's connections. The permit is asked as its bytes are written.
func (m *minder) probe(token uint64, target string) {
	p := link.Probe{Load: m.load, Wait: m.lim.Probe,
		Permit: func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.core.Permit(token, m.now())
		},
		Done: func(r link.Probed) {
			out := duty.Failed
			switch {
			case !r.Sent:
				out = duty.NotSent
			case r.Answered && r.Word == "500":
				out = duty.Refused
			case r.Answered:
				out = duty.Reached
			}
			load := ""
			if m.load && len(r.Word) <= m.lim.Load {
				load = r.Word
			}
			m.done(token, out, r.Took, load)
		}}
	if !m.o.try(func() {
		if !m.o.SendOutOfBand(target, func(c attempt.TransportConn) bool { return c.(*link.Conn).Probe(p) }) {
			m.done(token, duty.NotSent, 0, "")
		}
	}) {
		m.done(token, duty.NotSent, 0, "")
	}
}

// audit compares the whole list with the one watched. It is the second kind of duty: one instance asks what all would
// have to, and where its own watch has gone astray it begins anew.
func (m *minder) audit(token uint64) {
	m.mu.Lock()
	may := m.core.Permit(token, m.now())
	m.mu.Unlock()
	if !may {
		m.done(token, duty.NotSent, 0, "")
		return
	}
	ctx, end := context.WithTimeout(m.o.ctx, m.lim.Audit)
	defer end()
	began := time.Now()
	whole, err := m.watch.Whole(ctx)
	took := time.Since(began)
	if err != nil {
		m.log.Warn("audit: no list", zap.Error(err))
		m.done(token, duty.Failed, took, "")
		return
	}
	m.o.post(func() {
		wrong, same := differs(m.o.Coordinator, whole)
		word := fmt.Sprintf("entries=%d,differ=%d", len(whole.Hosts), wrong)
		if wrong > 0 {
			m.log.Warn("audit: the list watched differs", zap.Int("entries", wrong), zap.Bool("sameVersion", same))
		}
		if wrong > 0 && same {
			m.watch.Anew() // not merely behind
		}
		m.done(token, duty.Reached, took, word)
	})
}

// leave hands duties over before the process ends.
func (m *minder) leave() {
	m.mu.Lock()
	m.core.Advance(m.now())
	m.core.Leave()
	acts := m.acts
	m.acts = nil
	m.mu.Unlock()
	for _, f := range acts {
		f()
	}
}

// shown is what `duties show` prints.
type shown struct {
	Name   string
	Counts duty.Counts
	Rows   []duty.Status
}

// show answers at a socket of the file system, for operators on the same machine only.
func (m *minder) show(path, name string) (func(), error) {
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
	srv := &http.Server{ReadTimeout: m.lim.Audit, WriteTimeout: m.lim.Audit, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		m.core.Advance(m.now())
		s := shown{Name: name, Counts: m.core.Counts(), Rows: m.core.Statuses()}
		m.mu.Unlock()
		if err := json.NewEncoder(w).Encode(s); err != nil {
			m.log.Debug("show", zap.Error(err))
		}
	})}
	go srv.Serve(ln)
	return func() { srv.Close() }, nil
}

// try hands an event over if there is room for it.
func (o *owner) try(f func()) bool {
	select {
	case o.events <- f:
		return true
	default:
		return false
	}
}

// differs counts the entries in which a whole list differs from the one held, and whether both are of one version.
func differs(o *attempt.Coordinator, l proto.List) (n int, same bool) {
	held := map[string]proto.Host{}
	for _, h := range o.Hosts() {
		held[h.Name] = h
	}
	for _, h := range l.Hosts {
		if was, ok := held[h.Name]; h.State != policy.Gone && (!ok || was.State != h.State || was.Addr != h.Addr) {
			n++
		}
		delete(held, h.Name)
	}
	return n + len(held), l.Version == o.Version()
}
