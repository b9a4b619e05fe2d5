package request

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
)

// configure puts the next version in force: shards come and go, routes change their time-outs and what they want.
func (w *world) configure() {
	w.version++
	w.services = nil
	for i := range 6 {
		w.services = append(w.services, fmt.Sprint("s", w.version/3+i))
	}
	s, r := w.services, w.r
	times := func() (time.Duration, time.Duration) {
		return time.Duration(300+r.IntN(500)) * ms, time.Duration(80+r.IntN(100)) * ms
	}
	w.routes = nil
	for i := range 5 {
		route := &manifest.Route{Name: fmt.Sprint(i), Idempotent: i != 1, Retries: 1 + r.IntN(3), TopK: 1 + r.IntN(8), MinCoverage: 1, Rank: i % 3}
		route.Horizon, route.Setpoint = times()
		switch i {
		case 0, 1:
			route.Plant = s[i]
		case 2:
			route.Split = []manifest.WeightedService{{Service: s[0], Gain: 0}, {Service: s[2], Gain: 1}, {Service: s[3], Gain: 2}}
		case 3:
			route.FanOut, route.MinCoverage = s[3:6], 0.6667 // two of three are less
		case 4:
			route.FanOut, route.MinCoverage = s[r.IntN(2):5], []float64{0, 0.5, 0.6, 1}[r.IntN(4)]
		}
		w.routes = append(w.routes, route)
	}
}

func (w *world) birth(service, address string) {
	w.births++
	h := &Host{ID: fmt.Sprint("i", w.births), Address: address, Service: service, Far: w.births % 3}
	w.listed[h.ID] = h
	if w.r.IntN(3) == 0 {
		w.moods[h.ID] = policy.Outcome(w.r.IntN(int(policy.Expired) + 1))
	}
}

// tell hands the list over.
func (w *world) tell() {
	var hosts []Host
	for _, id := range w.ids() {
		if h := *w.listed[id]; w.fault != "list untold" || h.State == policy.Ready {
			hosts = append(hosts, h)
		} else {
			h.State = policy.Ready
			hosts = append(hosts, h)
		}
	}
	maps.DeleteFunc(w.gone, func(id string, until time.Duration) bool { return w.listed[id] == nil || w.now >= until })
	w.l.List(hosts)
}

func (w *world) ids() (ids []string) {
	for id := range w.listed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// churn has searchers start, drain, end, vanish from the list and come back, and addresses go to others.
func (w *world) churn() {
	for _, id := range w.ids() {
		switch h := w.listed[id]; w.r.IntN(40) {
		case 0:
			h.State = policy.Draining
		case 1:
			delete(w.listed, id)
			w.birth(w.services[w.r.IntN(6)], h.Address)
		case 2: // a list that lost it for a moment
			delete(w.listed, id)
			if h.State == policy.Ready {
				w.after(30*ms, func() { w.listed[id] = h; w.tell() })
			}
		case 3:
			w.moods[id] = policy.Outcome(w.r.IntN(int(policy.Expired) + 1))
		case 4, 5:
			w.moods[id] = policy.Succeeded
			h.Calls++ // it has reported again
			delete(w.gone, id)
		}
	}
	for _, s := range w.services {
		n := 0
		for _, h := range w.listed {
			if h.Service == s && h.State == policy.Ready {
				n++
			}
		}
		for ; n < 3 && w.r.IntN(5) > 0; n++ {
			w.birth(s, fmt.Sprint("a", w.births))
		}
	}
	w.tell()
}

func (w *world) every(d time.Duration, until time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		if w.now < until {
			w.after(time.Duration(float64(d)*(0.5+w.r.Float64())), again)
		}
	}
	w.after(0, again)
}

// play has seconds of load and trouble, then waits until nothing is left to come.
func play(seed uint64, fault string, span time.Duration) *world {
	w := newWorld(seed, fault)
	w.configure()
	w.every(1500*ms, span, w.configure)
	w.every(100*ms, span, w.churn)
	w.every(8*ms, span, w.begin)
	w.run(span + 5*time.Second)
	for _, q := range w.reqs {
		if q.finals != 1 && !q.left && w.broken == nil {
			w.fail("request %d got %d answers", q.no, q.finals)
		}
	}
	return w
}

