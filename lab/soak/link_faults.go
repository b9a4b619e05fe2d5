package soak

import (
	"math/bits"
	"strings"
	"time"
)

const slowLinkDelay = 120 * time.Millisecond

// injectLinkFault injects a fault of the network. It returns false if the fault is of another kind.
func (r *run) injectLinkFault(f Fault) bool {
	machine, other := r.pickMachine(f.Target), r.pickMachine(f.SecondTarget)
	c := condition{hold: true}
	switch f.Kind {
	case Partition:
		c.applies = func(from, to string) bool { return from == machine && to == other || from == other && to == machine }
	case PartitionOneWay:
		c.applies = func(from, to string) bool { return from == machine && to == other }
	case Isolate:
		c.applies = func(from, to string) bool {
			return from != to && (from == machine || to == machine) && ofSystem(from) && ofSystem(to)
		}
	case IsolateOutside:
		machine = r.pickController(f.Target).Machine
		c.applies = func(from, to string) bool {
			return from == outside && to == machine || from == machine && to == outside
		}
	case SplitControllers:
		c.applies = r.splitControllers(f.Target)
	case SlowLinks:
		c.hold, c.delay = false, slowLinkDelay
		c.applies = func(from, to string) bool { return from != to && (from == machine || to == machine) }
	case DropResponses:
		c.hold, c.drop = false, true
		c.applies = func(_, to string) bool { return to == outside }
	case ResetConnections:
		r.network.reset(func(caller, callee string) bool { return caller == machine || callee == machine })
		return true
	default:
		return false
	}
	r.network.apply(c, func() { r.sleep(f.Duration) })
	return true
}

// ofSystem reports whether a name is a machine of the system, not a searcher, client or operator.
func ofSystem(name string) bool {
	return strings.HasPrefix(name, "core-") || strings.HasPrefix(name, "front-")
}

// splitControllers returns a predicate for links between two groups of controllers. The bits of choice select the groups;
// each has at least one controller.
func (r *run) splitControllers(choice int) func(from, to string) bool {
	controllers := r.activeProcesses("controller")
	side := map[string]bool{}
	for i, p := range controllers {
		side[p.Machine] = bits.OnesCount(uint(choice)>>i)%2 == 0
	}
	side[controllers[choice%len(controllers)].Machine] = true
	side[controllers[(choice+1)%len(controllers)].Machine] = false
	return func(from, to string) bool {
		fromSide, fromController := side[from]
		toSide, toController := side[to]
		return fromController && toController && fromSide != toSide
	}
}
