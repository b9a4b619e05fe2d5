package distribution

import (
	"bufio"
	"context"
	"encoding/gob"
	"maps"
	"net"
	"time"

	"github.com/go-faster/errors"

	"peathollow/failuredetector"
	"peathollow/internal/keepalive"
	"peathollow/manifest"
	"peathollow/registry"
)

const (
	entriesMost  = 500     // of one answer; the rest follows at once
	documentMost = 4 << 20 // bytes of a configuration, unpacked

	// waitMost is how long an ask waits when there is nothing to say, which is also the sign of life of a link.
	waitMost = 800 * time.Millisecond
	// settle lets what changes in the same moment go in one answer.
	settle = 40 * time.Millisecond
	// silenceMost is how long an answer may take before the link is given up: well under the bounds within which a drain
	// and a configuration must have arrived.
	silenceMost = waitMost + 900*time.Millisecond
	dialMost    = 450 * time.Millisecond
	pauseLeast  = 50 * time.Millisecond
	pauseMost   = 500 * time.Millisecond
)

// Ask says what the asker has.
type Ask struct {
	Node    string // the asker's machine
	Life    string // and life
	IP      string // a controller's
	Kind    string // "agent", "proxy" or "controller"
	Want    registry.PullQuery
	Version uint64 // of the configuration held
	Whole   bool   // a difference did not fit: the whole is wanted
	Core    uint64 // digest of the list of core machines held
	Mixers  int
	// SlackSpent is what a proxy was last told of it.
	SlackSpent bool
	Alone      bool
	Peer       bool // the asker is a controller: it knows of core machines itself
	Mend       *Mend
	Kept       uint64                       // a controller's: what it knows of the answerer's disk, by the number told last on this link
	Mixer      *Pulse                       // an agent's
	Word       *failuredetector.WatchReport // a controller's, of the mixers that pull from it
}

// Pulse is what an agent tells of itself, and of the mixers that it watches.
type Pulse struct {
	// Addr and Zone are told at the beginning of a link, and known to the server from then on.
	Addr, Zone string
	// Calls rises with each ask of a life, whichever controller it goes to.
	Calls        uint64
	Leaving      bool
	Missed, Seen []string // lives; see failuredetector
}

// Cargo is what the asker lacks.
type Cargo struct {
	System  uint64 // of the teller
	News    registry.Delta
	Version uint64
	Whole   []byte          // a configuration, packed
	Patch   *manifest.Patch // or its difference to the asker's
	Core    []Place
	Mixers  int
	// SlackSpent is told by an agent to its proxy; see Board.
	SlackSpent bool
	Alone      bool // the teller is out of touch with most of the core
	Mend       *Mend
	// Kept is the news that the disk of the teller, a controller, holds; KeptNo rises with each change. 0: nothing new.
	Kept   registry.Vector
	KeptNo uint64
}

// Server answers asks from a board.
type Server struct {
	Board *Board
	// Met is called with each ask; may be nil. Left when its link has ended.
	Met  func(a *Ask)
	Left func(a *Ask)
}

// Serve answers links until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return keepalive.Accept(ctx, ln, func(c net.Conn) { s.link(ctx, c) })
}

func (s *Server) link(ctx context.Context, c net.Conn) {
	in, w := gob.NewDecoder(bufio.NewReaderSize(c, 2048)), bufio.NewWriterSize(c, 2048)
	out := gob.NewEncoder(w)
	met := false
	have := registry.Vector{}
	addr, zone := "", ""
	var a Ask
	defer func() {
		if met && s.Left != nil {
			s.Left(&a)
		}
	}()
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		var next Ask
		if err := in.Decode(&next); err != nil {
			return // the last ask tells whose link has ended
		}
		a = next
		// An ask tells only what has risen since the one before.
		for source, no := range a.Want.Have {
			have[source] = no
		}
		a.Want.Have = maps.Clone(have)
		if a.Mixer != nil {
			if a.Mixer.Addr != "" {
				addr, zone = a.Mixer.Addr, a.Mixer.Zone
			}
			a.Mixer.Addr, a.Mixer.Zone = addr, zone
		}
		if met = true; s.Met != nil {
			s.Met(&a)
		}
		cargo := s.await(ctx, &a)
		c.SetWriteDeadline(time.Now().Add(3 * time.Second))
		if out.Encode(&cargo) != nil || w.Flush() != nil {
			return
		}
	}
}

// await answers when there is something to say, or after waitMost.
func (s *Server) await(ctx context.Context, a *Ask) Cargo {
	cargo, some, changed := s.Board.cargo(a)
	if some {
		return cargo
	}
	end := time.NewTimer(waitMost) // never put off: the answer is the sign of life of the link
	defer end.Stop()
	for {
		select {
		case <-changed:
		case <-end.C:
			return cargo
		case <-ctx.Done():
			return cargo
		}
		select {
		case <-time.After(settle):
		case <-ctx.Done():
		}
		if cargo, some, changed = s.Board.cargo(a); some {
			return cargo
		}
	}
}

