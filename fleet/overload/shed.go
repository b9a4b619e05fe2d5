package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bin is a kind of demand that is shed alike wherever in the fleet it arrives: a class, within its tenants' shares or
// beyond them.
type Bin struct {
	Worth  float64 // of a part, in benefit
	Within bool    // of its tenant's share
}

// Divide says which share of each bin is to be let in where only so much work can be done, the same for whoever knows the
// same. What lies within the tenants' shares comes before all that lies beyond, the worthiest work first; one bin is
// let in in part. A tenant within its share is so never shed while another is served beyond its own.
func Divide(bins []Bin, asked []float64, room float64) []float64 {
	order := make([]int, len(bins))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := bins[a], bins[b]
		if x.Within != y.Within {
			return map[bool]int{true: -1, false: 1}[x.Within]
		}
		return cmp.Compare(y.Worth, x.Worth)
	})
	let := make([]float64, len(bins))
	for _, i := range order {
		want := at(asked, i)
		switch {
		case want <= room:
			let[i] = 1
		case room > 0:
			let[i] = room / want
		}
		room = max(0, room-want)
	}
	return let
}

// Kinds are the classes and tenants of a fleet, by which reports count their bins: by class, and in each by tenant, first
// those of none.
type Kinds struct {
	Benefit []float64 // of a scan, by class
	Quota   []float64 // scans a second that a tenant may ask for within its share, all mixers together
}

// Len is how many bins there are.
func (k Kinds) Len() int { return len(k.Benefit) * (len(k.Quota) + 1) }

// Bin is the index of a class and tenant; a tenant below 0 is none.
func (k Kinds) Bin(class, tenant int) int { return class*(len(k.Quota)+1) + tenant + 1 }

// Let divides room among all that is asked for, and gives the share of each bin to let in. What a tenant asks beyond its
// share is told apart over the whole fleet: whom a client met does not matter.
func (k Kinds) Let(sum Report, room float64) []float64 {
	worth, order := make([]float64, len(k.Benefit)), make([]int, len(k.Benefit))
	for c := range order {
		scans, parts := 0.0, 0.0
		for t := -1; t < len(k.Quota); t++ {
			scans, parts = scans+at(sum.Scans, k.Bin(c, t)), parts+at(sum.Bins, k.Bin(c, t))
		}
		if order[c] = c; parts > 0 {
			worth[c] = k.Benefit[c] * scans / parts
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worth[b], worth[a]) })
	bins, asked := make([]Bin, 2*k.Len()), make([]float64, 2*k.Len())
	for t := -1; t < len(k.Quota); t++ {
		left := 0.0 // of the tenant's share, which its own worthiest work fills first; none without a tenant
		if t >= 0 {
			left = k.Quota[t]
		}
		for _, c := range order {
			i := k.Bin(c, t)
			scans, x := at(sum.Scans, i), at(sum.Bins, i)
			in := x
			if scans > left {
				in = x * left / scans
			}
			left = max(0, left-scans)
			bins[2*i], bins[2*i+1] = Bin{worth[c], true}, Bin{worth[c], false}
			asked[2*i], asked[2*i+1] = in, x-in
		}
	}
	parts := Divide(bins, asked, room)
	let := make([]float64, k.Len())
	for i := range let {
		if let[i] = 1; asked[2*i]+asked[2*i+1] > 0 {
			let[i] = (parts[2*i]*asked[2*i] + parts[2*i+1]*asked[2*i+1]) / (asked[2*i] + asked[2*i+1])
		}
	}
	return let
}

// Room follows how much work the fleet can do in an overload or a storm: what it lets in shrinks towards what searchers
// were seen to do of it, and opens step by step while they do all of it. Elsewhere there is no bound: in an outage the
// mixers' own refusals cost nothing, and to hold back what comes after one would only make it longer.
type Room struct {
	room float64 // infinite where there is no bound
	now  time.Duration
}

const (
	cutBack  = 0.5  // a second, of what is let in over what is done
	openUp   = 0.1  // a second
	openWide = 0.5  // a second, while scans are quick
	pressed  = 0.6  // of the time that a scan may take
	atEase   = 0.4  // of it: so quick that nothing is short of room
	allDone  = 0.95 // of what is let in: so much done counts as all
	trickle  = 0.05 // of what is asked for, let in whatever is done
	ampleFor = 1.3  // so many times what is asked for is no bound any more
)

// NewRoom begins without a bound.
func NewRoom(now time.Duration) *Room { return &Room{room: math.Inf(1), now: now} }

// See takes the fleet's sum and mood, and gives the work that may be let in a second.
func (r *Room) See(now time.Duration, mood Mood, sum Report) float64 {
	dt := min(1, max(0, (now-r.now).Seconds()))
	r.now = now
	asked := 0.0
	for _, x := range sum.Bins {
		asked += x
	}
	in := min(r.room, asked)
	switch {
	case mood == Calm || mood == Outage:
		r.room = math.Inf(1)
	case mood != Recovery && sum.Carried < allDone*in && sum.Pressure > pressed:
		r.room = max(trickle*asked, in-cutBack*dt*(in-sum.Carried))
	default:
		// By chance alone less is done than let in, now and then. Where scans are quick all the same nothing is short of
		// room: what was shed would only come again, and keep a storm alive that is of our own making.
		open := openUp
		if sum.Pressure < atEase {
			open = openWide
		}
		if r.room *= 1 + open*dt; r.room > ampleFor*asked {
			r.room = math.Inf(1)
		}
	}
	return r.room
}

// Returns spreads those that are turned away over the time to come: told one after the other, they come back at no more
// than this instance's part of the room foreseen. Instances need nothing of each other but a phase drawn from a seed.
type Returns struct {
	next  time.Duration
	phase float64
}

// NewReturns takes a phase of 0 to 1.
func NewReturns(phase float64) *Returns { return &Returns{phase: phase} }

// In is when the next client is to come again: no sooner than least, no later than most, at so many a second of this
// instance's. False where all times up to most are given away: then there is no time to come back that would keep the
// promise, and the client is best told the latest.
func (r *Returns) In(now, least, most time.Duration, rate float64) (in time.Duration, ok bool) {
	gap := most
	if rate > 0 {
		gap = min(most, time.Duration(float64(time.Second)/rate))
	}
	if r.next < now+least {
		r.next = now + least + time.Duration(r.phase*float64(gap))
	}
	if r.next > now+most {
		return most, false
	}
	in = r.next - now
	r.next += gap
	return in, true
}
