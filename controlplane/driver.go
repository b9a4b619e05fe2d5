package controlplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"peathollow/consensus"
	"peathollow/internal/invariant"
	"peathollow/internal/storage"
)

const (
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds a call of an operator, who turns to another machine after a second.
	callTimeout = 900 * time.Millisecond
	inboxSize   = 256
)

// driver runs the consensus node. One goroutine calls into the node and another one writes to disk, so that a stalled disk
// delays no message.
type driver struct {
	node      *consensus.Node
	store     *storage.Store
	transport *transport
	log       *log.Logger
	start     time.Time

	inbox    chan consensus.Message
	calls    chan localCall
	writes   chan consensus.Write
	saved    chan uint64
	diskJobs chan func() error // other writes to disk, done after those of consensus

	// State that other goroutines may read.
	mu           sync.Mutex
	epoch        consensus.Epoch
	primary      string
	nextCallID   atomic.Uint64
	committedDoc atomic.Pointer[consensus.Document] // the newest configuration known to be committed

	onCommitted   func(consensus.Document)
	onEpochChange func(consensus.Epoch) // called when the members or the primary change
	shutdown      chan struct{}         // closed when this process is about to shut down
	handedOver    chan struct{}         // closed once the node has handed over

	ackUnsynced bool // an injected fault
	metrics     *metrics
}

type localCall struct {
	id    uint64
	read  bool
	doc   consensus.Document
	reply chan consensus.Answer // buffered, capacity 1
}

func (d *driver) now() time.Duration { return time.Since(d.start) }

// run drives the node until ctx ends, or until an invariant is violated. In that case the node sends nothing more, since
// only a restart from what is on disk is reliable.
func (d *driver) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	waiting := map[uint64]chan consensus.Answer{}
	reason, shutdown, handedOver := "", d.shutdown, false
	d.applyActions(waiting)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.node.Tick(d.now())
			if n := d.node.BlockedReason(); n != reason {
				reason = n
				if n != "" {
					d.log.Warn().Str("event", "note").Str("text", n).Msg("")
				}
			}
			d.logForeignMessages()
		case <-shutdown:
			shutdown = nil
			d.node.Leave(d.now())
		case m := <-d.inbox:
			d.node.Receive(d.now(), m)
		case x := <-d.calls:
			waiting[x.id] = x.reply
			if x.read {
				d.node.Read(d.now(), x.id)
			} else {
				d.node.Propose(d.now(), x.id, x.doc)
			}
		case token := <-d.saved:
			d.node.Saved(d.now(), token)
		}
		d.applyActions(waiting)
		if shutdown == nil && !handedOver && d.node.Left() {
			handedOver = true
			close(d.handedOver)
		}
		if err := d.node.Check(); err != nil {
			invariant.Violated(invariant.OnePrimary, "%v", err)
			return errors.Wrap(err, "control state")
		}
	}
}

// logForeignMessages logs the messages received from other systems since the last tick in one line.
func (d *driver) logForeignMessages() {
	count := d.node.ForeignMessages()
	if d.metrics.foreignMessages.Swap(count) == count {
		return
	}
	if ok, suppressed := d.metrics.foreignLog.Allow(time.Now()); ok {
		d.log.Warn().Str("event", "another-system").Uint64("messages", count).Int("not-logged", suppressed).Msg("")
	}
}

// applyActions carries out the actions that the node has requested.
func (d *driver) applyActions(waiting map[uint64]chan consensus.Answer) {
	a := d.node.Take()
	for _, w := range a.Writes {
		d.writes <- w
	}
	for _, m := range a.Sends {
		d.transport.send(m)
	}
	for _, x := range a.Answers {
		if r := waiting[x.Call]; r != nil {
			delete(waiting, x.Call)
			r <- x
		}
	}
	if a.Committed != nil {
		if previous := d.committedDoc.Load(); previous != nil && a.Committed.Version < previous.Version {
			invariant.Violated(invariant.VersionMonotonic, "version %d committed after %d", a.Committed.Version, previous.Version)
		}
		d.committedDoc.Store(a.Committed)
		d.onCommitted(*a.Committed)
	}
	d.publishEpoch()
}

// publishEpoch updates the state that others may read, and reports a change of the members or of the primary.
func (d *driver) publishEpoch() {
	e := d.node.Epoch()
	_, primary, _ := d.node.Primary()
	d.mu.Lock()
	changed := e.N != d.epoch.N || primary != d.primary
	d.epoch, d.primary = e, primary
	d.mu.Unlock()
	if changed {
		d.log.Info().Str("event", "epoch").Uint64("number", e.N).Str("primary", primary).Int("in-sync", len(e.InSync)).
			Int("members", len(e.Members)).Msg("")
		d.metrics.epochChanges.Add(1)
		d.onEpochChange(e)
	}
}

// writeToDisk runs another write to disk after those of consensus. It returns false if ctx ends first.
func (d *driver) writeToDisk(ctx context.Context, job func() error) bool {
	done := make(chan struct{})
	select {
	case d.diskJobs <- func() error {
		if err := job(); err != nil {
			return err
		}
		close(done)
		return nil
	}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// currentEpoch returns the newest epoch known to be chosen.
func (d *driver) currentEpoch() consensus.Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epoch
}

// writeLoop syncs the writes of consensus one after the other, and runs other jobs while there is none.
func (d *driver) writeLoop(ctx context.Context) {
	for {
		var job func() error
		token, isWrite := uint64(0), false
		select {
		case <-ctx.Done():
			return
		case w := <-d.writes:
			job, token, isWrite = func() error { return d.store.Write(&w) }, w.Token, true
		default:
			select {
			case <-ctx.Done():
				return
			case w := <-d.writes:
				job, token, isWrite = func() error { return d.store.Write(&w) }, w.Token, true
			case job = <-d.diskJobs:
			}
		}
		if isWrite && d.ackUnsynced {
			d.saved <- token
			isWrite = false
		}
		for {
			began := time.Now()
			err := job()
			d.metrics.recordSync(time.Since(began))
			if err == nil {
				break
			}
			d.metrics.syncFaults.Add(1)
			d.log.Error().Str("event", "disk").Err(err).Msg("")
			select {
			case <-ctx.Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		if !isWrite {
			continue
		}
		select {
		case d.saved <- token:
		case <-ctx.Done():
			return
		}
	}
}

var errBusy = errors.New("too many calls are pending")

// submit hands a call to the node and waits for its answer.
func (d *driver) submit(ctx context.Context, x localCall) (consensus.Answer, error) {
	x.id, x.reply = d.nextCallID.Add(1), make(chan consensus.Answer, 1)
	select {
	case d.calls <- x:
	default:
		return consensus.Answer{}, errBusy
	}
	select {
	case a := <-x.reply:
		return a, nil
	case <-ctx.Done():
		return consensus.Answer{}, ctx.Err()
	}
}
