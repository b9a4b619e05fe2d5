package distribution_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/distribution"
	"peathollow/manifest"
	"peathollow/registry"
)

const patience = 20 * time.Second

func config(t *testing.T, version int) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse(fmt.Appendf(nil, `{"config-version":%d,"routes":[{"name":"r%d","host":"h","path-prefix":"/%s/","mode":"idempotent","horizon-ms":900,"plant":"s"}],"plants":[{"name":"s"}]}`,
		version, version, strings.Repeat("same ", 100)))
	must.NoError(t, err)
	return m
}

// holder is one that has news: a board with a registry that hears searchers, served at an address.
type holder struct {
	*distribution.Board
	addr string
	ln   net.Listener
	stop context.CancelFunc
	done chan error
	asks chan distribution.Ask
}

func newBoard(name string, relay bool) *distribution.Board {
	return distribution.NewBoard(registry.New(registry.Config{Name: name, Relay: relay, Period: time.Second, Start: time.Now()}))
}

// serve starts a server for a board, at a free port if none is given.
func serve(t *testing.T, b *distribution.Board, addr string) *holder {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	h := &holder{Board: b, addr: ln.Addr().String(), ln: ln, stop: stop, done: make(chan error, 1), asks: make(chan distribution.Ask, 10_000)}
	s := distribution.Server{Board: b, Met: func(a *distribution.Ask) { h.asks <- *a }}
	go func() { h.done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() { h.end(t) })
	return h
}

func (h *holder) end(t *testing.T) {
	h.stop()
	select {
	case err := <-h.done:
		must.NoError(t, err)
		h.done <- nil
	case <-time.After(patience):
		t.Fatal("server does not end")
	}
}

func (h *holder) beat(id string, calls uint64, st registry.State) {
	h.With(func(r *registry.Registry) bool {
		r.Heartbeat(time.Now(), registry.Searcher{ID: id, Plant: "s", Address: "127.0.0.1:9", Calls: calls, State: st})
		return true
	})
}

// pull keeps a board up to date from what choose says, until the test ends.
func pull(t *testing.T, p distribution.Puller) {
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { stop(); all.Wait() })
}

func from(addrs ...string) func(int) string {
	return func(tried int) string { return addrs[tried%len(addrs)] }
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(holds), wait.Timeout(patience), wait.Gap(2*time.Millisecond)))
}

func version(b *distribution.Board) uint64 {
	if d := b.Document(); d != nil {
		return d.Version
	}
	return 0
}

func states(b *distribution.Board) (s []string) {
	for _, e := range b.Entries() {
		s = append(s, e.ID+" "+e.State.String())
	}
	slices.Sort(s)
	return s
}

func isStates(b *distribution.Board, want ...string) func() bool {
	return func() bool { return slices.Equal(states(b), want) }
}

// TestNews: what the one hears the other holds, through a relay as well; the whole configuration comes first, then
// differences, and an older one changes nothing.
func TestNews(t *testing.T) {
	t.Parallel()
	source := serve(t, newBoard("source", false), "")
	middle, end := newBoard("middle", true), newBoard("end", true)
	relay := serve(t, middle, "")
	pull(t, distribution.Puller{Board: middle, Life: "m", Kind: "agent", Choose: from(source.addr)})
	merged := make(chan bool, 10_000)
	pull(t, distribution.Puller{Board: end, Life: "e", Kind: "proxy", Choose: from(relay.addr), Merged: func() { merged <- true }})
	source.SetCore([]distribution.Place{{Addr: "a:1", Zone: "z"}})
	source.SetMixers(4)
	source.Put(config(t, 5))
	source.beat("i", 1, registry.Ready)
	source.beat("j", 1, registry.Ready)
	eventually(t, isStates(end, "i ready", "j ready"))
	eventually(t, func() bool { return version(end) == 5 && end.Mixers() == 4 && len(end.Core()) == 1 })
	source.beat("i", 2, registry.Draining)
	source.With(func(r *registry.Registry) bool { r.Leave(time.Now(), "j"); return true })
	eventually(t, isStates(end, "i draining"))
	for v := 6; v < 30; v++ {
		source.Put(config(t, v))
		must.False(t, source.Put(config(t, v-1)))
		eventually(t, func() bool { return version(end) == uint64(v) })
		must.Eq(t, string(config(t, v).Raw), string(end.Document().Raw))
	}
	must.False(t, end.Put(config(t, 28)))
	must.Positive(t, len(merged))
	for len(source.asks) > 0 {
		must.False(t, (<-source.asks).Whole) // every difference fitted
	}
}

