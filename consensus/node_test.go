package consensus

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const tick = 50 * time.Millisecond

func testConfig(addr string) Config {
	return Config{ID: ID("new/" + addr), Addr: addr, Zone: "z", Region: "r", Counts: true, Losses: 1, Seeds: []string{"b", "a", "c"}}
}

func coldStartConfig(addr string) Config {
	c := testConfig(addr)
	c.ColdStart = true
	return c
}

func TestFoundersAgree(t *testing.T) {
	a, b := New(coldStartConfig("a"), nil, 0), New(coldStartConfig("b"), nil, time.Hour)
	must.Eq(t, a.Epoch(), b.Epoch())
	must.Eq(t, ID("found/a"), a.ID())
	must.Eq(t, uint64(1), a.Epoch().N)
	must.Eq(t, ID("found/a"), a.Epoch().Primary)
	must.Len(t, 3, a.Epoch().InSync)
}

func TestEmptyDiskNeitherFoundsNorVotes(t *testing.T) {
	n := New(testConfig("a"), nil, 0) // the address of a seed, but not a cold start
	must.Eq(t, ID("new/a"), n.ID())
	must.Eq(t, uint64(0), n.Epoch().N)
	n.Take()
	n.Receive(0, Message{Kind: Prepare, From: "found/b", FromAddr: "b", To: "found/a", ToAddr: "a", Ballot: Ballot{9, "found/b"}})
	n.Saved(0, 1)
	must.SliceEmpty(t, n.Take().Sends) // the message was addressed to the lost disk
	for now := time.Duration(0); now < 3*time.Second; now += tick {
		n.Tick(now)
		for _, m := range n.Take().Sends {
			must.Eq(t, Join, m.Kind)
		}
	}
}

func TestRepliesWaitForSync(t *testing.T) {
	n := New(coldStartConfig("a"), nil, 0)
	n.Receive(0, Message{Kind: Prepare, From: "found/b", FromAddr: "b", To: "found/a", ToAddr: "a", Ballot: Ballot{9, "found/b"}})
	a := n.Take()
	must.SliceEmpty(t, a.Sends)
	must.Len(t, 1, a.Writes)
	must.Eq(t, Ballot{9, "found/b"}, a.Writes[0].Vote.Promised)
	n.Saved(0, a.Writes[0].Token)
	a = n.Take()
	must.Len(t, 1, a.Sends)
	must.Eq(t, Promise, a.Sends[0].Kind)
}

// The queue of replies behind a stalled disk must stay bounded, and so must the number of pending calls and known peers.
func TestBounds(t *testing.T) {
	n := New(coldStartConfig("a"), nil, 0)
	n.Take()
	for i := range uint64(3 * maxHeldReplies) {
		n.Receive(0, Message{Kind: Prepare, From: "found/b", FromAddr: "b", Ballot: Ballot{9 + i, "found/b"}})
		n.Take()
	}
	must.LessEq(t, maxHeldReplies, len(n.heldReplies))

	n = singleNode(t)
	n.Propose(n.now, 1, Document{Version: 1})
	n.Take() // never synced
	refused := 0
	for i := range uint64(2 * maxCalls) {
		n.Propose(n.now, 2+i, Document{Version: 2 + i})
		for _, a := range n.Take().Answers {
			must.Eq(t, Refused, a.Result)
			refused++
		}
	}
	must.LessEq(t, maxCalls, len(n.calls))
	must.Eq(t, 2*maxCalls+1-maxCalls, refused)
	for i := range uint64(2 * maxPeers) {
		id := ID(string(rune('A' + i)))
		n.Receive(n.now, Message{Kind: Join, From: id, FromAddr: string(id), Member: Member{ID: id, Addr: string(id), Counts: true}})
		n.Take()
	}
	must.LessEq(t, maxPeers, len(n.primary.peers))
}

// singleNode returns the primary of a system with one machine.
func singleNode(t *testing.T) *Node { return singleNodeAt(t, "a") }

