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

// fleetRunner handles overload together with the other mixers: package fleet decides, the member group carries the
// messages, and the policy receives the share of each class to admit. Its lock is held for microseconds only.
type fleetRunner struct {
	log      *zap.Logger
	owner    *owner
	send     func(to string, b []byte)
	types    []policy.TableType
	interval time.Duration
	start    time.Time

	mu           sync.Mutex
	coordinator  *fleet.Coordinator
	meter        *overload.Meter
	others       []string
	connectivity view.Connectivity // as last logged
	condition    overload.Condition
}

func newFleetRunner(c *Config, log *zap.Logger, o *owner, incarnation uint64, send func(string, []byte)) (*fleetRunner, error) {
	settings := &c.Settings.Policy
	f := &fleetRunner{log: log.Named("fleet"), owner: o, send: send, types: settings.Types,
		interval: c.Options.Fleet.Beat, start: time.Now()}
	layout := overload.BinLayout{Quota: settings.Quotas}
	for _, t := range settings.Types {
		layout.Benefit = append(layout.Benefit, t.Benefit)
	}
	f.meter = overload.NewMeter(layout)
	var err error
	f.coordinator, err = fleet.New(fleet.Settings{Name: c.Name, Inc: incarnation, Instances: c.Options.Fleet.Instances,
		HeartbeatInterval: f.interval, Layout: layout}, 0)
	if err != nil {
		return nil, err
	}
	o.SetObserver(f)
	return f, nil
}

func (f *fleetRunner) now() time.Duration { return time.Since(f.start) }

// ScanArrived, ScanEnded and PartSucceeded implement attempt.Observer. The coordinator of scans calls them in its batches.
func (f *fleetRunner) ScanArrived(class, tenant, parts int, retry bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meter.ScanArrived(class, tenant, parts, retry)
}

func (f *fleetRunner) ScanEnded(kind attempt.AnswerKind, class int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := overload.Failed
	switch kind {
	case attempt.Completed:
		outcome = overload.Completed
	case attempt.Throttled:
		outcome = overload.Throttled
	}
	f.meter.ScanEnded(outcome, took, f.types[class].Target)
}

func (f *fleetRunner) PartSucceeded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meter.PartServed()
}

// View and Message are called by the member group. Members that the group reports as failed receive no more messages.
// Only a mixer's own heartbeat counts as evidence that it is alive.
func (f *fleetRunner) View(others map[string]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.others {
		if _, ok := others[name]; !ok {
			f.coordinator.View.ReportFailed(name)
		}
	}
	f.others = slices.Sorted(maps.Keys(others))
}

func (f *fleetRunner) Message(b []byte) {
	msg, err := fleet.DecodeMessage(b)
	if err == nil {
		f.mu.Lock()
		f.coordinator.Advance(f.now())
		err = f.coordinator.Receive(msg)
		f.mu.Unlock()
	}
	if err != nil && !errors.Is(err, fleet.ErrHeartbeatRejected) {
		f.log.Warn("message not believed", zap.Error(err))
	}
}

// run sends messages and applies the advice once per heartbeat interval, until the context ends.
func (f *fleetRunner) run(ctx context.Context) {
	periodic.Run(ctx, f.interval, func() {
		f.sendMessages(false)
		f.applyAdvice()
	})
}

func (f *fleetRunner) sendMessages(leaving bool) {
	f.mu.Lock()
	f.coordinator.Advance(f.now())
	if span, ok := f.coordinator.ReportDue(); ok {
		if err := f.coordinator.SetReport(f.meter.TakeReport(span)); err != nil {
			f.log.Error("load not told", zap.Error(err))
		}
	}
	recipients := f.others
	msgs := f.coordinator.NextMessages(leaving, recipients)
	f.mu.Unlock()
	for i := range msgs {
		f.send(recipients[i], msgs[i].Append(nil))
	}
}

// applyAdvice sets the admitted shares of the policy. An update may be lost: the next one follows within one interval.
func (f *fleetRunner) applyAdvice() {
	f.mu.Lock()
	shares, condition, capacity := f.coordinator.Advice()
	connectivity, lastCondition, lastConnectivity := f.coordinator.View.Connectivity(), f.condition, f.connectivity
	f.condition, f.connectivity = condition, connectivity
	f.mu.Unlock()
	f.owner.tryPost(func() { f.owner.SetAdmission(shares) })
	if condition != lastCondition || connectivity != lastConnectivity {
		field := zap.Skip()
		if !math.IsInf(capacity, 1) {
			field = zap.Float64("room", capacity)
		}
		f.log.Info("fleet", zap.Stringer("stands", connectivity), zap.Stringer("mood", condition), field)
	}
}

func (f *fleetRunner) leave() { f.sendMessages(true) }