// TestRestarts: either side may start anew; the other has what it lacks, and nothing goes back.
func TestRestarts(t *testing.T) {
	t.Parallel()
	first := serve(t, newBoard("first", false), "")
	end := newBoard("end", true)
	pull(t, distribution.Puller{Board: end, Life: "e", Kind: "proxy", Choose: from(first.addr)})
	first.Put(config(t, 9))
	first.beat("i", 1, registry.Ready)
	eventually(t, isStates(end, "i ready"))
	eventually(t, func() bool { return version(end) == 9 })
	first.end(t)
	// The next life knows an older version and less, and must not take anything back.
	second := serve(t, newBoard("second", false), first.addr)
	second.Put(config(t, 3))
	second.beat("j", 1, registry.Ready)
	eventually(t, isStates(end, "i ready", "j ready"))
	must.Eq(t, 9, version(end))
	second.Put(config(t, 10))
	eventually(t, func() bool { return version(end) == 10 })
	// And an asker that starts anew gets all that its server holds.
	fresh := newBoard("fresh", true)
	pull(t, distribution.Puller{Board: fresh, Life: "f", Kind: "proxy", Choose: from(second.addr)})
	eventually(t, func() bool {
		return slices.Contains(states(fresh), "j ready") && slices.Equal(states(fresh), states(second.Board))
	})
	eventually(t, func() bool { return version(fresh) == 10 })
}

// TestMovesOn: one that is out of touch with the core is left for another, as is one that refuses or says nothing; and
// where there is no other, it is still heard.
func TestMovesOn(t *testing.T) {
	t.Parallel()
	alone, sound := serve(t, newBoard("alone", false), ""), serve(t, newBoard("sound", false), "")
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer mute.Close()
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	dead.Close()
	end := newBoard("end", true)
	alone.beat("i", 1, registry.Ready)
	faults := make(chan string, 10_000)
	pull(t, distribution.Puller{Board: end, Life: "e", Kind: "agent", MoveOn: true, Fault: func(peer string, _ error) { faults <- peer },
		Choose: from(alone.addr, dead.Addr().String(), mute.Addr().String(), sound.addr)})
	eventually(t, isStates(end, "i ready"))
	alone.SetAlone(true)
	sound.beat("j", 1, registry.Ready)
	eventually(t, isStates(end, "i ready", "j ready"))
	var order []string
	for len(faults) > 0 {
		// One that refuses may be passed by without a word. A silent one costs its whole wait, so it must not be waited for
		// again while there is another.
		if peer := <-faults; peer != dead.Addr().String() {
			order = append(order, peer)
		}
	}
	must.Eq(t, []string{alone.addr, mute.Addr().String()}, order)

	only := newBoard("only", true)
	pull(t, distribution.Puller{Board: only, Life: "o", Kind: "agent", MoveOn: true, Choose: from(alone.addr)})
	eventually(t, isStates(only, "i ready"))
	alone.beat("k", 1, registry.Ready)
	eventually(t, isStates(only, "i ready", "k ready"))
}

