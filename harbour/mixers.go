package harbour

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"peathollow/chandler"
	"peathollow/ferry"
	"peathollow/lookout"
	"peathollow/roster"
)

// A harbour is a first-hand source of which mixers there are, as it is of searchers: a tender's pull is a beat. Those
// that don't pull but are heard by the mixers that watch them get a beat by this harbour (lookout).

// front is a tender as heard here.
type front struct {
	node    string
	at      time.Time
	version uint64
	calls   uint64 // the roster keeps that of a plain repeat to itself
}

// pulled takes in a tender's ask.
func (h *Harbour) pulled(a *ferry.Ask) {
	if a.Mixer == nil || a.Life == "" || len(a.Life) > 256 {
		return
	}
	now := time.Now()
	m := ferry.Mixer{Life: a.Life, Zone: a.Mixer.Zone, Leaving: a.Mixer.Leaving, Calls: a.Mixer.Calls}
	m.Addr, _ = netip.ParseAddrPort(a.Mixer.Addr)
	h.mu.Lock()
	h.judge.Pulled(now, a.Life, a.Mixer.Missed, a.Mixer.Seen)
	f := h.fronts[a.Life]
	if f == nil {
		f = &front{node: a.Node}
		h.fronts[a.Life] = f
	}
	f.at, f.version, f.calls = now, a.Version, max(f.calls, m.Calls)
	h.mu.Unlock()
	var b roster.Beaten
	h.board.With(func(r *roster.Roster) bool {
		b = r.Beat(now, m.Searcher())
		return b.News
	})
	if b.News {
		h.log.Debug().Str("event", "mixer").Str("life", a.Life).Bool("leaving", m.Leaving).Msg("")
	}
}

// say tells another harbour of the mixers that pull here.
func (h *Harbour) say(a *ferry.Ask, _ bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w := h.judge.Word(time.Now()); len(w.Missed)+len(w.Seen)+len(w.Unheard) > 0 {
		a.Word = &w
	}
}

// mind gives a beat to mixers that fall to this harbour and are to be taken for alive; the roster's lock is held. It
// tells whether that made news.
func (h *Harbour) mind(r *roster.Roster, alone bool) (news bool) {
	now := time.Now()
	live := h.lives()
	h.mu.Lock()
	defer h.mu.Unlock()
	if gen := r.Generation(); gen != h.nodesAt {
		h.nodesAt = gen
		h.know(r, h.listed(r))
	}
	var minded []lookout.Minded
	for i := range h.nodes {
		// Whose it is may change without the list's doing so.
		if m, ok := ferry.GetMixer(r, h.nodes[i].Life); !ok {
			continue
		} else if m.Source == h.life || !alone && !live[m.Source] {
			minded = append(minded, lookout.Minded{Life: m.Life, Silent: m.Silent, Leaving: m.Leaving})
		}
	}
	for _, life := range h.judge.Tick(now, minded) {
		m, ok := ferry.GetMixer(r, life)
		if !ok {
			continue
		}
		f := h.fronts[life]
		if f != nil {
			m.Calls = max(m.Calls, f.calls)
		}
		m.Calls++ // well below the number of the mixer's own next ask
		if f != nil {
			f.calls = m.Calls
		}
		b := r.Beat(now, m.Searcher())
		news = news || b.News
		if m.Silent && b.News {
			h.log.Info().Str("event", "mixer-lives").Str("life", life).Msg("")
		}
	}
	for life, f := range h.fronts {
		if time.Since(f.at) > forgetAfter {
			if m, ok := ferry.GetMixer(r, life); !ok || m.Silent {
				delete(h.fronts, life)
			}
		}
	}
	return news
}

// know hands the judge a list that has changed, and notes who has fallen silent.
func (h *Harbour) know(r *roster.Roster, nodes []lookout.Node) {
	was := map[string]bool{}
	for i := range h.nodes {
		was[h.nodes[i].Life] = h.nodes[i].Silent
	}
	for i := range nodes {
		n := &nodes[i]
		if !n.Silent || n.Leaving || was[n.Life] {
			continue
		}
		if m, _ := ferry.GetMixer(r, n.Life); m.Source == h.life { // the others say what they were told
			h.log.Info().Str("event", "mixer-silent").Str("life", n.Life).Msg("")
		}
	}
	h.nodes = nodes
	h.judge.Know(nodes)
}

// listed is the list of mixers as lookout takes it.
func (h *Harbour) listed(r *roster.Roster) []lookout.Node {
	var nodes []lookout.Node
	for m := range ferry.Mixers(r) {
		nodes = append(nodes, lookout.Node{Life: m.Life, Addr: m.Addr, Zone: m.Zone, Region: h.set.Zones[m.Zone],
			Silent: m.Silent, Leaving: m.Leaving})
	}
	return nodes
}

// mixers tells how many mixers budgets reckon with, and which machines' are silent.
func (h *Harbour) mixers() (n int, silent []string) {
	heard := map[string]bool{}
	h.board.With(func(r *roster.Roster) bool {
		n = ferry.CountMixers(r, h.set.RetryWindow)
		for m := range ferry.Mixers(r) {
			if !m.Silent {
				heard[m.Machine()] = true
			} else if !m.Leaving {
				silent = append(silent, m.Machine())
			}
		}
		return false
	})
	slices.Sort(silent)
	return n, slices.DeleteFunc(slices.Compact(silent), func(machine string) bool { return heard[machine] })
}

// nodes tells of this machine, of the fronts whose tender pulls here, and of those that are silent.
func (h *Harbour) tellNodes(context.Context, *http.Request, []byte) reply {
	list := []chandler.Node{{Node: h.set.Node, Role: chandler.Harbour, Version: h.version()}}
	h.mu.Lock()
	latest := map[string]*front{}
	for _, f := range h.fronts {
		if was := latest[f.node]; time.Since(f.at) <= forgetAfter && (was == nil || f.at.After(was.at)) {
			latest[f.node] = f
		}
	}
	for _, f := range latest {
		list = append(list, chandler.Node{Node: f.node, Role: chandler.Front, Version: f.version,
			HeardMs: time.Since(f.at).Milliseconds(), Via: h.set.Node})
	}
	h.mu.Unlock()
	_, silent := h.mixers()
	for _, machine := range silent {
		if latest[machine] == nil {
			list = append(list, chandler.Node{Node: machine, Role: chandler.Front, HeardMs: silentFor.Milliseconds(), Via: h.set.Node,
				Fault: "silent"})
		}
	}
	slices.SortFunc(list[1:], func(a, b chandler.Node) int { return cmp.Compare(a.Node, b.Node) })
	return tell(list)
}

// silentFor stands for how long a silent machine wasn't heard: longer than any that is, so that a harbour that hears it
// is believed.
const silentFor = 2 * forgetAfter
