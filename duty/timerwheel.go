package duty

import (
	"math/bits"
	"time"
)

// TimerWheel is a timing wheel that orders small indices by due time. It has four levels, with lists linked through two
// arrays, so that adding, moving and removing an entry costs the same at ten entries and at a hundred thousand, and
// allocates nothing once the arrays have grown. A heap would cost O(log n) per move, and nearly every result from a
// peer moves an entry. No entry expires early; it may expire late by less than one tick.
type TimerWheel struct {
	tick        time.Duration
	currentTick int64 // number of elapsed ticks
	count       int
	entries     []entry
	heads       [levels][slots]int32 // 1 + index of the first entry of a slot, 0 if the slot is empty
	occupied    [levels]uint64       // a bit per non-empty slot
}

const (
	levels   = 4
	slotBits = 6
	slots    = 1 << slotBits
)

// entry is the state of one index.
type entry struct {
	dueTick    int64
	prev, next int32 // 1 + index, 0 at the end of a list
	slot       int16 // 1 + level * slots + slot, 0 if not in the wheel
}

// NewTimerWheel returns an empty wheel at time now with the given tick.
func NewTimerWheel(tick, now time.Duration) *TimerWheel {
	return &TimerWheel{tick: max(1, tick), currentTick: int64(now / max(1, tick))}
}

// Len returns the number of entries.
func (w *TimerWheel) Len() int { return w.count }

// Set adds an index or moves it to a new due time. An entry that is already due expires at the next call of Expire.
func (w *TimerWheel) Set(i int32, due time.Duration) {
	for int(i) >= len(w.entries) {
		w.entries = append(w.entries, entry{})
	}
	w.Remove(i)
	e := &w.entries[i]
	e.dueTick = max(int64((due+w.tick-1)/w.tick), w.currentTick+1)
	w.insert(i)
	w.count++
}

// insert links an entry into the slot of its due tick.
func (w *TimerWheel) insert(i int32) {
	e := &w.entries[i]
	level, distance := 0, e.dueTick-w.currentTick
	for level < levels-1 && distance >= 1<<(slotBits*(level+1)) {
		level++
	}
	// An entry beyond the last level waits in the furthest slot of that level and is inserted again from there.
	tick := min(e.dueTick, w.currentTick+1<<(slotBits*levels)-1)
	slot := int(tick>>(slotBits*level)) & (slots - 1)
	head := &w.heads[level][slot]
	e.slot, e.prev, e.next = int16(1+level*slots+slot), 0, *head
	if *head > 0 {
		w.entries[*head-1].prev = i + 1
	}
	*head = i + 1
	w.occupied[level] |= 1 << slot
}

// Remove removes an index if it is in the wheel.
func (w *TimerWheel) Remove(i int32) {
	if int(i) >= len(w.entries) || w.entries[i].slot == 0 {
		return
	}
	e := &w.entries[i]
	level, slot := int(e.slot-1)/slots, int(e.slot-1)%slots
	if e.prev > 0 {
		w.entries[e.prev-1].next = e.next
	} else if w.heads[level][slot] = e.next; e.next == 0 {
		w.occupied[level] &^= 1 << slot
	}
	if e.next > 0 {
		w.entries[e.next-1].prev = e.prev
	}
	e.slot = 0
	w.count--
}

// Expire advances the wheel to a time and calls expire for each entry that is due by then, tick by tick. Within a tick the
// entry that was set last expires first. Entries that are set by expire come out at a later call.
func (w *TimerWheel) Expire(now time.Duration, expire func(i int32)) {
	for end := int64(now / w.tick); w.currentTick < end; {
		if w.count == 0 {
			w.currentTick = end
			return
		}
		// Ticks without entries are skipped.
		if w.occupied[0] == 0 {
			w.currentTick = min(end, w.currentTick|(slots-1))
			if w.currentTick == end {
				return
			}
		}
		w.currentTick++
		for level := 1; level < levels && w.currentTick&(1<<(slotBits*level)-1) == 0; level++ {
			w.cascade(level, int(w.currentTick>>(slotBits*level))&(slots-1))
		}
		slot := int(w.currentTick) & (slots - 1)
		for head := &w.heads[0][slot]; *head > 0; {
			i := *head - 1
			w.Remove(i)
			expire(i)
		}
	}
}

// cascade moves the entries of a slot to finer levels.
func (w *TimerWheel) cascade(level, slot int) {
	i := w.heads[level][slot]
	w.heads[level][slot] = 0
	w.occupied[level] &^= 1 << slot
	for i > 0 {
		next := w.entries[i-1].next
		w.insert(i - 1)
		i = next
	}
}

// Next returns a time before which no entry expires, at most the span of the first level ahead. The caller may sleep
// until then.
func (w *TimerWheel) Next() time.Duration {
	if w.count == 0 {
		return time.Duration(w.currentTick+1<<slotBits) * w.tick
	}
	slot := uint(w.currentTick) & (slots - 1)
	if ahead := w.occupied[0] >> (slot + 1); ahead != 0 && slot < slots-1 {
		return time.Duration(w.currentTick+1+int64(bits.TrailingZeros64(ahead))) * w.tick
	}
	return time.Duration(w.currentTick|(slots-1)+1) * w.tick
}
