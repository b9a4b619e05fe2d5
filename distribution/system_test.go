package distribution_test

import (
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/distribution"
	"peathollow/registry"
)

// TestAnotherSystemIsRefused: an agent that has met its system takes nothing from a controller of another one at an address that
// it knows, however new, and goes on to one of its own.
func TestAnotherSystemIsRefused(t *testing.T) {
	const here, elsewhere = 1, 2
	own, other := serve(t, newBoard("own", false), ""), serve(t, newBoard("other", false), "")
	own.SetSystem(here)
	own.Put(config(t, 3))
	other.SetSystem(elsewhere)
	other.Put(config(t, 9))
	other.beat("i-other", 1, registry.Ready)
	agent := newBoard("agent", true)
	var refused atomic.Int32
	to := make(chan string, 1)
	to <- own.addr
	at := own.addr
	choose := func(tried int) string {
		select {
		case at = <-to:
		default:
		}
		if tried > 0 {
			return own.addr
		}
		return at
	}
	pull(t, distribution.Puller{Board: agent, Kind: "agent", Choose: choose, Fault: func(peer string, err error) {
		if peer == other.addr {
			refused.Add(1)
		}
	}, Better: func(addr string) bool { return addr == own.addr && len(to) > 0 }})
	eventually(t, func() bool { return version(agent) == 3 })
	to <- other.addr
	own.Put(config(t, 4)) // the next answer has it look for a better one
	eventually(t, func() bool { return refused.Load() > 0 })
	own.Put(config(t, 5))
	own.beat("i-own", 1, registry.Ready)
	eventually(t, isStates(agent, "i-own ready"))
	eventually(t, func() bool { return version(agent) == 5 })
	must.Eq(t, []string{"i-own ready"}, states(agent))
}

// TestSystemIsTakenFromAServerInTouch: a process that belongs to no system yet does not join that of a server out of touch.
func TestSystemIsTakenFromAServerInTouch(t *testing.T) {
	const here, elsewhere = 1, 2
	own, other := serve(t, newBoard("own", false), ""), serve(t, newBoard("other", false), "")
	own.SetSystem(here)
	own.Put(config(t, 3))
	other.SetSystem(elsewhere)
	other.SetAlone(true)
	agent := newBoard("agent", true)
	pull(t, distribution.Puller{Board: agent, Kind: "agent", Choose: from(other.addr, own.addr), MoveOn: true})
	eventually(t, func() bool { return version(agent) == 3 })
}
