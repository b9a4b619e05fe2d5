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
	tick = 50 * time.Millisecond
	// callMost bounds a call of an operator: he turns to another machine after a second.
	callMost  = 900 * time.Millisecond
	inboxMost = 256
)

// core drives the control state: one goroutine calls into it, another writes to disk, so that a stalled disk holds up
// no message.
type core struct {
	node  *consensus.Node
	store *storage.Store
	mail  *mail
	log   *log.Logger
	start time.Time

	inbox  chan consensus.Message
	calls  chan call
	writes chan consensus.Write
	saved  chan uint64
	jobs   chan func() error // other things to be kept on disk, behind the writes

	// What others may read.
	mu      sync.Mutex
	epoch   consensus.Epoch
	primary string
	next    atomic.Uint64
	inForce atomic.Pointer[consensus.Document] // the newest that is known to be

	committed func(consensus.Document)
	changed   func(consensus.Epoch) // the members, or who leads
	leave     chan struct{}         // closed when this process is about to end by plan
	left      chan struct{}         // closed once it has handed over

	ackUnsynced bool // a planted fault
	sight       *sight
}

type call struct {
	id    uint64
	read  bool
	doc   consensus.Document
	reply chan consensus.Answer // of one place
}

func (c *core) now() time.Duration { return time.Since(c.start) }

// run drives the node until ctx ends, or until it finds that an invariant is broken: it says nothing more then, and only
// a new start from what is on disk can be relied on.
func (c *core) run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	waiting := map[uint64]chan consensus.Answer{}
	note, leave, left := "", c.leave, false
	c.carry(waiting)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			c.node.Tick(c.now())
			if n := c.node.BlockedReason(); n != note {
				note = n
				if n != "" {
					c.log.Warn().Str("event", "note").Str("text", n).Msg("")
				}
			}
			c.tellStrangers()
		case <-leave:
			leave = nil
			c.node.Leave(c.now())
		case m := <-c.inbox:
			c.node.Receive(c.now(), m)
		case x := <-c.calls:
			waiting[x.id] = x.reply
			if x.read {
				c.node.Read(c.now(), x.id)
			} else {
				c.node.Propose(c.now(), x.id, x.doc)
			}
		case token := <-c.saved:
			c.node.Saved(c.now(), token)
		}
		c.carry(waiting)
		if leave == nil && !left && c.node.Left() {
			left = true
			close(c.left)
		}
		if err := c.node.Check(); err != nil {
			invariant.Violated(invariant.OnePrimary, "%v", err)
			return errors.Wrap(err, "control state")
		}
	}
}

// tellStrangers logs that messages of other systems came, once for all since the last tick.
func (c *core) tellStrangers() {
	count := c.node.ForeignMessages()
	if c.sight.elsewhere.Swap(count) == count {
		return
	}
	if ok, suppressed := c.sight.strangers.Allow(time.Now()); ok {
		c.log.Warn().Str("event", "another-system").Uint64("messages", count).Int("not-logged", suppressed).Msg("")
	}
}

// carry does what the node wants done.
func (c *core) carry(waiting map[uint64]chan consensus.Answer) {
	a := c.node.Take()
	for _, w := range a.Writes {
		c.writes <- w
	}
	for _, m := range a.Sends {
		c.mail.send(m)
	}
	for _, x := range a.Answers {
		if r := waiting[x.Call]; r != nil {
			delete(waiting, x.Call)
			r <- x
		}
	}
	if a.Committed != nil {
		if was := c.inForce.Load(); was != nil && a.Committed.Version < was.Version {
			invariant.Violated(invariant.VersionRises, "version %d committed after %d", a.Committed.Version, was.Version)
		}
		c.inForce.Store(a.Committed)
		c.committed(*a.Committed)
	}
	c.note()
}

// note keeps what others may read, and tells of a change of members.
func (c *core) note() {
	e := c.node.Epoch()
	_, at, _ := c.node.Primary()
	c.mu.Lock()
	moved := e.N != c.epoch.N || at != c.primary
	c.epoch, c.primary = e, at
	c.mu.Unlock()
	if moved {
		c.log.Info().Str("event", "epoch").Uint64("number", e.N).Str("primary", at).Int("in-sync", len(e.InSync)).
			Int("members", len(e.Members)).Msg("")
		c.sight.epochs.Add(1)
		c.changed(e)
	}
}

// do has something else written to disk, behind the writes of consensus; false when ctx has ended.
func (c *core) do(ctx context.Context, job func() error) bool {
	done := make(chan struct{})
	select {
	case c.jobs <- func() error {
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

// members gives the newest epoch known to be chosen.
func (c *core) members() consensus.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// write syncs one write after the other, and what else is to be kept when there is none.
func (c *core) write(ctx context.Context) {
	for {
		var job func() error
		token, told := uint64(0), false
		select {
		case <-ctx.Done():
			return
		case w := <-c.writes:
			job, token, told = func() error { return c.store.Write(&w) }, w.Token, true
		default:
			select {
			case <-ctx.Done():
				return
			case w := <-c.writes:
				job, token, told = func() error { return c.store.Write(&w) }, w.Token, true
			case job = <-c.jobs:
			}
		}
		if told && c.ackUnsynced {
			c.saved <- token
			told = false
		}
		for {
			began := time.Now()
			err := job()
			c.sight.synced(time.Since(began))
			if err == nil {
				break
			}
			c.sight.syncFaults.Add(1)
			c.log.Error().Str("event", "disk").Err(err).Msg("")
			select {
			case <-ctx.Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		if !told {
			continue
		}
		select {
		case c.saved <- token:
		case <-ctx.Done():
			return
		}
	}
}

var errBusy = errors.New("too much is waiting")

// ask hands the node a call and waits for its answer.
func (c *core) ask(ctx context.Context, x call) (consensus.Answer, error) {
	x.id, x.reply = c.next.Add(1), make(chan consensus.Answer, 1)
	select {
	case c.calls <- x:
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
