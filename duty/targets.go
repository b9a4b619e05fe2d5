package duty

import (
	"slices"
	"time"
)

// SetTargets replaces the list of targets of a kind.
func (s *Scheduler) SetTargets(kind int, targets []Target) {
	if kind < 0 || kind >= len(s.byID) || len(targets) > maxTargets {
		return
	}
	byID := s.byID[kind]
	seen := make(map[uint64]bool, len(targets))
	for _, target := range targets {
		id := ID(kind, target.Name)
		if seen[id] {
			continue
		}
		seen[id] = true
		i, ok := byID[id]
		if !ok {
			i = s.addTarget(kind, id, target.Name)
		}
		t := &s.targets[i]
		if startedAt := s.now - target.Age; !target.AgeKnown {
			t.startedAt = -1 << 62
		} else if shift := t.startedAt - startedAt; !ok || shift < -startTimeTolerance || shift > startTimeTolerance {
			t.startedAt = startedAt // a smaller shift is the same start time, seen by a clock with a slightly different rate
		}
		if !ok {
			s.scheduleFirstRun(t)
		}
		s.schedule(i)
	}
	for id, i := range byID {
		if !seen[id] {
			s.removeTarget(i)
		}
	}
}

// startTimeTolerance is the largest difference at which two start times of a target count as the same.
const startTimeTolerance = 50 * time.Millisecond

func (s *Scheduler) addTarget(kind int, id uint64, name string) int32 {
	var slot int32
	if n := len(s.freeSlots); n > 0 {
		slot, s.freeSlots = s.freeSlots[n-1], s.freeSlots[:n-1]
	} else {
		s.targets = append(s.targets, targetState{})
		slot = int32(len(s.targets) - 1)
	}
	index := int32(id % uint64(len(s.shares)))
	share := &s.shares[index]
	s.targets[slot] = targetState{kind: kind, id: id, name: name, share: index, shareIndex: int32(len(share.targets)),
		lastRun: s.now, lastReached: s.now, lastOwnRun: s.now}
	share.targets = append(share.targets, slot)
	s.byID[kind][id] = slot
	return slot
}

func (s *Scheduler) removeTarget(i int32) {
	t := &s.targets[i]
	delete(s.byID[t.kind], t.id)
	share := &s.shares[t.share]
	moved := share.targets[len(share.targets)-1]
	share.targets[t.shareIndex] = moved
	s.targets[moved].shareIndex = t.shareIndex
	share.targets = share.targets[:len(share.targets)-1]
	s.timers.Remove(i)
	s.unsent = slices.DeleteFunc(s.unsent, func(j int32) bool { return j == i })
	s.waiting = slices.DeleteFunc(s.waiting, func(j int32) bool { return j == i })
	*t = targetState{kind: -1}
	s.freeSlots = append(s.freeSlots, i)
}

// interval returns the current interval of a target, which is longer while the target is starting up.
func (s *Scheduler) interval(t *targetState) time.Duration {
	k := &s.settings.Kinds[t.kind]
	if s.now-t.startedAt < k.StartupPeriod {
		return time.Duration(k.StartupFactor * float64(k.Interval))
	}
	return k.Interval
}

// phaseOffset returns a fraction of the interval that depends only on the target's ID. It spreads the runs of the
// targets of one share over time.
func (t *targetState) phaseOffset(interval time.Duration) time.Duration {
	return time.Duration(float64(t.id>>11) / (1 << 53) * float64(interval))
}

func (s *Scheduler) holdsLease(share *shareState) bool { return share.leasedUntil > s.now }

// scheduleFirstRun sets the first run of a target under a new lease. The previous holder may have started a run up to
// the moment the lease began, so a whole interval passes first, unless that holder handed over all it knew.
func (s *Scheduler) scheduleFirstRun(t *targetState) {
	share := &s.shares[t.share]
	interval := s.interval(t)
	if t.nextInLease = share.leasedSince + interval + t.phaseOffset(interval/2); t.handedOver {
		t.nextInLease = t.lastRun + interval
	}
	t.nextInLease = max(t.nextInLease, t.lastRun+interval)
	t.handedOver, t.lastRunCertain = false, t.handedOver
}

// nextRun returns the next run of a target by this instance, as far as is known now. Out-of-lease runs are considered
// under a lease as well, because a lease that is acquired and lost repeatedly could otherwise delay a target forever.
func (s *Scheduler) nextRun(t *targetState) time.Duration {
	if share := &s.shares[t.share]; s.holdsLease(share) {
		return min(max(t.nextInLease, t.lastRun+s.interval(t)), s.nextOutOfLeaseRun(t))
	}
	return s.nextOutOfLeaseRun(t)
}

// GapBound returns the longest time between two runs that reach a target, provided that some instance can reach it
// and itself runs throughout. It holds whatever happens to the other instances and to the messages between them.
func (s *Settings) GapBound(kind int) time.Duration {
	interval, instances := s.Kinds[kind].Interval, time.Duration(s.Instances)
	return max(outOfLeaseDivisor*instances*interval,
		time.Duration(silenceIntervals*float64(interval))+silenceLeases*s.promiseDuration()+(instances-1)*interval)
}

// QuorumBound returns the longest time between two runs that reach a target while a majority runs and exchanges
// messages and instances fail one at a time. Counted from the last run before its instance fails, it is the sum of: an
// interval until the next run was due; the promise that still stands; a lease until the second in rank claims, in case
// the first has failed too; two rounds of claims; one and a half intervals, because the last run of the previous
// holder is unknown.
func (s *Settings) QuorumBound(kind int) time.Duration {
	interval := s.Kinds[kind].Interval
	return interval + s.promiseDuration() + s.Lease + 2*s.Lease/claimsPerLease + interval + interval/2
}

// RateWindow returns the shortest time over which no target can be run at twice the intended rate or more. The lease
// holder runs once per interval, all other instances together half as often, and each may add one run at the edges of
// the window.
func (s *Settings) RateWindow(kind int) time.Duration {
	return 2 * time.Duration(s.Instances+1) * s.Kinds[kind].Interval
}

// nextOutOfLeaseRun returns the time at which this instance may run a target without holding its lease. However wrong
// the views are, the out-of-lease runs of one instance at one target are outOfLeaseDivisor x Instances intervals apart,
// where the start of the instance counts as a run.
func (s *Scheduler) nextOutOfLeaseRun(t *targetState) time.Duration {
	interval := s.interval(t)
	rank := min(s.shares[t.share].rank, s.settings.Instances-1)
	silence := time.Duration(silenceIntervals*float64(interval)) + silenceLeases*s.settings.promiseDuration() +
		time.Duration(rank)*interval
	return max(t.lastOwnRun+outOfLeaseDivisor*time.Duration(s.settings.Instances)*interval, t.lastReached+silence)
}
