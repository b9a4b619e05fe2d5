package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// How long things take. The caller ticks each ~50 ms.
const (
	beatEvery   = 150 * time.Millisecond
	takeAfter   = 600 * time.Millisecond // a primary silent for so long is taken over from, plus rank and chance
	takeRank    = 80 * time.Millisecond
	takeSpread  = 120 * time.Millisecond
	stickyFor   = 400 * time.Millisecond // who heard the primary this recently helps nobody to take over
	roundFor    = 600 * time.Millisecond
	resendEvery = 150 * time.Millisecond
	dropAfter   = 500 * time.Millisecond // an in-sync backup that does not answer is dropped
	stallAfter  = 700 * time.Millisecond // a primary whose own disk hangs gives way
	aloneAfter  = 800 * time.Millisecond // so does one that hears no majority
	joinEvery   = 250 * time.Millisecond
	joinAfter   = time.Second
	callFor     = 4 * time.Second
	peersMost   = 32
	callsMost   = 512
	heldMost    = 256
	membersMost = 9
)

const never = -time.Hour

type held struct {
	need uint64
	m    Message
}

// Node is one process's part. It is not safe for concurrent use.
type Node struct {
	c   Config
	id  ID
	now time.Duration
	rnd *rand.Rand

	vote      Vote
	copy      Copy
	synced    Stamp // of the copy that is on the disk
	committed Copy  // newest known to be committed
	known     *Epoch

	token, saved         uint64
	writing              Stamp // of the copy in the write under way
	writeAt              time.Duration
	dirtyVote, dirtyCopy bool
	waiting              []held
	local                []Message
	out                  Actions
	delivered            uint64
	elsewhere            uint64 // messages from other systems

	heard    time.Duration // a beat of the known epoch's primary
	takeAt   time.Duration
	joinAt   time.Duration
	round    *round
	topRound uint64

	lead    *lead // while this node is an active primary
	calls   []call
	leaving bool // this process is about to end by plan

	plant plant
	bad   error
}

// New starts a node on what its disk remembers; nil means that the disk is empty.
func New(c Config, s *Saved, now time.Duration) *Node {
	n := &Node{c: c, id: c.ID, now: now, heard: never, joinAt: now, rnd: rand.New(rand.NewPCG(c.Seed, uint64(now)))}
	switch {
	case s != nil:
		n.id, n.vote, n.copy, n.synced = s.ID, s.Vote, s.Copy, s.Copy.Stamp
	case c.ColdStart && slices.Contains(c.Seeds, c.Addr):
		n.id = founder(c.Addr)
		first := Ballot{Round: 1}
		e := found(c.Seeds)
		n.vote, n.dirtyVote = Vote{Promised: first, Accepted: first, Value: e, Known: e}, true
	default:
		n.dirtyVote = true // the id must last
	}
	n.known = &n.vote.Known
	n.topRound = n.vote.Promised.Round
	n.takeAt = now + n.patience()
	return n
}

func founder(addr string) ID { return ID("found/" + addr) }

// found derives the first epoch, the same at each founder and with no message. Whoever founds holds it as accepted; a
// founder that loses its disk comes back under a drawn id, so nobody can found twice.
func found(seeds []string) Epoch {
	addrs := slices.Compact(slices.Sorted(slices.Values(seeds)))
	e := Epoch{N: 1, System: systemOf(addrs)}
	for _, a := range addrs {
		e.Members = append(e.Members, Member{ID: founder(a), Addr: a, Counts: true})
	}
	slices.SortFunc(e.Members, byID)
	e.Prev, e.InSync, e.Primary = e.Members, idsOf(e.Members), e.Members[0].ID
	return e
}

func (n *Node) me() Member {
	return Member{ID: n.id, Addr: n.c.Addr, Zone: n.c.Zone, Region: n.c.Region, Counts: n.c.Counts}
}

// ID is this node's own, to be kept by the caller for its log.
func (n *Node) ID() ID { return n.id }

// Epoch is the newest one known to be chosen.
func (n *Node) Epoch() Epoch { return *n.known }

// Primary tells who leads as far as this node knows, and whether it has lately been heard.
func (n *Node) Primary() (ID, string, bool) {
	if n.lead != nil {
		return n.id, n.c.Addr, true
	}
	i := find(n.known.Members, n.known.Primary)
	if i < 0 {
		return "", "", false
	}
	return n.known.Primary, n.known.Members[i].Addr, n.now-n.heard < joinAfter
}

// Committed is the newest document known to be committed; Version 0 means none is known.
func (n *Node) Committed() Doc { return n.committed.State.Doc }

// Leading tells whether this node is an active primary, and of which epoch.
func (n *Node) Leading() (uint64, bool) { return n.known.N, n.lead != nil }

// Check reports a broken invariant. A node that found one answers and says nothing more.
func (n *Node) Check() error { return n.bad }

func (n *Node) broken(what string, args ...any) {
	if n.bad == nil {
		n.bad = errors.Errorf(what, args...)
	}
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) {
	n.enter(now)
	n.expireCalls()
	n.tickLead()
	n.tickRound()
	n.tickTake()
	n.tickJoin()
	n.settle()
}

