package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Timeouts, intervals and limits. The caller calls Tick about every 50 ms.
const (
	heartbeatInterval = 150 * time.Millisecond
	takeoverTimeout   = 600 * time.Millisecond // silence of the primary before a takeover; rank delay and jitter are added
	takeoverRankDelay = 80 * time.Millisecond
	takeoverJitter    = 120 * time.Millisecond
	stickyPeriod      = 400 * time.Millisecond // a node that received a heartbeat this recently rejects takeovers
	roundTimeout      = 600 * time.Millisecond
	resendInterval    = 150 * time.Millisecond
	dropTimeout       = 500 * time.Millisecond // an in-sync backup without replies for this long is removed from the in-sync set
	diskStallTimeout  = 700 * time.Millisecond // a primary whose disk has been stalled for this long steps down
	quorumLossTimeout = 800 * time.Millisecond // a primary without contact with a quorum for this long steps down
	joinInterval      = 250 * time.Millisecond
	primaryTimeout    = time.Second
	callTimeout       = 4 * time.Second
	maxPeers          = 32
	maxCalls          = 512
	maxHeldReplies    = 256
	maxMembers        = 9
)

// never is the time of an event that has not happened.
const never = -time.Hour

type heldReply struct {
	token   uint64 // the write that must be synced first
	message Message
}

// Node is the state machine of one process. It is not safe for concurrent use.
type Node struct {
	config Config
	id     ID
	now    time.Duration
	rng    *rand.Rand

	vote      Vote
	copy      Copy
	synced    Stamp // of the copy that is on the disk
	committed Copy  // newest copy known to be committed
	known     *Epoch

	lastToken, savedToken uint64
	writingStamp          Stamp // of the copy in the write in progress
	writeStartedAt        time.Duration
	dirtyVote, dirtyCopy  bool
	heldReplies           []heldReply
	localMessages         []Message // from this node to itself
	actions               Actions
	deliveredVersion      uint64
	foreignMessages       uint64 // messages received from other systems

	primaryHeardAt time.Duration // last heartbeat from the primary of the known epoch
	takeoverAt     time.Duration
	nextJoinAt     time.Duration
	round          *round
	highestRound   uint64

	primary *primaryState // set while this node is an active primary
	calls   []call
	leaving bool // this process is shutting down as planned

	faults    injectedFaults
	violation error // the first invariant violation found
}

// New creates a node from the state on its disk; nil means that the disk is empty.
func New(c Config, s *Saved, now time.Duration) *Node {
	n := &Node{config: c, id: c.ID, now: now, primaryHeardAt: never, nextJoinAt: now,
		rng: rand.New(rand.NewPCG(c.Seed, uint64(now)))}
	switch {
	case s != nil:
		n.id, n.vote, n.copy, n.synced = s.ID, s.Vote, s.Copy, s.Copy.Stamp
	case c.ColdStart && slices.Contains(c.Seeds, c.Addr):
		n.id = founderID(c.Addr)
		first := Ballot{Round: 1}
		e := foundingEpoch(c.Seeds)
		n.vote, n.dirtyVote = Vote{Promised: first, Accepted: first, Value: e, Known: e}, true
	default:
		n.dirtyVote = true // the ID must be persisted
	}
	n.known = &n.vote.Known
	n.highestRound = n.vote.Promised.Round
	n.takeoverAt = now + n.takeoverDelay()
	return n
}

func founderID(addr string) ID { return ID("found/" + addr) }

// foundingEpoch derives the first epoch from the seeds, so that all founders agree on it without exchanging messages. Each
// founder starts with it as accepted. A founder that loses its disk returns under a drawn ID, so it cannot found twice.
func foundingEpoch(seeds []string) Epoch {
	addrs := slices.Compact(slices.Sorted(slices.Values(seeds)))
	e := Epoch{N: 1, System: systemOf(addrs)}
	for _, a := range addrs {
		e.Members = append(e.Members, Member{ID: founderID(a), Addr: a, Counts: true})
	}
	slices.SortFunc(e.Members, byID)
	e.Prev, e.InSync, e.Primary = e.Members, memberIDs(e.Members), e.Members[0].ID
	return e
}

func (n *Node) self() Member {
	return Member{ID: n.id, Addr: n.config.Addr, Zone: n.config.Zone, Region: n.config.Region, Counts: n.config.Counts}
}

// ID returns this node's ID. The caller logs it.
func (n *Node) ID() ID { return n.id }

// Epoch returns the newest epoch known to be chosen.
func (n *Node) Epoch() Epoch { return *n.known }

// Primary returns the ID and address of the primary that this node knows, and whether it was heard from recently.
func (n *Node) Primary() (ID, string, bool) {
	if n.primary != nil {
		return n.id, n.config.Addr, true
	}
	i := memberIndex(n.known.Members, n.known.Primary)
	if i < 0 {
		return "", "", false
	}
	return n.known.Primary, n.known.Members[i].Addr, n.now-n.primaryHeardAt < primaryTimeout
}

// Committed returns the newest document known to be committed; Version 0 means that none is known.
func (n *Node) Committed() Document { return n.committed.State.Doc }

// Leading returns the number of the known epoch and whether this node is its active primary.
func (n *Node) Leading() (uint64, bool) { return n.known.N, n.primary != nil }

// Check returns the first invariant violation that was found. After a violation the node sends no messages and answers
// every call as Unknown.
func (n *Node) Check() error { return n.violation }

func (n *Node) recordViolation(format string, args ...any) {
	if n.violation == nil {
		n.violation = errors.Errorf(format, args...)
	}
}

