package simulation

import (
	"slices"
	"time"

	"peathollow/consensus"
)

// nextLoss removes one machine as soon as the previous one counts as recovered: a random one, the newest, the one whose disk
// has lasted longest, or the primary. The loss is permanent, or takes only the disk, or is a planned restart. The state that
// must have been restored is checked before each loss.
func (w *World) nextLoss(lead *host, others []*host) time.Duration {
	if !w.withinTolerance(lead) {
		return 5 * ms
	}
	w.checkRepaired()
	all := append([]*host{lead}, others...)
	victim := lead
	switch w.rng.IntN(4) {
	case 0:
		victim = w.hosts[len(w.hosts)-1]
	case 1:
		for _, h := range all {
			if h.diskLostAt < victim.diskLostAt || h.diskLostAt == victim.diskLostAt && h.addr < victim.addr {
				victim = h
			}
		}
	case 2:
		victim = all[w.rng.IntN(len(all))]
	}
	if !w.withinTolerance(victim) {
		return 5 * ms
	}
	w.lossesInjected++
	switch w.rng.IntN(4) {
	case 0, 1:
		w.replace(victim)
	case 2:
		w.wipe(victim, w.randomDuration(ms, 1500*ms))
	default:
		w.leave(victim, w.randomDuration(50*ms, 1000*ms))
	}
	return 5 * ms
}

// checkRepaired checks, when the previous losses count as over, that the newest epoch survives any further tolerated loss:
// the remaining members form a majority, and one of them holds a copy of everything committed.
func (w *World) checkRepaired() {
	if w.options.ExceedTolerance || w.options.Unsatisfiable || w.options.Losses == 0 || w.lossesInjected == 0 {
		return
	}
	further := w.options.Losses
	for _, h := range w.hosts {
		if w.now < h.lostUntil {
			further-- // it already counts as lost
		}
	}
	if further <= 0 {
		return
	}
	var newest consensus.Epoch
	running := map[consensus.ID]*host{}
	for _, h := range w.remainingHosts() {
		if h.node == nil {
			continue
		}
		running[h.node.ID()] = h
		if e := h.node.Epoch(); e.N > newest.N {
			newest = e
		}
	}
	for _, members := range [][]consensus.Member{newest.Members, newest.Prev} {
		left := slices.DeleteFunc(slices.Clone(members), func(m consensus.Member) bool { return running[m.ID] == nil })
		if len(left)-further <= len(members)/2 {
			w.fail("epoch %d: %d of %d members are available, a further loss of %d leaves no majority",
				newest.N, len(left), len(members), further)
		}
	}
	copies := 0
	for _, id := range newest.InSync {
		if h := running[id]; h != nil && h.disk != nil && h.disk.Copy.State.Doc.Version >= w.observed.committed {
			copies++
		}
	}
	if copies <= further {
		w.fail("epoch %d: %d available copies of version %d, %d may be lost", newest.N, copies, w.observed.committed, further)
	}
}