// Receive takes in a message.
func (n *Node) Receive(now time.Duration, m Message) {
	n.enter(now)
	n.handle(m)
	n.settle()
}

// Saved tells that the write with this token, and so every earlier one, is synced.
func (n *Node) Saved(now time.Duration, token uint64) {
	n.enter(now)
	if token > n.saved && token <= n.token {
		n.saved, n.synced = token, n.writing
		n.release()
		if n.round != nil && n.round.needs == token {
			n.sendRound()
		}
		n.tryCommit()
	}
	n.settle()
}

// enter never lets time run backwards: what was measured against a later moment stays measured.
func (n *Node) enter(now time.Duration) { n.now = max(n.now, now) }

// settle hands the node what it said to itself.
func (n *Node) settle() {
	for len(n.local) > 0 {
		m := n.local[0]
		n.local = n.local[1:]
		n.handle(m)
	}
}

func (n *Node) handle(m Message) {
	if m.To != "" && m.To != n.id && !n.plant.voteForLost {
		return // for the disk that was here before
	}
	if n.bad != nil {
		return
	}
	if n.fromElsewhere(&m) {
		n.elsewhere++
		return
	}
	switch m.Kind {
	case Prepare, Accept:
		n.witness(m)
	case Promise, Accepted, Reject:
		n.onRound(m)
	case Beat:
		n.onBeat(m)
	case Pulse:
		n.onPulse(m)
	case Store:
		n.onStore(m)
	case Stored:
		n.onStored(m)
	case Join:
		n.onJoin(m)
	case Hint:
		if m.Epoch != nil {
			n.learn(*m.Epoch)
		}
	}
}

func (n *Node) send(to Member, m Message) {
	m.System, m.From, m.FromAddr, m.To, m.ToAddr = n.known.System, n.id, n.c.Addr, to.ID, to.Addr
	if to.ID == n.id {
		n.local = append(n.local, m)
		return
	}
	n.out.Sends = append(n.out.Sends, m)
}

func (n *Node) reply(to Message, m Message) { n.send(Member{ID: to.From, Addr: to.FromAddr}, m) }

// replySynced answers only once everything taken in so far is on the disk.
func (n *Node) replySynced(to Message, m Message) {
	need := n.nextWrite()
	if need <= n.saved {
		n.reply(to, m)
		return
	}
	if len(n.waiting) == heldMost { // a disk that hangs: whoever asks asks again
		n.waiting = n.waiting[1:]
	}
	m.To, m.ToAddr = to.From, to.FromAddr
	n.waiting = append(n.waiting, held{need, m})
}

// nextWrite is the token of the write after which all that was taken in so far is on the disk.
func (n *Node) nextWrite() uint64 {
	if n.dirtyVote || n.dirtyCopy {
		return n.token + 1
	}
	return n.token
}

func (n *Node) release() {
	keep := n.waiting[:0]
	for _, h := range n.waiting {
		if h.need > n.saved {
			keep = append(keep, h)
			continue
		}
		n.send(Member{ID: h.m.To, Addr: h.m.ToAddr}, h.m)
	}
	n.waiting = keep
}

// stalled reports a disk that has been at one write for too long.
func (n *Node) stalled(after time.Duration) bool {
	return n.token > n.saved && n.now-n.writeAt > after
}

// Take drains what is to be done. It is called after every event.
func (n *Node) Take() Actions {
	if n.token == n.saved && (n.dirtyVote || n.dirtyCopy) {
		n.out.Writes = append(n.out.Writes, n.write())
	}
	if n.committed.State.Doc.Version > n.delivered {
		n.delivered = n.committed.State.Doc.Version
		d := n.committed.State.Doc
		n.out.Committed = &d
	}
	out := n.out
	n.out = Actions{}
	if n.bad != nil {
		return Actions{Answers: refuseAll(out.Answers)}
	}
	return out
}

func refuseAll(as []Answer) []Answer {
	for i := range as {
		as[i].Result, as[i].Doc = Unknown, Doc{}
	}
	return as
}

func (n *Node) write() Write {
	n.token++
	n.writeAt, n.writing = n.now, n.copy.Stamp
	w := Write{Token: n.token, ID: n.id}
	if n.dirtyVote {
		v := n.vote
		w.Vote = &v
	}
	if n.dirtyCopy {
		c := n.copy
		w.Copy = &c
	}
	n.dirtyVote, n.dirtyCopy = false, false
	return w
}

// learn takes in an epoch that is known to be chosen. Chosen epochs form one chain, so a higher number is newer.
func (n *Node) learn(e Epoch) {
	if e.N == n.known.N && !e.equal(n.known) {
		n.broken("epoch %d was chosen twice: %+v and %+v", e.N, *n.known, e)
	}
	if e.N <= n.known.N {
		return
	}
	n.vote.Known, n.dirtyVote = e, true
	n.takeAt = max(n.takeAt, n.now+n.patience())
	if e.Primary == n.id {
		n.takeAt = n.now // it was handed over, or an earlier life held it
	}
	if n.lead != nil && e.Primary != n.id {
		n.stepDown()
	}
	if n.lead != nil {
		n.leadEpoch()
	}
}
