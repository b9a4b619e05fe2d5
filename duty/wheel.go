package duty

import (
	"math/bits"
	"time"
)

// Wheel keeps small indices by the time at which they are due: a timing wheel of four levels, with lists threaded
// through two arrays, so that adding, moving and taking out cost the same at ten entries and at a hundred thousand
// and allocate nothing once the arrays have grown. A heap would pay log n for each move, and nearly every result
// heard from a peer moves one. Nothing comes out early; it may come out late by less than one tick.
type Wheel struct {
	tick  time.Duration
	at    int64 // ticks that have passed
	n     int
	links []link
	heads [levels][slots]int32 // 1 + the first of a slot, 0 where it is empty
	used  [levels]uint64       // a bit for each slot that is not empty
}

const (
	levels   = 4
	slotBits = 6
	slots    = 1 << slotBits
)

type link struct {
	due        int64
	prev, next int32 // 1 + index; 0 ends a list
	slot       int16 // 1 + level * slots + slot; 0 when it is not in the wheel
}

// NewWheel makes a wheel that starts at a time, in ticks of a length.
func NewWheel(tick, now time.Duration) *Wheel {
	return &Wheel{tick: max(1, tick), at: int64(now / max(1, tick))}
}

// Len is how many entries there are.
func (w *Wheel) Len() int { return w.n }

// Set makes an index due at a time, whether or not it was before. What is due already comes out at the next Due.
func (w *Wheel) Set(i int32, due time.Duration) {
	for int(i) >= len(w.links) {
		w.links = append(w.links, link{})
	}
	w.Drop(i)
	l := &w.links[i]
	l.due = max(int64((due+w.tick-1)/w.tick), w.at+1)
	w.put(i)
	w.n++
}

func (w *Wheel) put(i int32) {
	l := &w.links[i]
	level, far := 0, l.due-w.at
	for level < levels-1 && far >= 1<<(slotBits*(level+1)) {
		level++
	}
	// Beyond the last level it waits in that level's furthest slot and is looked at again from there.
	at := min(l.due, w.at+1<<(slotBits*levels)-1)
	slot := int(at>>(slotBits*level)) & (slots - 1)
	head := &w.heads[level][slot]
	l.slot, l.prev, l.next = int16(1+level*slots+slot), 0, *head
	if *head > 0 {
		w.links[*head-1].prev = i + 1
	}
	*head = i + 1
	w.used[level] |= 1 << slot
}

// Drop takes an index out, if it is in.
func (w *Wheel) Drop(i int32) {
	if int(i) >= len(w.links) || w.links[i].slot == 0 {
		return
	}
	l := &w.links[i]
	level, slot := int(l.slot-1)/slots, int(l.slot-1)%slots
	if l.prev > 0 {
		w.links[l.prev-1].next = l.next
	} else if w.heads[level][slot] = l.next; l.next == 0 {
		w.used[level] &^= 1 << slot
	}
	if l.next > 0 {
		w.links[l.next-1].prev = l.prev
	}
	l.slot = 0
	w.n--
}

// Due moves the wheel to a time and hands over what is due by then, tick by tick; within a tick the latest set first.
// What is set from within comes out at a later call.
func (w *Wheel) Due(now time.Duration, take func(i int32)) {
	for end := int64(now / w.tick); w.at < end; {
		if w.n == 0 {
			w.at = end
			return
		}
		// Ticks without anything to do are passed over at once.
		if w.used[0] == 0 {
			w.at = min(end, w.at|(slots-1))
			if w.at == end {
				return
			}
		}
		w.at++
		for level := 1; level < levels && w.at&(1<<(slotBits*level)-1) == 0; level++ {
			w.spill(level, int(w.at>>(slotBits*level))&(slots-1))
		}
		slot := int(w.at) & (slots - 1)
		for head := &w.heads[0][slot]; *head > 0; {
			i := *head - 1
			w.Drop(i)
			take(i)
		}
	}
}

// spill hands a slot down to finer levels.
func (w *Wheel) spill(level, slot int) {
	i := w.heads[level][slot]
	w.heads[level][slot] = 0
	w.used[level] &^= 1 << slot
	for i > 0 {
		next := w.links[i-1].next
		w.put(i - 1)
		i = next
	}
}

// Next is a time by which nothing comes out yet, at most the span of the first levels ahead: the caller may sleep
// till then.
func (w *Wheel) Next() time.Duration {
	if w.n == 0 {
		return time.Duration(w.at+1<<slotBits) * w.tick
	}
	here := uint(w.at) & (slots - 1)
	if ahead := w.used[0] >> (here + 1); ahead != 0 && here < slots-1 {
		return time.Duration(w.at+1+int64(bits.TrailingZeros64(ahead))) * w.tick
	}
	return time.Duration(w.at|(slots-1)+1) * w.tick
}
