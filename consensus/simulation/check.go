package simulation

import (
	"bytes"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"peathollow/consensus"
)

// observed is the state that the checks keep across all incarnations of all machines.
type observed struct {
	chosen       map[uint64]consensus.Epoch
	primaries    map[uint64]consensus.ID
	incarnations map[uint64]int
	content      map[uint64][]byte                    // of each committed version
	acknowledged map[uint64]uint64                    // digest of the body acknowledged to clients for each version
	ballots      map[consensus.Ballot]uint64          // the process that sent each ballot
	values       map[consensus.Ballot]consensus.Epoch // the value that each ballot stands for
	stamps       map[consensus.Stamp]consensus.State  // the state that each stamp stands for
	committed    uint64
	Epochs       int
}

func (s *observed) init() {
	s.chosen, s.primaries, s.incarnations = map[uint64]consensus.Epoch{}, map[uint64]consensus.ID{}, map[uint64]int{}
	s.content, s.acknowledged = map[uint64][]byte{}, map[uint64]uint64{}
	s.ballots, s.values = map[consensus.Ballot]uint64{}, map[consensus.Ballot]consensus.Epoch{}
	s.stamps = map[consensus.Stamp]consensus.State{}
}

// check verifies the invariants after each event on a machine.
func (w *World) check(h *host, committed *consensus.Document) {
	if err := h.node.Check(); err != nil {
		w.fail("%s: %v", h.addr, err)
	}
	w.checkEpoch(h.node.Epoch())
	if n, ok := h.node.Leading(); ok {
		if id, had := w.observed.primaries[n]; had && (id != h.node.ID() || w.observed.incarnations[n] != h.incarnation) {
			w.fail("epoch %d has two active primaries or incarnations: %s and %s", n, id, h.node.ID())
		}
		w.observed.primaries[n], w.observed.incarnations[n] = h.node.ID(), h.incarnation
	}
	if committed != nil {
		w.checkCommitted(h, *committed)
	}
}

func (w *World) checkEpoch(e consensus.Epoch) {
	if e.N == 0 {
		return
	}
	old, had := w.observed.chosen[e.N]
	if had {
		if old.Primary != e.Primary || !slices.Equal(old.InSync, e.InSync) || !slices.Equal(old.Members, e.Members) {
			w.fail("epoch %d chosen twice: %+v and %+v", e.N, old, e)
		}
		return
	}
	w.observed.chosen[e.N] = e
	w.observed.Epochs++
	w.Log("%v epoch %+v", w.now, e)
	if before, ok := w.observed.chosen[e.N-1]; ok {
		w.checkStep(before, e)
	}
}

// checkStep verifies what an epoch may change in its predecessor.
func (w *World) checkStep(a, b consensus.Epoch) {
	if w.meetsTolerance(inSyncPlaces(a)) && !w.meetsTolerance(inSyncPlaces(b)) {
		w.fail("epoch %d has too few in sync: %+v after %+v", b.N, b, a)
	}
	if !slices.Contains(a.InSync, b.Primary) {
		w.fail("epoch %d has a primary from outside the in-sync set: %+v after %+v", b.N, b, a)
	}
	if ids(a.Members) != ids(b.Members) && (ids(a.Prev) != ids(a.Members) || ids(b.Prev) != ids(a.Members)) {
		w.fail("epoch %d changes members in one step: %+v after %+v", b.N, b, a)
	}
	for _, id := range b.InSync {
		if !slices.ContainsFunc(b.Members, func(m consensus.Member) bool { return m.ID == id }) {
			w.fail("epoch %d: %s is in sync but not a member", b.N, id)
		}
		if slices.Contains(a.InSync, id) {
			continue
		}
		for _, h := range w.hosts {
			if h.node != nil && h.node.ID() == id && (h.disk == nil || h.disk.Copy.State.Doc.Version < w.observed.committed) {
				w.fail("epoch %d adds %s to the in-sync set without version %d", b.N, id, w.observed.committed)
			}
		}
	}
}

func ids(ms []consensus.Member) string {
	s := ""
	for _, m := range ms {
		s += string(m.ID) + " "
	}
	return s
}

// checkSent verifies each message that a process sends: a ballot belongs to one process and always stands for one value,
// and a stamp stands for one state.
func (w *World) checkSent(h *host, m consensus.Message) {
	switch m.Kind {
	case consensus.Prepare, consensus.Accept:
		processID, had := w.observed.ballots[m.Ballot]
		if had && processID != h.processID {
			w.fail("%s sends ballot %v, which an earlier process sent", h.addr, m.Ballot)
		}
		w.observed.ballots[m.Ballot] = h.processID
	}
	switch m.Kind {
	case consensus.Accept:
		if value, had := w.observed.values[m.Ballot]; had && !reflect.DeepEqual(value, *m.Epoch) {
			w.fail("%s: ballot %v stands for %+v and %+v", h.addr, m.Ballot, value, *m.Epoch)
		}
		w.observed.values[m.Ballot] = *m.Epoch
	case consensus.Store:
		state, had := w.observed.stamps[m.Stamp]
		if had && (state.Doc.Version != m.State.Doc.Version || !bytes.Equal(state.Orders, m.State.Orders)) {
			w.fail("%s: stamp %v stands for two states", h.addr, m.Stamp)
		}
		w.observed.stamps[m.Stamp] = m.State
	}
}