// TestLife: whatever searchers, the list and the operator do, each request gets its one right answer.
func TestLife(t *testing.T) {
	var kinds [Failed + 1]int
	for seed := range uint64(8) {
		w := play(seed, "", 5*time.Second)
		must.Eq(t, "", strings.Join(w.broken, "; "), must.Sprint("seed ", seed))
		must.Eq(t, 0, w.l.InHand())
		must.Eq(t, 0, len(w.l.parts), must.Sprint("parts kept, seed ", seed))
		for k, n := range w.kinds {
			kinds[k] += n
		}
		c := w.l.Counts
		must.Positive(t, c.Further)
		must.Positive(t, c.Left)
		must.Positive(t, c.Partial)
	}
	for k, n := range kinds { // else the load shows nothing
		must.Greater(t, 30, n, must.Sprint("kind ", k, " of ", kinds))
	}
}

// TestPlanted: each fault is seen.
func TestPlanted(t *testing.T) {
	for fault, shows := range map[string]string{
		"send twice":      "out twice",
		"false proof":     "sent again",
		"no answer":       "got 0 answers",
		"two answers":     "answer 2",
		"refuse what ran": "refused and may have run",
		"miscount":        "missing of",
		"one record less": "body",
		"list untold":     "listed",
	} {
		seen := ""
		for seed := range uint64(8) {
			seen += strings.Join(play(seed, fault, 3*time.Second).broken, "; ")
		}
		must.StrContains(t, seen, shows, must.Sprint(fault))
	}
}

// TestCheckSees: damage to the book itself shows in Check.
func TestCheckSees(t *testing.T) {
	for name, spoil := range map[string]func(l *Life, p *part){
		"a request more":       func(l *Life, p *part) { p.req.group.busy++ },
		"a dispatch forgotten": func(l *Life, p *part) { p.tries[0].out = false },
		"a part lost":          func(l *Life, p *part) { delete(l.parts, p.id) },
		"sent too often":       func(l *Life, p *part) { p.tries = slices.Repeat(p.tries, 5) },
		"a host not told":      func(l *Life, p *part) { l.hosts["new"] = &Host{ID: "new", Service: p.service} },
		"ended in the book":    func(l *Life, p *part) { p.req.ended = true },
	} {
		w := newWorld(1, "")
		w.configure()
		w.birth("s1", "a")
		w.tell()
		w.l.Begin(&Request{Route: w.routes[1], Until: w.now + time.Second, Done: func(Final) {}})
		must.NoError(t, w.l.Check())
		must.MapLen(t, 1, w.l.parts)
		for _, p := range w.l.parts {
			must.Len(t, 1, p.tries)
			spoil(w.l, p)
		}
		must.Error(t, w.l.Check(), must.Sprint(name))
	}
}

// TestSameActions: the same events give the same actions, whatever the order of Go's maps.
func TestSameActions(t *testing.T) {
	for seed := range uint64(3) {
		a, b := play(seed, "", 2*time.Second), play(seed, "", 2*time.Second)
		must.Eq(t, a.log.Sum64(), b.log.Sum64(), must.Sprint("seed ", seed))
		must.NotEq(t, a.log.Sum64(), play(seed+100, "", 2*time.Second).log.Sum64())
	}
}

// TestForgets: what has been is not kept: parts, searchers, wakes and sets of services, over a day of versions.
func TestForgets(t *testing.T) {
	w := newWorld(5, "")
	w.configure()
	for day := range 30 {
		w.version += 30 // other services than ever before
		w.every(300*ms, w.now+time.Second, func() { w.configure(); w.churn() })
		w.every(20*ms, w.now+time.Second, w.begin)
		w.run(w.now + 10*time.Second)
		must.Eq(t, "", strings.Join(w.broken, "; "), must.Sprint("day ", day))
		must.Eq(t, 0, len(w.l.parts))
		_, busy := w.l.Next()
		must.False(t, busy, must.Sprint("wakes with nothing in hand"))
		clear(w.listed)
		w.tell()
		places := 0
		for _, g := range w.l.groups {
			places += len(g.hosts)
		}
		must.Eq(t, 0, places)
		must.Eq(t, 0, len(w.l.hosts))
	}
	must.LessEq(t, groupsMost, len(w.l.groups), must.Sprint("sets of services kept"))
}
