package distribution

import (
	"iter"
	"net/netip"
	"strings"
	"time"

	"peathollow/registry"
)

// Mixers are entries of the same registry as searchers; their source is the controller that the agent pulls from. Vectors,
// digests, silence and adoption therefore work for them as well, without a second protocol.

// reservedPrefix begins names that no searcher may have: HTTP can't carry such a service name, and the endpoints refuse them.
const reservedPrefix = "\x00"

// MixerService is the service under which mixers are listed.
const MixerService = reservedPrefix + "mixers"

// Reserved reports whether a service's name or a searcher's id is reserved for the system's own entries.
func Reserved(name string) bool { return strings.HasPrefix(name, reservedPrefix) }

// Mixer describes one incarnation of a mixer in the list.
type Mixer struct {
	Incarnation, Zone string
	Addr              netip.AddrPort // receives heartbeats
	Silent            bool
	Leaving           bool
	Source            string
	Calls             uint64
	Age               time.Duration // since it became silent
}

// Machine returns the machine's name in an incarnation's name, which has the form role/machine/nonce. The machine's name may hold
// slashes. It returns a name of any other form unchanged.
func (m *Mixer) Machine() string {
	first, last := strings.IndexByte(m.Incarnation, '/'), strings.LastIndexByte(m.Incarnation, '/')
	if first == last {
		return m.Incarnation
	}
	return m.Incarnation[first+1 : last]
}

// Searcher returns the registry entry of a mixer. A mixer that leaves is Draining and not Gone: it keeps serving during its
// grace period, and its use of the budgets counts until then.
func (m *Mixer) Searcher() registry.Searcher {
	s := registry.Searcher{ID: reservedPrefix + m.Incarnation, Plant: MixerService, Zone: m.Zone, Calls: m.Calls}
	if m.Addr.IsValid() {
		s.Address = m.Addr.String()
	}
	if m.Leaving {
		s.State = registry.Draining
	}
	return s
}

// MixerFromEntry returns the mixer that an entry of MixerService describes.
func MixerFromEntry(e *registry.Entry) Mixer {
	m := Mixer{Incarnation: strings.TrimPrefix(e.ID, reservedPrefix), Zone: e.Zone, Silent: e.Silent, Leaving: e.State != registry.Ready,
		Source: e.Source, Calls: e.Calls, Age: e.Age}
	m.Addr, _ = netip.ParseAddrPort(e.Address)
	return m
}

// GetMixer returns the mixer of an incarnation and whether it is listed.
func GetMixer(r *registry.Registry, incarnation string) (Mixer, bool) {
	e, ok := r.Get(reservedPrefix + incarnation)
	if !ok || e.Plant != MixerService || e.State == registry.Gone {
		return Mixer{}, false
	}
	return MixerFromEntry(&e), true
}

// Mixers yields the listed mixers in the order of their incarnations' names.
func Mixers(r *registry.Registry) iter.Seq[Mixer] {
	return func(yield func(Mixer) bool) {
		for e := range r.Service(MixerService) {
			if !yield(MixerFromEntry(&e)) {
				return
			}
		}
	}
}

// CountMixers returns the number of mixers that share the budgets, or 0 while the list is incomplete. A silent mixer counts
// until its silence has lasted for chargeLifetime, since what it spent before still counts. Two incarnations of one machine
// count as one mixer, because retrybudget reserves for two incarnations of each mixer.
func CountMixers(r *registry.Registry, chargeLifetime time.Duration) int {
	if !r.Complete() {
		return 0
	}
	incarnations := map[string]int{} // by machine
	for m := range Mixers(r) {
		if !m.Silent || m.Age < chargeLifetime {
			incarnations[m.Machine()]++
		}
	}
	n := 0
	for _, count := range incarnations {
		n += (count + 1) / 2
	}
	return n
}
