package mixer

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"peathollow/attempt"
	"peathollow/fleet"
	"peathollow/fleet/overload"
	"peathollow/fleet/view"
	"peathollow/internal/periodic"
	"peathollow/policy"
)

// ally handles overload with the other mixers as one: package fleet decides, the group carries, the module is handed what
// there is room for. It stands behind a lock of its own, held for microseconds.
type ally struct {
	log   *zap.Logger
	o     *owner
	send  func(to string, b []byte)
	types []policy.TableType
	beat  time.Duration
	start time.Time

	mu     sync.Mutex
	mind   *fleet.Coordinator
	meter  *overload.Meter
	others []string
	stands view.Connectivity // as last logged
	mood   overload.Condition
}

func newAlly(c *Config, log *zap.Logger, o *owner, inc uint64, send func(string, []byte)) (*ally, error) {
	set := &c.Settings.Brain
	a := &ally{log: log.Named("fleet"), o: o, send: send, types: set.Types, beat: c.Ours.Fleet.Beat, start: time.Now()}
	kinds := overload.BinLayout{Quota: set.Quotas}
	for _, t := range set.Types {
		kinds.Benefit = append(kinds.Benefit, t.Benefit)
	}
	a.meter = overload.NewMeter(kinds)
	var err error
	a.mind, err = fleet.New(fleet.Settings{Name: c.Name, Inc: inc, Instances: c.Ours.Fleet.Instances, HeartbeatInterval: a.beat, Layout: kinds}, 0)
	if err != nil {
		return nil, err
	}
	o.SetObserver(a)
	return a, nil
}

func (a *ally) now() time.Duration { return time.Since(a.start) }

// ScanArrived, ScanEnded and PartSucceeded come from the life of scans, within its batches.
func (a *ally) ScanArrived(class, tenant, parts int, again bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.ScanArrived(class, tenant, parts, again)
}

func (a *ally) ScanEnded(kind attempt.AnswerKind, class int, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	how := overload.Failed
	switch kind {
	case attempt.Completed:
		how = overload.Completed
	case attempt.Throttled:
		how = overload.Throttled
	}
	a.meter.ScanEnded(how, took, a.types[class].Target)
}

func (a *ally) PartSucceeded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meter.PartServed()
}

// View and Message come from the group. Who it says is gone is not told anything any more; that one lives is told by its
// own word alone.
func (a *ally) View(others map[string]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range a.others {
		if _, ok := others[name]; !ok {
			a.mind.View.ReportFailed(name)
		}
	}
	a.others = slices.Sorted(maps.Keys(others))
}

func (a *ally) Message(b []byte) {
	msg, err := fleet.DecodeMessage(b)
	if err == nil {
		a.mu.Lock()
		a.mind.Advance(a.now())
		err = a.mind.Receive(msg)
		a.mu.Unlock()
	}
	if err != nil && !errors.Is(err, fleet.ErrHeartbeatRejected) {
		a.log.Warn("message not believed", zap.Error(err))
	}
}

// run speaks and advises once a beat, until the context ends.
func (a *ally) run(ctx context.Context) {
	periodic.Each(ctx, a.beat, func() {
		a.speak(false)
		a.advise()
	})
}

func (a *ally) speak(leaves bool) {
	a.mu.Lock()
	a.mind.Advance(a.now())
	if span, ok := a.mind.ReportDue(); ok {
		if err := a.mind.SetReport(a.meter.TakeReport(span)); err != nil {
			a.log.Error("load not told", zap.Error(err))
		}
	}
	to := a.others
	msgs := a.mind.NextMessages(leaves, to)
	a.mu.Unlock()
	for i := range msgs {
		a.send(to[i], msgs[i].Append(nil))
	}
}

// advise hands the module what there is room for. It may miss one: the next follows in a beat.
func (a *ally) advise() {
	a.mu.Lock()
	let, mood, room := a.mind.Advice()
	stands, wasMood, wasStanding := a.mind.View.Connectivity(), a.mood, a.stands
	a.mood, a.stands = mood, stands
	a.mu.Unlock()
	a.o.try(func() { a.o.SetAdmission(let) })
	if mood != wasMood || stands != wasStanding {
		field := zap.Skip()
		if !math.IsInf(room, 1) {
			field = zap.Float64("room", room)
		}
		a.log.Info("fleet", zap.Stringer("stands", stands), zap.Stringer("mood", mood), field)
	}
}

func (a *ally) leave() { a.speak(true) }