// TestBetter: a preferred address is turned to while the present one still answers.
func TestBetter(t *testing.T) {
	t.Parallel()
	far, near := serve(t, newBoard("far", false), ""), serve(t, newBoard("near", false), "")
	near.beat("n", 1, registry.Ready)
	far.beat("f", 1, registry.Ready)
	end, at := newBoard("end", true), far.addr
	pull(t, distribution.Puller{Board: end, Life: "e", Kind: "agent", Choose: func(int) string { return at },
		Better: func(addr string) bool { at = near.addr; return addr != near.addr }})
	eventually(t, isStates(end, "f ready", "n ready"))
}

// TestBadPatch: a difference that doesn't fit is followed by an ask for the whole, while all else is taken.
func TestBadPatch(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	end := newBoard("end", true)
	must.True(t, end.Put(config(t, 4)))
	pull(t, distribution.Puller{Board: end, Life: "e", Kind: "proxy", Choose: from(ln.Addr().String())})
	c, err := ln.Accept()
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	in, out := gob.NewDecoder(c), gob.NewEncoder(c)
	ask := func() (a distribution.Ask) { must.NoError(t, in.Decode(&a)); return a }
	a := ask()
	must.Eq(t, 4, a.Version)
	must.False(t, a.Whole)
	patch := manifest.Delta(config(t, 2), config(t, 5)) // not from what the asker holds
	must.NoError(t, out.Encode(distribution.Cargo{Version: 5, Patch: &patch, Mixers: 3}))
	a = ask()
	must.True(t, a.Whole)
	must.Eq(t, 4, a.Version)
	must.Eq(t, 3, a.Mixers)
	must.NoError(t, out.Encode(distribution.Cargo{Version: 5, Whole: manifest.Pack(config(t, 5).Raw)}))
	a = ask()
	must.False(t, a.Whole)
	must.Eq(t, 5, a.Version)
	must.NoError(t, out.Encode(distribution.Cargo{Version: 3, Whole: manifest.Pack(config(t, 3).Raw)})) // an older one
	must.Eq(t, 5, ask().Version)
	must.Eq(t, 5, version(end))
}

// TestUnreadable: a server that has a whole that can't be read would answer each ask with it at once, so the link is
// given up, as any link with a fault: the next begins after a pause, and elsewhere if there is another.
func TestUnreadable(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	sound := serve(t, newBoard("sound", false), "")
	sound.Put(config(t, 6))
	end := newBoard("end", true)
	pull(t, distribution.Puller{Board: end, Life: "e", Kind: "proxy", Choose: from(ln.Addr().String(), sound.addr)})
	c, err := ln.Accept()
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	in, out := gob.NewDecoder(c), gob.NewEncoder(c)
	asked := 0
	for a := (distribution.Ask{}); asked < 20 && in.Decode(&a) == nil; asked++ {
		out.Encode(distribution.Cargo{Version: 5, Whole: []byte("not one")})
	}
	must.Less(t, 20, asked)
	eventually(t, func() bool { return version(end) == 6 })
}

// TestQuiet: with nothing to say an ask is answered all the same within its bound, and what it is answered with is
// nothing; a link that broke is told of once.
func TestQuiet(t *testing.T) {
	t.Parallel()
	b := newBoard("quiet", false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	left := make(chan string, 9)
	go (&distribution.Server{Board: b, Left: func(a *distribution.Ask) { left <- a.Life }}).Serve(ctx, ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	must.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	out, in := gob.NewEncoder(c), gob.NewDecoder(c)
	for range 2 {
		must.NoError(t, out.Encode(distribution.Ask{Life: "l", Kind: "proxy", Want: registry.PullQuery{Name: "l"}}))
		var cargo distribution.Cargo
		must.NoError(t, in.Decode(&cargo))
		must.SliceEmpty(t, cargo.News.Entries)
		must.Eq(t, 0, cargo.Version)
	}
	must.NoError(t, out.Encode(distribution.Ask{Life: "m", Kind: "proxy", Want: registry.PullQuery{Name: "l"}}))
	c.Close()
	must.Eq(t, "m", <-left)
}
