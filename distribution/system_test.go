package distribution_test

import (
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/distribution"
	"peathollow/registry"
)

// TestAnotherSystemIsRefused checks that an agent that belongs to a system applies nothing from a controller of another system, not
// even newer versions, and moves on to a controller of its own. This happens when a known address is reassigned to a machine of
// another system.
func TestAnotherSystemIsRefused(t *testing.T) {
	const ownSystem, otherSystem = 1, 2
	own, other := serve(t, newBoard("own", false), ""), serve(t, newBoard("other", false), "")
	own.SetSystem(ownSystem)
	own.SetDocument(config(t, 3))
	other.SetSystem(otherSystem)
	other.SetDocument(config(t, 9))
	other.heartbeat("i-other", 1, registry.Ready)
	agent := newBoard("agent", true)
	var refused atomic.Int32
	next := make(chan string, 1)
	next <- own.addr
	addr := own.addr
	choose := func(failures int) string {
		select {
		case addr = <-next:
		default:
		}
		if failures > 0 {
			return own.addr
		}
		return addr
	}
	pull(t, distribution.Puller{Replica: agent, Kind: "agent", Choose: choose, OnError: func(peer string, err error) {
		if peer == other.addr {
			refused.Add(1)
		}
	}, HasBetter: func(addr string) bool { return addr == own.addr && len(next) > 0 }})
	eventually(t, func() bool { return version(agent) == 3 })
	next <- other.addr
	own.SetDocument(config(t, 4)) // its response makes the puller look for a better address
	eventually(t, func() bool { return refused.Load() > 0 })
	own.SetDocument(config(t, 5))
	own.heartbeat("i-own", 1, registry.Ready)
	eventually(t, hasStates(agent, "i-own ready"))
	eventually(t, func() bool { return version(agent) == 5 })
	must.Eq(t, []string{"i-own ready"}, states(agent))
}

// TestIsolatedServerDoesNotSetSystem checks that a process that belongs to no system yet does not adopt the system of an isolated
// server, whose disk may come from another system.
func TestIsolatedServerDoesNotSetSystem(t *testing.T) {
	const ownSystem, otherSystem = 1, 2
	own, other := serve(t, newBoard("own", false), ""), serve(t, newBoard("other", false), "")
	own.SetSystem(ownSystem)
	own.SetDocument(config(t, 3))
	other.SetSystem(otherSystem)
	other.SetIsolated(true)
	agent := newBoard("agent", true)
	pull(t, distribution.Puller{Replica: agent, Kind: "agent", Choose: chooseFrom(other.addr, own.addr), LeaveIsolated: true})
	eventually(t, func() bool { return version(agent) == 3 })
}
