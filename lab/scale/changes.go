package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// putNextVersion sends the next configuration version. It returns the time of sending in Unix nanoseconds and the time until the
// acknowledgement in milliseconds.
func (r *run) putNextVersion(ctx context.Context) (sent int64, ackMS float64, err error) {
	r.version++
	body, err := document(&r.Options, r.version)
	if err != nil {
		return 0, 0, errors.Wrap(err, "configuration")
	}
	r.report.ConfigurationBytes = len(body)
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	start := time.Now()
	_, err = r.client.Put(ctx, body)
	if err != nil {
		return 0, 0, errors.Wrapf(err, "put version %d", r.version)
	}
	return start.UnixNano(), float64(time.Since(start)) / 1e6, nil
}

// applyChanges alternates configuration changes and drains for half of the run's time. It waits for each to reach all agents, so
// that one that takes longer than the interval isn't hidden by the next.
func (r *run) applyChanges(ctx context.Context) error {
	deadline := time.Now().Add(r.Duration - r.Duration/2)
	drained := 0
	for n := 0; ; n++ {
		next := time.Now().Add(r.ChangeInterval / 2)
		if next.After(deadline) && n >= 2 { // even the slowest machine measures one of each
			return nil
		}
		if n%2 == 0 {
			propagation, err := r.measureChange(ctx)
			if err != nil {
				return err
			}
			r.report.Changes = append(r.report.Changes, propagation)
		} else if drained < min(maxDrains, r.Searchers/2) {
			propagation, err := r.measureDrain(ctx, drained)
			if err != nil {
				return err
			}
			r.report.Drains = append(r.report.Drains, propagation)
			drained++
		}
		if !sleep(ctx, time.Until(next)) {
			return context.Cause(ctx)
		}
	}
}

// measureChange puts the next configuration version and measures its propagation to the simulated agents.
func (r *run) measureChange(ctx context.Context) (Propagation, error) {
	propagation := Propagation{Update: fmt.Sprint("version ", r.version+1), Agents: r.Mixers - 1}
	if r.agentProcess != nil {
		if err := r.agentProcess.send(Command{Action: "watch", Version: uint64(r.version + 1)}); err != nil {
			return propagation, err
		}
	}
	sent, ackMS, err := r.putNextVersion(ctx)
	if err != nil {
		return propagation, err
	}
	propagation.AckMS, propagation.Bytes = ackMS, r.report.ConfigurationBytes
	return propagation, r.awaitKnown(&propagation, sent)
}

// measureDrain drains the searcher with the given index and measures how its new state reaches the simulated agents.
func (r *run) measureDrain(ctx context.Context, index int) (Propagation, error) {
	propagation := Propagation{Update: "drain of " + searcherID(index, 0), Agents: r.Mixers - 1}
	if r.agentProcess != nil {
		if err := r.agentProcess.send(Command{Action: "watch", ID: searcherID(index, 0)}); err != nil {
			return propagation, err
		}
	}
	if err := r.searcherProcess.send(Command{Action: "drain", Index: index}); err != nil {
		return propagation, err
	}
	event, err := r.searcherProcess.await("drained", stepTimeout, r.lateEvent)
	if err != nil {
		return propagation, err
	}
	propagation.AckMS, propagation.Fault = float64(event.AckedAt-event.SentAt)/1e6, event.Fault
	return propagation, r.awaitKnown(&propagation, event.SentAt)
}

// awaitKnown waits until all simulated agents know the update. After stepTimeout it flushes the watch, records a fault and reports
// the agents that do know it.
func (r *run) awaitKnown(propagation *Propagation, sent int64) error {
	if r.agentProcess == nil {
		return nil
	}
	event, err := r.agentProcess.await("known", stepTimeout, r.lateEvent)
	if err != nil {
		if r.agentProcess.hasExited() {
			return err
		}
		if err := r.agentProcess.send(Command{Action: "flush"}); err != nil {
			return err
		}
		if event, err = r.agentProcess.await("known", stepTimeout, r.lateEvent); err != nil {
			return err
		}
		propagation.Fault = fmt.Sprintf("not known to all agents within %v", stepTimeout)
		r.recordFault("%s: %s", propagation.Update, propagation.Fault)
	}
	propagation.Latency = summarize(elapsedMS(sent, event.KnownAt))
	return nil
}

// lateEvent records a fault for a watch that completes after its step has timed out.
func (r *run) lateEvent(event Event) {
	if event.Kind == "known" {
		r.recordFault("update %s%d became known only after its timeout", event.ID, event.Version)
	}
}

func (r *run) recordFault(format string, args ...any) {
	r.report.Faults = append(r.report.Faults, fmt.Sprintf(format, args...))
}
