package soak

import (
	"math/bits"
	"strings"
	"time"
)

const slowness = 120 * time.Millisecond

// doToLinks does what goes wrong between processes; false if the trouble is of another kind.
func (r *run) doToLinks(t Trouble) bool {
	one, two := r.machine(t.One), r.machine(t.Two)
	c := condition{hold: true}
	switch t.Kind {
	case Cut:
		c.applies = func(from, to string) bool { return from == one && to == two || from == two && to == one }
	case CutOneWay:
		c.applies = func(from, to string) bool { return from == one && to == two }
	case Isolate:
		c.applies = func(from, to string) bool {
			return from != to && (from == one || to == one) && ofSystem(from) && ofSystem(to)
		}
	case IsolateOutside:
		one = r.controller(t.One).Machine
		c.applies = func(from, to string) bool { return from == outside && to == one || from == one && to == outside }
	case SplitCore:
		c.applies = r.halves(t.One)
	case Slow:
		c.hold, c.delay = false, slowness
		c.applies = func(from, to string) bool { return from != to && (from == one || to == one) }
	case LoseAnswers:
		c.hold, c.lose = false, true
		c.applies = func(_, to string) bool { return to == outside }
	case Reset:
		r.network.reset(func(caller, callee string) bool { return caller == one || callee == one })
		return true
	default:
		return false
	}
	r.network.impose(c, func() { r.pause(t.For) })
	return true
}

// ofSystem tells machines of the system from searchers, clients and operators.
func ofSystem(name string) bool {
	return strings.HasPrefix(name, "core-") || strings.HasPrefix(name, "front-")
}

// halves draws a line through the core: so many controllers, chosen by the bits of a number, on one side of it, and at least one.
func (r *run) halves(choice int) func(from, to string) bool {
	all := r.present("controller")
	side := map[string]bool{}
	for i, p := range all {
		side[p.Machine] = bits.OnesCount(uint(choice)>>i)%2 == 0
	}
	side[all[choice%len(all)].Machine] = true
	side[all[(choice+1)%len(all)].Machine] = false
	return func(from, to string) bool {
		one, core := side[from]
		other, both := side[to]
		return core && both && one != other
	}
}
