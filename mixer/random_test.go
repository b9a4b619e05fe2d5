package mixer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"peathollow/attempt"
	"peathollow/brain"
	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

// rash sends, calls off and sends again as the dice have it, within the rules on what may go again.
type rash struct {
	attempt.Decider // nil: what is not told below is not called
	act             brain.Actions
	dice            *rand.Rand
	now             time.Duration
	ready           []int
	parts           map[uint64]*rashPart
	scans           map[uint64]*rashScan // by number
	wakes           []uint64             // parts to call off, by token
}

type rashScan struct {
	id   uint64
	done bool
}

type rashPart struct {
	scan  *rashScan
	out   bool
	tries int
}

func (d *rash) At(now time.Duration) { d.now = now }
func (d *rash) ListBegin(m brain.ListMode) {
	if m == brain.Whole {
		d.ready = nil
	}
}
func (d *rash) ListEnd(brain.ListMode) {}
func (d *rash) Forget(i int)           { d.drop(i) }
func (d *rash) drop(i int)             { d.ready = slices.DeleteFunc(d.ready, func(x int) bool { return x == i }) }
func (d *rash) ListEntry(i int, st brain.Standing, _ float64, _ time.Duration, _ int) {
	if d.drop(i); st == brain.Ready {
		d.ready = append(d.ready, i)
	}
}

func (d *rash) Scan(id, no uint64, _, _ int, _, _ time.Duration, _ int, _ bool) {
	d.scans[no] = &rashScan{id: id}
}

func (d *rash) Part(id, no uint64, _ int, _ float64) {
	p := &rashPart{scan: d.scans[no]}
	d.parts[id] = p
	d.send(id, p)
}

func (d *rash) send(id uint64, p *rashPart) {
	if len(d.ready) == 0 || p.tries == 3 || p.scan.done {
		return
	}
	p.tries++
	p.out = true
	d.act.Dispatch(id, d.ready[d.dice.IntN(len(d.ready))], d.now+time.Second)
	if d.dice.IntN(2) == 0 {
		d.wakes = append(d.wakes, id)
		d.act.Wake(d.now+time.Duration(d.dice.IntN(int(100*time.Millisecond))), uint64(len(d.wakes)-1))
	}
}

func (d *rash) Woke(token uint64) {
	id := d.wakes[token]
	if p := d.parts[id]; p.out {
		d.act.Cancel(id, p.tries-1)
	}
}

func (d *rash) Returned(id uint64, _ int, out brain.Outcome, _ time.Duration) {
	p := d.parts[id]
	if p.out = false; out != brain.Pass {
		d.send(id, p)
	}
}

func (d *rash) Left(id uint64) {
	for _, s := range d.scans {
		s.done = s.done || s.id == id
	}
}

// Whatever overtakes what: what truly serves - the owner, the life of a dispatch, the connections - never has a part
// out twice where copies are barred, as its searchers see it. The clock is the test's own.
func TestRandomOrdersOnRealConnections(t *testing.T) {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	m := made(t, f, nil)
	f.Close()
	set := &m.cfg.Settings.Brain
	set.SecondCopies, set.MayCancel, set.PartsPerCall = false, true, 1
	again := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			s := newSheet()
			randomRun(t, m, s, seed)
			if again += s.again; len(s.copies) > 0 {
				t.Errorf("seed %d: %d second copies: part %s\n%s", seed, len(s.copies), s.copies[0], strings.Join(s.story[s.copies[0]], "\n"))
			}
		})
	}
	if again < 1000 {
		t.Errorf("%d parts went out again: too few to tell", again)
	}
}

func randomRun(t *testing.T, m *Mixer, s *sheet, seed uint64) {
	lim := m.lim
	lim.Attempt.Settle = 5 * time.Millisecond
	lim.Link.Receipt, lim.Link.Linger = 50*time.Millisecond, 500*time.Millisecond
	ctx, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	var mu sync.Mutex
	dice := rand.New(rand.NewPCG(seed, 45))
	roll := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return dice.IntN(n)
	}
	lim.Link.Dial = func(_ context.Context, addr string) (net.Conn, error) {
		hold := func() time.Duration { return time.Duration(roll(4) / 3 * roll(int(2*time.Millisecond))) }
		near, far := newWire(hold)
		p := &scripted{name: addr, end: far, sheet: s, most: 4 * time.Millisecond, held: map[string]*running{},
			dice: rand.New(rand.NewPCG(uint64(roll(1<<30)), 45))}
		all.Go(p.serve)
		return near, nil
	}
	o := newOwner(ctx, &m.cfg, lim, zap.NewNop(), nil)
	fresh := func(act brain.Actions, now time.Duration) attempt.Decider {
		return &rash{act: act, dice: rand.New(rand.NewPCG(seed, 46)), now: now,
			parts: map[uint64]*rashPart{}, scans: map[uint64]*rashScan{}}
	}
	o.Life = attempt.NewWith(&m.cfg.Settings, lim.Attempt, outside{o}, o.start, fresh)
	done := make(chan struct{})
	all.Go(func() { o.run(done) })
	list := func(drains int) {
		l, mode := proto.List{Whole: roll(2) == 0}, brain.Changes
		if l.Whole {
			mode = brain.Whole
		}
		for i := range 4 {
			h := proto.Host{Name: fmt.Sprint(i), Addr: fmt.Sprint("searcher ", i), Cell: i, Weight: 1}
			if i == drains {
				if h.State = brain.Draining; l.Whole && roll(2) == 0 {
					continue // gone
				}
			}
			l.Hosts = append(l.Hosts, h)
		}
		o.post(func() { o.List(mode, l) })
	}
	list(-1)
	for i := range 60 {
		q := proto.Query{ID: fmt.Sprint(i), Class: "narrow", Wait: time.Second,
			Parts: []proto.Part{{Shard: 1, Weight: 0.5}, {Shard: 3, Weight: 0.5}}}
		scan := &attempt.Scan{Query: q, Reply: func(attempt.Answer) {}}
		o.post(func() { o.Admit(scan, 0) })
		time.AfterFunc(400*time.Millisecond, func() { o.post(func() { o.Left(scan) }) })
		if i%10 == 9 {
			list(roll(5))
		}
		time.Sleep(time.Duration(roll(int(20 * time.Millisecond))))
	}
	time.Sleep(2 * time.Second)
	stop()
	time.Sleep(time.Second)
	close(done)
	all.Wait()
	time.Sleep(time.Second) // what was on its way
}