// checkAcknowledgedBody verifies that only one body is ever acknowledged for a version.
func (w *World) checkAcknowledgedBody(o *op) {
	digest, had := w.observed.acknowledged[o.doc.Version]
	if had && digest != o.doc.Digest {
		w.fail("version %d was acknowledged with two bodies, the second is %q", o.doc.Version, o.doc.Body)
	}
	w.observed.acknowledged[o.doc.Version] = o.doc.Digest
}

type place struct{ zone, region string }

func inSyncPlaces(e consensus.Epoch) []place {
	var out []place
	for _, id := range e.InSync {
		for _, m := range e.Members {
			if m.ID == id && m.Counts {
				out = append(out, place{m.Zone, m.Region})
			}
		}
	}
	return out
}

func (w *World) meetsTolerance(places []place) bool {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, p := range places {
		zones[p.zone], regions[p.region] = true, true
	}
	delete(zones, "") // places are unknown at the founding
	delete(regions, "")
	return len(places) > w.options.Losses && (w.options.Zones == 0 || len(zones) > w.options.Zones) &&
		(w.options.Regions == 0 || len(regions) > w.options.Regions)
}

// checkCommitted verifies that each version has one content, that versions never fall within an incarnation, and that
// enough copies exist when a version is first seen. Machines that lost their disk within the recovery time count as holders.
func (w *World) checkCommitted(h *host, d consensus.Document) {
	if d.Version <= h.committed {
		w.fail("%s: committed version went from %d to %d", h.addr, h.committed, d.Version)
	}
	h.committed = d.Version
	if b, had := w.observed.content[d.Version]; had && !bytes.Equal(b, d.Body) {
		w.fail("version %d committed as %q and %q", d.Version, b, d.Body)
	}
	w.observed.content[d.Version] = d.Body
	if d.Version <= w.observed.committed {
		return
	}
	w.observed.committed = d.Version
	var holders []place
	for _, o := range w.hosts {
		if o.has(d) || w.now-o.diskLostAt < recoveryTime {
			holders = append(holders, place{o.zone, o.region})
		}
	}
	if w.options.Unsatisfiable {
		w.fail("%s: version %d is committed although the tolerance cannot be satisfied", h.addr, d.Version)
	}
	if !w.options.ExceedTolerance && !w.meetsTolerance(holders) {
		w.fail("version %d is committed with copies on %v only", d.Version, holders)
	}
}

// has reports whether the disk holds this document or a later one.
func (h *host) has(d consensus.Document) bool {
	if h.disk == nil {
		return false
	}
	mine := h.disk.Copy.State.Doc
	return mine.Version > d.Version || mine.Version == d.Version && bytes.Equal(mine.Body, d.Body)
}

func (w *World) checkRead(o *op) {
	if o.doc.Version < o.minVersion {
		w.fail("a read started at %v returned version %d, but %d was acknowledged before", o.from, o.doc.Version, o.minVersion)
	}
	if b, had := w.observed.content[o.doc.Version]; had && !bytes.Equal(b, o.doc.Body) {
		w.fail("version %d was committed as %q and is read as %q", o.doc.Version, b, o.doc.Body)
	}
}

// documentRegister models a register whose version only rises.
var documentRegister = porcupine.Model{
	Init: func() any { return consensus.Document{} },
	Step: func(state, in, out any) (bool, any) {
		s, o := state.(consensus.Document), in.(*op)
		if o.read {
			return !o.completed || o.doc.Version == s.Version && bytes.Equal(o.doc.Body, s.Body), s
		}
		if o.doc.Version > s.Version {
			return true, o.doc
		}
		return true, s
	},
	Equal: func(a, b any) bool {
		x, y := a.(consensus.Document), b.(consensus.Document)
		return x.Version == y.Version && bytes.Equal(x.Body, y.Body)
	},
}

// checkLinearizable checks the clients' history. A proposal without a clear result may take effect at any later time.
func (w *World) checkLinearizable() {
	w.checkProposalHistory()
	read := map[[2]uint64]bool{} // version and digest
	for _, o := range w.clients.history {
		if o.read && o.completed {
			read[[2]uint64{o.doc.Version, o.doc.Digest}] = true
		}
	}
	var ops []porcupine.Operation
	for i, o := range w.clients.history {
		switch {
		case !o.completed && !read[[2]uint64{o.doc.Version, o.doc.Digest}]:
			// It was never observed, so a history without it is equivalent to one with it.
		case o.refused:
		case o.completed:
			ops = append(ops, porcupine.Operation{ClientId: o.client, Input: o, Call: int64(o.from), Return: int64(o.to)})
		case !o.read:
			ops = append(ops, porcupine.Operation{ClientId: 1000 + i, Input: o, Call: int64(o.from), Return: math.MaxInt64})
		}
	}
	switch porcupine.CheckOperationsTimeout(documentRegister, ops, 3*time.Second) {
	case porcupine.Illegal:
		w.fail("the history of %d calls is not linearizable as a register whose version only rises", len(ops))
	case porcupine.Unknown:
		w.fail("the linearizability of %d calls was not decided in time", len(ops))
	}
}
