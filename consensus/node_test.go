package consensus

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const tick = 50 * time.Millisecond

func config(addr string) Config {
	return Config{ID: ID("new/" + addr), Addr: addr, Zone: "z", Region: "r", Counts: true, Losses: 1, Seeds: []string{"b", "a", "c"}}
}

func cold(addr string) Config {
	c := config(addr)
	c.ColdStart = true
	return c
}

func TestFoundersAgree(t *testing.T) {
	a, b := New(cold("a"), nil, 0), New(cold("b"), nil, time.Hour)
	must.Eq(t, a.Epoch(), b.Epoch())
	must.Eq(t, ID("found/a"), a.ID())
	must.Eq(t, uint64(1), a.Epoch().N)
	must.Eq(t, ID("found/a"), a.Epoch().Primary)
	must.Len(t, 3, a.Epoch().InSync)
}

func TestEmptyDiskNeitherFoundsNorVotes(t *testing.T) {
	n := New(config("a"), nil, 0) // the address of a seed, but no cold start
	must.Eq(t, ID("new/a"), n.ID())
	must.Eq(t, uint64(0), n.Epoch().N)
	n.Take()
	n.Receive(0, Message{Kind: Prepare, From: "found/b", FromAddr: "b", To: "found/a", ToAddr: "a", Ballot: Ballot{9, "found/b"}})
	n.Saved(0, 1)
	must.SliceEmpty(t, n.Take().Sends) // that was for the disk that is gone
	for now := time.Duration(0); now < 3*time.Second; now += tick {
		n.Tick(now)
		for _, m := range n.Take().Sends {
			must.Eq(t, Join, m.Kind)
		}
	}
}

func TestAnswersWaitForTheDisk(t *testing.T) {
	n := New(cold("a"), nil, 0)
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

// A hung disk must not let what waits for it grow, nor may callers without end.
func TestBounds(t *testing.T) {
	n := New(cold("a"), nil, 0)
	n.Take()
	for i := range uint64(3 * heldMost) {
		n.Receive(0, Message{Kind: Prepare, From: "found/b", FromAddr: "b", Ballot: Ballot{9 + i, "found/b"}})
		n.Take()
	}
	must.LessEq(t, heldMost, len(n.waiting))

	n = alone(t)
	n.Propose(n.now, 1, Doc{Version: 1})
	n.Take() // never synced
	refused := 0
	for i := range uint64(2 * callsMost) {
		n.Propose(n.now, 2+i, Doc{Version: 2 + i})
		for _, a := range n.Take().Answers {
			must.Eq(t, Refused, a.Result)
			refused++
		}
	}
	must.LessEq(t, callsMost, len(n.calls))
	must.Eq(t, 2*callsMost+1-callsMost, refused)
	for i := range uint64(2 * peersMost) {
		id := ID(string(rune('A' + i)))
		n.Receive(n.now, Message{Kind: Join, From: id, FromAddr: string(id), Member: Member{ID: id, Addr: string(id), Counts: true}})
		n.Take()
	}
	must.LessEq(t, peersMost, len(n.lead.peers))
}

// alone is a core of one machine that leads.
func alone(t *testing.T) *Node { return aloneAt(t, "a") }

// aloneAt is one founded at an address.
func aloneAt(t *testing.T, addr string) *Node {
	t.Helper()
	c := cold(addr)
	c.Seeds, c.Losses = []string{addr}, 0
	n := New(c, nil, 0)
	for now := time.Duration(0); now < time.Second; now += tick {
		n.Tick(now)
		drain(n, now)
	}
	_, ok := n.Leading()
	must.True(t, ok)
	return n
}

func drain(n *Node, now time.Duration) (out []Answer) {
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
	n := alone(t)
	for i, step := range []struct{ propose, want uint64 }{{3, 3}, {2, 3}, {3, 3}, {7, 7}} {
		n.Propose(n.now, uint64(i), Doc{Version: step.propose, Body: []byte{byte(i)}})
		must.Eq(t, []Answer{{Call: uint64(i), Result: OK, Primary: "a"}}, drain(n, n.now))
		n.Read(n.now, 99)
		as := drain(n, n.now)
		must.Len(t, 1, as)
		must.Eq(t, step.want, as[0].Doc.Version)
	}
	must.Eq(t, []byte{3}, n.Committed().Body)
	n.Propose(n.now, 50, Doc{})
	must.Eq(t, Refused, drain(n, n.now)[0].Result)
}

// A call that cannot be ended is ended as unknown after its time; so it is when the primary gives way.
func TestCallsEnd(t *testing.T) {
	n := alone(t)
	n.Propose(n.now, 1, Doc{Version: 1})
	n.Take()
	n.Tick(n.now + stallAfter + tick)
	as := n.Take().Answers
	must.Len(t, 1, as)
	must.Eq(t, Unknown, as[0].Result)
	_, ok := n.Leading()
	must.False(t, ok)
}

func TestMessagesTravel(t *testing.T) {
	for _, m := range []Message{{Kind: Promise, Epoch: &Epoch{}}, {Kind: Store, State: State{5, Doc{3, 9, []byte("x")}, History{}.add(3, 9)}, Stamp: Stamp{1, 5},
		Epoch: &Epoch{N: 2, InSync: []ID{"a"}, Members: []Member{{ID: "a", Counts: true}}}}, {Kind: Beat, At: 5}} {
		var b bytes.Buffer
		must.NoError(t, gob.NewEncoder(&b).Encode(m))
		var got Message
		must.NoError(t, gob.NewDecoder(&b).Decode(&got))
		must.Eq(t, m, got)
	}
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(Saved{ID: "x", Vote: Vote{Value: found([]string{"a"})}}))
	var s Saved
	must.NoError(t, gob.NewDecoder(&b).Decode(&s))
	must.Eq(t, found([]string{"a"}), s.Vote.Value)
}

// What breaks an invariant ends all answers.
func TestBrokenIsSilent(t *testing.T) {
	n := alone(t)
	e := n.Epoch()
	e.InSync = []ID{"other"}
	n.Receive(n.now, Message{Kind: Hint, Epoch: &e})
	must.Error(t, n.Check())
	n.Take()
	n.Read(n.now, 1)
	n.Propose(n.now, 2, Doc{Version: 1})
	for _, a := range n.Take().Answers {
		must.NotEq(t, OK, a.Result)
	}
	must.SliceEmpty(t, n.Take().Sends)
}

// Where all seeds lost their disks at once nobody is left whom they could ask: those that lead look for them.
func TestLeaderSeeksTheSilent(t *testing.T) {
	n := alone(t)
	n.Receive(n.now, Message{Kind: Join, From: "b", FromAddr: "b", Member: Member{ID: "b", Addr: "b", Counts: true}})
	n.Take()
	n.Tick(n.now + beatEvery)
	found := false
	for _, m := range n.Take().Sends {
		found = found || m.Kind == Hint && m.To == "" && m.ToAddr == "b"
	}
	must.True(t, found)
}
