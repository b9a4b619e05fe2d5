package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func proposal(version uint64, body string) Document {
	digest := uint64(17)
	for _, b := range []byte(body) {
		digest = digest*31 + uint64(b)
	}
	return Document{Version: version, Digest: digest, Body: []byte(body)}
}

func propose(n *Node, d Document) Result {
	n.Propose(n.now, 1, d)
	answers := drainAnswers(n, n.now)
	if len(answers) != 1 {
		return Unknown
	}
	return answers[0].Result
}

// One body stands for each version: of two operators' proposals one is confirmed, also long after and after a restart, and
// a repeated proposal gets the same answer. An earlier version confirmed both.
func TestOneBodyPerVersion(t *testing.T) {
	n := singleNode(t)
	must.Eq(t, OK, propose(n, proposal(5, "ours")))
	must.Eq(t, OK, propose(n, proposal(5, "ours")))
	must.Eq(t, Conflict, propose(n, proposal(5, "theirs")))
	must.Eq(t, OK, propose(n, proposal(9, "later")))
	for range 2 {
		must.Eq(t, OK, propose(n, proposal(5, "ours")))
		must.Eq(t, Conflict, propose(n, proposal(5, "theirs")))
	}
	must.Eq(t, OK, propose(n, proposal(7, "superseded"))) // acknowledged without changing the document
	must.Eq(t, uint64(9), n.Committed().Version)
	must.Eq(t, Conflict, propose(n, proposal(7, "superseded by another")))
	must.Eq(t, OK, propose(n, proposal(7, "superseded")))

	// After a power loss.
	disk := &Saved{ID: n.id, Vote: n.vote, Copy: n.copy}
	c := n.config
	n = New(c, disk, n.now)
	must.Eq(t, Unknown, proposeOrUnknown(n, proposal(7, "superseded by another"))) // nothing is known to be committed yet
	for now := n.now; ; now += tick {
		n.Tick(now)
		drainAnswers(n, now)
		if _, leads := n.Leading(); leads {
			break
		}
	}
	must.Eq(t, Conflict, propose(n, proposal(7, "superseded by another")))
	must.Eq(t, OK, propose(n, proposal(7, "superseded")))
}

// proposeOrUnknown returns Unknown also for a proposal that was refused.
func proposeOrUnknown(n *Node, d Document) Result {
	if r := propose(n, d); r != Refused {
		return r
	}
	return Unknown
}

// Pending proposals become one revision; of those with the same version the first one wins.
func TestOrdersThatWaitTogether(t *testing.T) {
	n := singleNode(t)
	n.Propose(n.now, 1, proposal(1, "first"))
	write := n.Take().Writes[0]
	for i, d := range []Document{proposal(4, "a"), proposal(3, "b"), proposal(4, "c"), proposal(2, "d"),
		proposal(3, "b"), proposal(1, "x")} {
		n.Propose(n.now, uint64(10+i), d)
	}
	n.Saved(n.now, write.Token)
	got := map[uint64]Result{}
	for _, a := range drainAnswers(n, n.now) {
		got[a.Call] = a.Result
	}
	must.Eq(t, map[uint64]Result{1: OK, 10: OK, 11: OK, 12: Conflict, 13: OK, 14: OK, 15: Conflict}, got)
	must.Eq(t, "a", string(n.Committed().Body))
	must.Eq(t, uint64(2), n.committed.State.Revision)
}

// The history is bounded; a proposal older than all of its entries is acknowledged and changes nothing.
func TestHistoryIsBounded(t *testing.T) {
	n := singleNode(t)
	for v := uint64(1); v <= 3*maxHistoryEntries; v++ {
		must.Eq(t, OK, propose(n, proposal(10*v, fmt.Sprint("body", v))))
	}
	must.Eq(t, maxHistoryEntries, n.committed.State.Orders.size())
	newest := uint64(3 * maxHistoryEntries)
	must.Eq(t, OK, propose(n, proposal(10*newest-50, "body"+fmt.Sprint(newest-5))))
	must.Eq(t, Conflict, propose(n, proposal(10*newest-50, "another")))
	must.Eq(t, OK, propose(n, proposal(10, "another"))) // too old for the history to tell
	must.Eq(t, maxHistoryEntries, n.committed.State.Orders.size())
}

// A planned shutdown hands over: a successor is named and notified, so that no node has to wait for a timeout.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	nodes := map[string]*Node{}
	for _, addr := range []string{"a", "b", "c"} {
		nodes[addr] = New(coldStartConfig(addr), nil, 0)
	}
	step := func(now time.Duration) {
		for _, n := range nodes {
			n.Tick(now)
		}
		for range 20 {
			for _, addr := range []string{"a", "b", "c"} {
				n := nodes[addr]
				actions := n.Take()
				for _, w := range actions.Writes {
					n.Saved(now, w.Token)
				}
				for _, m := range actions.Sends {
					if to := nodes[m.ToAddr]; to != nil {
						to.Receive(now, m)
					}
				}
			}
		}
	}
	leader := func() *Node {
		for _, n := range nodes {
			if _, leads := n.Leading(); leads {
				return n
			}
		}
		return nil
	}
	now := time.Duration(0)
	for ; leader() == nil || now < 3*time.Second; now += tick {
		step(now)
	}
	old := leader()
	old.Leave(now)
	from := now
	for leader() == old || leader() == nil {
		must.Less(t, from+300*time.Millisecond, now)
		now += tick
		step(now)
	}
	must.True(t, old.Left())
	must.SliceNotContains(t, leader().Epoch().InSync, old.ID())
}
