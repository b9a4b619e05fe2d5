package distribution

import (
	"iter"
	"net/netip"
	"strings"
	"time"

	"peathollow/registry"
)

// Mixers are news as searchers are: entries of the same registry, first-hand from the controller that an agent pulls from. So
// the same vectors, digests, silence and adoption carry them, and there is no second protocol.

// reserved begins names that no searcher may bear: HTTP carries no such service, and the doors refuse them.
const reserved = "\x00"

// MixerService is the service under which mixers are listed.
const MixerService = reserved + "mixers"

// Reserved tells whether a service's name or a searcher's id is kept for the system's own entries.
func Reserved(name string) bool { return strings.HasPrefix(name, reserved) }

// Mixer is one life of a mixer, as listed.
type Mixer struct {
	Life, Zone string
	Addr       netip.AddrPort // where it takes heartbeats
	Silent     bool
	Leaving    bool
	Source     string
	Calls      uint64
	Age        time.Duration // of its silence
}

// Machine names the machine of a life: they are called role/machine/nonce. A life that isn't stands for itself.
func (m *Mixer) Machine() string {
	if p := strings.Split(m.Life, "/"); len(p) == 3 {
		return p[1]
	}
	return m.Life
}

// Searcher is the form in which a mixer is an entry. One that leaves is Draining, not Gone: it serves on for its grace,
// and what it spends until then counts.
func (m *Mixer) Searcher() registry.Searcher {
	s := registry.Searcher{ID: reserved + m.Life, Plant: MixerService, Zone: m.Zone, Calls: m.Calls}
	if m.Addr.IsValid() {
		s.Address = m.Addr.String()
	}
	if m.Leaving {
		s.State = registry.Draining
	}
	return s
}

// MixerOf reads an entry of MixerService.
func MixerOf(e *registry.Entry) Mixer {
	m := Mixer{Life: strings.TrimPrefix(e.ID, reserved), Zone: e.Zone, Silent: e.Silent, Leaving: e.State != registry.Ready,
		Source: e.Source, Calls: e.Calls, Age: e.Age}
	m.Addr, _ = netip.ParseAddrPort(e.Address)
	return m
}

// GetMixer looks a life up; false if it isn't listed.
func GetMixer(r *registry.Registry, life string) (Mixer, bool) {
	e, ok := r.Get(reserved + life)
	if !ok || e.Plant != MixerService || e.State == registry.Gone {
		return Mixer{}, false
	}
	return MixerOf(&e), true
}

// Mixers yields those that are listed, by life.
func Mixers(r *registry.Registry) iter.Seq[Mixer] {
	return func(yield func(Mixer) bool) {
		for e := range r.Service(MixerService) {
			if !yield(MixerOf(&e)) {
				return
			}
		}
	}
}

// CountMixers tells for how many mixers the budgets must do, 0 while that isn't known. What was spent by one that has
// fallen silent counts for some time since. A machine counts once for every two of its lives: retrybudget
// reckons with two for each mixer.
func CountMixers(r *registry.Registry, countsFor time.Duration) int {
	if !r.Complete() {
		return 0
	}
	lives := map[string]int{}
	for m := range Mixers(r) {
		if !m.Silent || m.Age < countsFor {
			lives[m.Machine()]++
		}
	}
	n := 0
	for _, l := range lives {
		n += (l + 1) / 2
	}
	return n
}