// Puller keeps a board up to date from one server at a time.
type Puller struct {
	Board                *Board
	Node, Life, IP, Kind string
	// Choose gives the address to pull from; tried is how many failed since the last answer. "" means to wait.
	Choose func(tried int) string
	// Merged is called after each answer that changed something; may be nil.
	Merged func()
	// Answered is told of each answer, and when its ask was sent; may be nil.
	Answered func(peer string, cargo *Cargo, asked time.Time)
	// Fault is told why a link ended; may be nil.
	Fault func(peer string, err error)
	// Peer says that one controller pulls from another.
	Peer bool
	// Keeps is called with the news that the peer's disk holds; may be nil.
	Keeps func(addr string, v registry.Vector)
	// Say adds to an ask what only this kind of process tells; first is the first one of a link. May be nil.
	Say func(a *Ask, first bool)
	// Better tells that there is an address to be preferred to the present one; may be nil.
	Better func(addr string) bool
	// Network is dialled on; nil stands for TCP.
	Network keepalive.Network
	// Alive says that the server has been heard, so that no pause and no dial waits any longer; may be nil.
	Alive <-chan struct{}
	// MoveOn has a server that is out of touch left for another.
	MoveOn bool

	lives map[string]string // the names that peers gave, by address
}

// livesMost bounds the peers whose names are kept.
const livesMost = 64

// Run pulls until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	p.lives = map[string]string{}
	tried := 0
	for ctx.Err() == nil {
		d, err := p.connect(ctx, tried)
		tried += d.no
		answered := false
		if err == nil {
			answered, err = p.follow(ctx, d.conn, d.addr, tried)
		}
		if answered {
			tried = 0
			if err == nil {
				continue // for a better one
			}
		}
		if err != nil && p.Fault != nil && ctx.Err() == nil && !errors.Is(err, errUnreachable) {
			p.Fault(d.addr, err)
		}
		tried++
		select {
		case <-ctx.Done():
		case <-p.Alive:
		case <-time.After(min(pauseMost, pauseLeast<<min(tried-1, 4))):
		}
	}
}

var errAlone = errors.New("peer is out of touch with the core")

// stayAfter is how many tries in a row lead to a server that is out of touch before one is waited for: most likely all are
// just starting, and who waits on a link hears at once when its server is in touch.
const stayAfter = 2

// follow pulls over one link until it ends; tried is how many failed before it.
func (p *Puller) follow(ctx context.Context, c net.Conn, addr string, tried int) (answered bool, err error) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	in, w := gob.NewDecoder(bufio.NewReaderSize(c, 2048)), bufio.NewWriterSize(c, 2048)
	out := gob.NewEncoder(w)
	by, first, whole, alone, waited := p.lives[addr], true, false, false, false
	var mend *Mend
	told, kept := registry.Vector{}, uint64(0)
	mended := time.Now().Add(-mendEvery) // at the second ask, when what the vector tells has come
	for {
		a := p.ask(by, first, whole, alone)
		first = false
		a.Mend, a.Want.Have, a.Kept = mend, risen(a.Want.Have, told), kept
		asked := time.Now()
		c.SetDeadline(asked.Add(silenceMost))
		if err := out.Encode(&a); err != nil {
			return answered, errors.Wrapf(err, "ask, peer %s", addr)
		}
		if err := w.Flush(); err != nil {
			return answered, errors.Wrapf(err, "ask, peer %s", addr)
		}
		var cargo Cargo
		if err := in.Decode(&cargo); err != nil {
			return answered, errors.Wrapf(err, "pull, peer %s", addr)
		}
		if err := p.Board.admit(&cargo, p.Peer); err != nil {
			return false, errors.Wrapf(err, "pull, peer %s", addr)
		}
		answered, by, alone = true, cargo.News.By, cargo.Alone
		if len(p.lives) >= livesMost {
			clear(p.lives)
		}
		if p.Kind == "proxy" {
			p.Board.SetSlackSpent(cargo.SlackSpent)
		}
		if p.Answered != nil {
			p.Answered(addr, &cargo, asked)
		}
		p.lives[addr] = by // a link made anew goes on where this one ends
		unfit := p.Board.take(&cargo, p.Peer, time.Now())
		if unfit != nil && cargo.Whole != nil {
			// It would be sent again with each answer.
			return false, errors.Wrapf(unfit, "configuration, peer %s", addr)
		}
		whole = unfit != nil
		if mend = nil; cargo.Mend != nil {
			mend = p.Board.step(cargo.Mend)
		} else if !cargo.News.More && time.Since(mended) >= mendEvery {
			mended, mend = time.Now(), p.Board.begin()
		}
		if cargo.KeptNo != 0 {
			kept = cargo.KeptNo
			if p.Keeps != nil {
				p.Keeps(addr, cargo.Kept)
			}
		}
		if p.Merged != nil {
			p.Merged()
		}
		if alone && p.MoveOn {
			if tried < stayAfter || waited {
				return false, errAlone
			}
			waited = true // for one answer
		}
		if p.Better != nil && p.Better(addr) {
			return true, nil
		}
	}
}

// risen gives the components that told lacks, and notes them there.
func risen(v, told registry.Vector) registry.Vector {
	for source, no := range v {
		if told[source] >= no {
			delete(v, source)
		} else {
			told[source] = no
		}
	}
	return v
}

func (p *Puller) ask(by string, first, whole, alone bool) Ask {
	a := Ask{Node: p.Node, Life: p.Life, IP: p.IP, Kind: p.Kind, Whole: whole, Alone: alone, Peer: p.Peer}
	if p.Say != nil {
		p.Say(&a, first)
	}
	p.Board.mu.Lock()
	defer p.Board.mu.Unlock()
	a.Want, a.Core, a.Mixers = p.Board.registry.PullQuery(by), p.Board.coreSum, p.Board.mixers
	a.SlackSpent = p.Kind == "proxy" && p.Board.slackSpent
	if p.Board.doc != nil {
		a.Version = p.Board.doc.Version
	}
	return a
}