// singleNodeAt returns the primary of a one-machine system founded at the given address.
func singleNodeAt(t *testing.T, addr string) *Node {
	t.Helper()
	c := coldStartConfig(addr)
	c.Seeds, c.Losses = []string{addr}, 0
	n := New(c, nil, 0)
	for now := time.Duration(0); now < time.Second; now += tick {
		n.Tick(now)
		drainAnswers(n, now)
	}
	_, ok := n.Leading()
	must.True(t, ok)
	return n
}

func drainAnswers(n *Node, now time.Duration) (out []Answer) {
	for {
		a := n.Take()
		out = append(out, a.Answers...)
		if len(a.Writes) == 0 {
			return out
		}
		n.Saved(now, a.Writes[0].Token)
	}
}

func TestRegister(t *testing.T) {
	n := singleNode(t)
	for i, step := range []struct{ propose, want uint64 }{{3, 3}, {2, 3}, {3, 3}, {7, 7}} {
		n.Propose(n.now, uint64(i), Document{Version: step.propose, Body: []byte{byte(i)}})
		must.Eq(t, []Answer{{Call: uint64(i), Result: OK, Primary: "a"}}, drainAnswers(n, n.now))
		n.Read(n.now, 99)
		as := drainAnswers(n, n.now)
		must.Len(t, 1, as)
		must.Eq(t, step.want, as[0].Doc.Version)
	}
	must.Eq(t, []byte{3}, n.Committed().Body)
	n.Propose(n.now, 50, Document{})
	must.Eq(t, Refused, drainAnswers(n, n.now)[0].Result)
}

// A call that cannot be completed ends as unknown after its timeout, and also when the primary steps down.
func TestCallsEnd(t *testing.T) {
	n := singleNode(t)
	n.Propose(n.now, 1, Document{Version: 1})
	n.Take()
	n.Tick(n.now + diskStallTimeout + tick)
	as := n.Take().Answers
	must.Len(t, 1, as)
	must.Eq(t, Unknown, as[0].Result)
	_, ok := n.Leading()
	must.False(t, ok)
}

func TestGobRoundTrip(t *testing.T) {
	for _, m := range []Message{{Kind: Promise, Epoch: &Epoch{}}, {Kind: Store,
		State: State{5, Document{3, 9, []byte("x")}, History{}.add(3, 9)}, Stamp: Stamp{1, 5},
		Epoch: &Epoch{N: 2, InSync: []ID{"a"}, Members: []Member{{ID: "a", Counts: true}}}}, {Kind: Heartbeat, At: 5}} {
		var b bytes.Buffer
		must.NoError(t, gob.NewEncoder(&b).Encode(m))
		var got Message
		must.NoError(t, gob.NewDecoder(&b).Decode(&got))
		must.Eq(t, m, got)
	}
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(Saved{ID: "x", Vote: Vote{Value: foundingEpoch([]string{"a"})}}))
	var s Saved
	must.NoError(t, gob.NewDecoder(&b).Decode(&s))
	must.Eq(t, foundingEpoch([]string{"a"}), s.Vote.Value)
}

// After an invariant violation no call gets a result.
func TestViolationStopsAnswers(t *testing.T) {
	n := singleNode(t)
	e := n.Epoch()
	e.InSync = []ID{"other"}
	n.Receive(n.now, Message{Kind: Hint, Epoch: &e})
	must.Error(t, n.Check())
	n.Take()
	n.Read(n.now, 1)
	n.Propose(n.now, 2, Document{Version: 1})
	for _, a := range n.Take().Answers {
		must.NotEq(t, OK, a.Result)
	}
	must.SliceEmpty(t, n.Take().Sends)
}

// If all seeds lose their disks at once, they know no node that they could ask: a primary must contact silent peers itself.
func TestPrimaryContactsSilentPeers(t *testing.T) {
	n := singleNode(t)
	n.Receive(n.now, Message{Kind: Join, From: "b", FromAddr: "b", Member: Member{ID: "b", Addr: "b", Counts: true}})
	n.Take()
	n.Tick(n.now + heartbeatInterval)
	found := false
	for _, m := range n.Take().Sends {
		found = found || m.Kind == Hint && m.To == "" && m.ToAddr == "b"
	}
	must.True(t, found)
}