// Tick advances the clock and runs all timers.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	n.expireCalls()
	n.tickPrimary()
	n.tickRound()
	n.tickTakeover()
	n.tickJoin()
	n.deliverLocal()
}

// Receive processes a message.
func (n *Node) Receive(now time.Duration, m Message) {
	n.advanceClock(now)
	n.handleMessage(m)
	n.deliverLocal()
}

// Saved reports that the write with this token, and so every earlier one, is synced.
func (n *Node) Saved(now time.Duration, token uint64) {
	n.advanceClock(now)
	if token > n.savedToken && token <= n.lastToken {
		n.savedToken, n.synced = token, n.writingStamp
		n.releaseReplies()
		if n.round != nil && n.round.requiredToken == token {
			n.sendRound()
		}
		n.tryCommit()
	}
	n.deliverLocal()
}

// advanceClock sets the current time. It never moves backwards, so that intervals measured earlier stay valid.
func (n *Node) advanceClock(now time.Duration) { n.now = max(n.now, now) }

// deliverLocal processes the messages that the node sent to itself.
func (n *Node) deliverLocal() {
	for len(n.localMessages) > 0 {
		m := n.localMessages[0]
		n.localMessages = n.localMessages[1:]
		n.handleMessage(m)
	}
}

func (n *Node) handleMessage(m Message) {
	if m.To != "" && m.To != n.id && !n.faults.voteForLost {
		return // addressed to the disk that this machine had before
	}
	if n.violation != nil {
		return
	}
	if n.fromOtherSystem(&m) {
		n.foreignMessages++
		return
	}
	switch m.Kind {
	case Prepare, Accept:
		n.handleBallot(m)
	case Promise, Accepted, Reject:
		n.onRoundReply(m)
	case Heartbeat:
		n.onHeartbeat(m)
	case HeartbeatReply:
		n.onHeartbeatReply(m)
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
	m.System, m.From, m.FromAddr, m.To, m.ToAddr = n.known.System, n.id, n.config.Addr, to.ID, to.Addr
	if to.ID == n.id {
		n.localMessages = append(n.localMessages, m)
		return
	}
	n.actions.Sends = append(n.actions.Sends, m)
}

func (n *Node) reply(to Message, m Message) { n.send(Member{ID: to.From, Addr: to.FromAddr}, m) }

// replyAfterSync replies once everything accepted so far is on the disk.
func (n *Node) replyAfterSync(to Message, m Message) {
	required := n.pendingToken()
	if required <= n.savedToken {
		n.reply(to, m)
		return
	}
	if len(n.heldReplies) == maxHeldReplies { // the disk is stalled; senders retry
		n.heldReplies = n.heldReplies[1:]
	}
	m.To, m.ToAddr = to.From, to.FromAddr
	n.heldReplies = append(n.heldReplies, heldReply{required, m})
}

// pendingToken returns the token of the write after which everything accepted so far is on the disk.
func (n *Node) pendingToken() uint64 {
	if n.dirtyVote || n.dirtyCopy {
		return n.lastToken + 1
	}
	return n.lastToken
}

func (n *Node) releaseReplies() {
	remaining := n.heldReplies[:0]
	for _, h := range n.heldReplies {
		if h.token > n.savedToken {
			remaining = append(remaining, h)
			continue
		}
		n.send(Member{ID: h.message.To, Addr: h.message.ToAddr}, h.message)
	}
	n.heldReplies = remaining
}

// diskStalled reports whether one write has been in progress for longer than the given time.
func (n *Node) diskStalled(after time.Duration) bool {
	return n.lastToken > n.savedToken && n.now-n.writeStartedAt > after
}

// Take returns the pending actions and clears them. It is called after every event.
func (n *Node) Take() Actions {
	if n.lastToken == n.savedToken && (n.dirtyVote || n.dirtyCopy) {
		n.actions.Writes = append(n.actions.Writes, n.beginWrite())
	}
	if n.committed.State.Doc.Version > n.deliveredVersion {
		n.deliveredVersion = n.committed.State.Doc.Version
		d := n.committed.State.Doc
		n.actions.Committed = &d
	}
	out := n.actions
	n.actions = Actions{}
	if n.violation != nil {
		return Actions{Answers: withUnknownResults(out.Answers)}
	}
	return out
}

func withUnknownResults(as []Answer) []Answer {
	for i := range as {
		as[i].Result, as[i].Doc = Unknown, Document{}
	}
	return as
}

func (n *Node) beginWrite() Write {
	n.lastToken++
	n.writeStartedAt, n.writingStamp = n.now, n.copy.Stamp
	w := Write{Token: n.lastToken, ID: n.id}
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

// learn adopts an epoch that is known to be chosen. Chosen epochs form one chain, so a higher number is newer.
func (n *Node) learn(e Epoch) {
	if e.N == n.known.N && !e.equal(n.known) {
		n.recordViolation("epoch %d was chosen twice: %+v and %+v", e.N, *n.known, e)
	}
	if e.N <= n.known.N {
		return
	}
	n.vote.Known, n.dirtyVote = e, true
	n.takeoverAt = max(n.takeoverAt, n.now+n.takeoverDelay())
	if e.Primary == n.id {
		n.takeoverAt = n.now // leadership was handed over to this node, or an earlier incarnation held it
	}
	if n.primary != nil && e.Primary != n.id {
		n.stepDown()
	}
	if n.primary != nil {
		n.resetPeersForEpoch()
	}
}
