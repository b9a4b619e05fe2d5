package duty

import (
	"slices"
	"time"
)

// Targets sets all targets of a kind.
func (c *Core) Targets(kind int, ts []Target) {
	if kind < 0 || kind >= len(c.byID) || len(ts) > targetsMost {
		return
	}
	byID := c.byID[kind]
	seen := make(map[uint64]bool, len(ts))
	for _, t := range ts {
		id := ID(kind, t.Name)
		if seen[id] {
			continue
		}
		seen[id] = true
		i, ok := byID[id]
		if !ok {
			i = c.add(kind, id, t.Name)
		}
		it := &c.items[i]
		if born := c.now - t.Age; !t.Since {
			it.born = -1 << 62
		} else if d := it.born - born; !ok || d < -startSlack || d > startSlack {
			it.born = born // else the same start, told by a clock that runs a little differently
		}
		if !ok {
			c.begin(it)
		}
		c.plan(i)
	}
	for id, i := range byID {
		if !seen[id] {
			c.remove(i)
		}
	}
}

const startSlack = 50 * time.Millisecond

func (c *Core) add(kind int, id uint64, name string) int32 {
	var i int32
	if n := len(c.free); n > 0 {
		i, c.free = c.free[n-1], c.free[:n-1]
	} else {
		c.items = append(c.items, item{})
		i = int32(len(c.items) - 1)
	}
	sh := int32(id % uint64(len(c.shares)))
	s := &c.shares[sh]
	c.items[i] = item{kind: kind, id: id, name: name, share: sh, at: int32(len(s.items)), any: c.now, reached: c.now, own: c.now}
	s.items = append(s.items, i)
	c.byID[kind][id] = i
	return i
}

func (c *Core) remove(i int32) {
	it := &c.items[i]
	delete(c.byID[it.kind], it.id)
	s := &c.shares[it.share]
	last := s.items[len(s.items)-1]
	s.items[it.at] = last
	c.items[last].at = it.at
	s.items = s.items[:len(s.items)-1]
	c.wheel.Drop(i)
	c.say = slices.DeleteFunc(c.say, func(j int32) bool { return j == i })
	c.waiting = slices.DeleteFunc(c.waiting, func(j int32) bool { return j == i })
	*it = item{kind: -1}
	c.free = append(c.free, i)
}

// every is a target's interval now.
func (c *Core) every(it *item) time.Duration {
	k := &c.set.Kinds[it.kind]
	if c.now-it.born < k.Young {
		return time.Duration(k.Gentle * float64(k.Interval))
	}
	return k.Interval
}

// spread puts targets of one share apart in time: a share of an interval that follows from the target alone.
func (it *item) spread(d time.Duration) time.Duration {
	return time.Duration(float64(it.id>>11) / (1 << 53) * float64(d))
}

func (c *Core) holds(s *share) bool { return s.until > c.now }

// begin sets when a target of a share is first due after the lease began. Whoever held the share before may have
// begun a duty up to that moment: unless all it knew was handed over, a whole interval passes first.
func (c *Core) begin(it *item) {
	s := &c.shares[it.share]
	d := c.every(it)
	if it.next = s.since + d + it.spread(d/2); it.sure {
		it.next = it.any + d
	}
	it.next = max(it.next, it.any+d)
	it.sure, it.known = false, it.sure
}

// due is when a target is next to be looked after by this instance, as far as is known now. Turns are taken under a
// lease as well: one that is won and lost again and again would else keep a target waiting for ever.
func (c *Core) due(it *item) time.Duration {
	if s := &c.shares[it.share]; c.holds(s) {
		return min(max(it.next, it.any+c.every(it)), c.turn(it))
	}
	return c.turn(it)
}

// GapBound is by when each target that some instance can reach is reached again, whatever happens to the others and
// to all that is said between them, if that instance itself runs throughout. QuorumBound is the same while a
// majority runs and hears each other, and one instance at a time fails.
func (s *Settings) GapBound(kind int) time.Duration {
	d, n := s.Kinds[kind].Interval, time.Duration(s.Instances)
	return max(turnPart*n*d, time.Duration(patience*float64(d))+patienceL*s.promise()+(n-1)*d)
}

// QuorumBound adds up, from the last duty before its instance fails: an interval till the next was due; the promise
// that still stands; a lease till the second in line claims, should the first be gone too; two rounds of claims; one
// and a half intervals, since what the one before did last is not known.
func (s *Settings) QuorumBound(kind int) time.Duration {
	d := s.Kinds[kind].Interval
	return d + s.promise() + s.Lease + 2*s.Lease/renewPart + d + d/2
}

// RateWindow is the shortest time over which no history has a target looked after twice as often as intended: the
// holder of the lease once an interval, all others together half as often, and one more each at the window's edges.
func (s *Settings) RateWindow(kind int) time.Duration {
	return 2 * time.Duration(s.Instances+1) * s.Kinds[kind].Interval
}

// turn is when this instance may look after a target whose share it does not hold. However wrong all views are, the
// turns of one instance at one target lie turnPart x Instances intervals apart, its start counting as one.
func (c *Core) turn(it *item) time.Duration {
	d := c.every(it)
	rank := min(c.shares[it.share].rank, c.set.Instances-1)
	heard := time.Duration(patience*float64(d)) + patienceL*c.set.promise() + time.Duration(rank)*d
	return max(it.own+turnPart*time.Duration(c.set.Instances)*d, it.reached+heard)
}
