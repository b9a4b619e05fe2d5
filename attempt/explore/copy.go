package explore

import (
	"maps"
	"slices"

	"peathollow/attempt"
	"peathollow/policy"
)

// copy returns a deep copy of the run, which continues with another chooser. It returns nil with the policy engine, whose
// runs are replayed instead.
func (sim *Simulation) copy(chooser func(n int, label func(int) string) int) *Simulation {
	if sim.free == nil || sim.policyDepth > 0 {
		return nil
	}
	next := new(Simulation)
	*next = *sim
	next.chooser = chooser
	next.searchers, next.outcomes = slices.Clone(sim.searchers), slices.Clone(sim.outcomes)
	next.requested, next.returned = maps.Clone(sim.requested), maps.Clone(sim.returned)
	next.scans = make([]*scan, len(sim.scans))
	for i, s := range sim.scans {
		copied := *s
		copied.received = slices.Clone(s.received)
		next.scans[i] = &copied
	}
	next.conns = make([]*conn, len(sim.conns))
	for i, c := range sim.conns {
		copied := *c
		copied.sim, copied.connection, copied.frames = next, nil, nil
		next.conns[i] = &copied
	}
	next.dispatches = make([]*dispatch, len(sim.dispatches))
	storage := make([]dispatch, len(sim.dispatches))
	for i, x := range sim.dispatches {
		storage[i] = *x
		copied := &storage[i]
		copied.conn, copied.scan = next.conns[x.conn.index], next.scans[x.scan.index]
		next.dispatches[i] = copied
	}
	for i, c := range sim.conns {
		for _, f := range c.frames {
			copied := *f
			copied.cancels = sim.copiedDispatch(next, f.cancels)
			copied.calls = make([]*dispatch, len(f.calls))
			for k, x := range f.calls {
				copied.calls[k] = sim.copiedDispatch(next, x)
			}
			next.conns[i].frames = append(next.conns[i].frames, &copied)
		}
	}
	next.coordinator = sim.coordinator.Copy(attempt.CopyBindings{Transport: next, NewPolicy: next.newPolicy,
		Conn: func(original attempt.TransportConn, connection *attempt.Connection) attempt.TransportConn {
			c := next.conns[original.(*conn).index]
			c.connection = connection
			return c
		},
		Reply: func(original, copied *attempt.Scan) func(attempt.Answer) {
			s := next.scans[slices.IndexFunc(sim.scans, func(s *scan) bool { return s.request == original })]
			s.request = copied
			return func(a attempt.Answer) { next.reply(s, a) }
		}},
		func(actions policy.Actions) attempt.Policy {
			next.free = sim.free.copy(next, actions)
			return checkedPolicy{next, next.free}
		})
	return next
}

// copiedDispatch returns the dispatch in the copy next that corresponds to x.
func (sim *Simulation) copiedDispatch(next *Simulation, x *dispatch) *dispatch {
	if x == nil {
		return nil
	}
	return next.dispatches[slices.Index(sim.dispatches, x)]
}

func (f *freePolicy) copy(sim *Simulation, actions policy.Actions) *freePolicy {
	next := &freePolicy{sim: sim, actions: actions, now: f.now, parts: make(map[uint64]*policyPart, len(f.parts)),
		searchers: slices.Clone(f.searchers)}
	scans := map[*policyScan]*policyScan{}
	scan := func(s *policyScan) *policyScan {
		if scans[s] == nil {
			copied := *s
			copied.parts = nil
			scans[s] = &copied
		}
		return scans[s]
	}
	for id, p := range f.parts {
		copied := *p
		copied.scan, copied.attempts = scan(p.scan), slices.Clone(p.attempts)
		next.parts[id] = &copied
	}
	for _, s := range f.scans {
		copied := scan(s)
		for _, p := range s.parts {
			copied.parts = append(copied.parts, next.parts[p.id])
		}
		next.scans = append(next.scans, copied)
	}
	return next
}
