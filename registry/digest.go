package registry

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"
)

// Ids are spread by hash over a tree of ranges: 16 children to each, 4096 leaves.
const (
	fanoutBits = 4
	leafLevel  = 3
	leafCount  = 1 << (fanoutBits * leafLevel)
	// smallRange is the number of entries up to which a range is sent instead of compared further.
	smallRange = 32
)

type leaf struct {
	sum   uint64
	count int
}

// Range is the Index-th of the 16^Level ranges of a level; the zero Range is everything.
type Range struct {
	Level uint8
	Index uint16
}

func (g Range) valid() bool { return g.Level <= leafLevel && int(g.Index) < 1<<(fanoutBits*g.Level) }

func (g Range) leaves() (from, to int) {
	width := leafCount >> (fanoutBits * g.Level)
	return int(g.Index) * width, (int(g.Index) + 1) * width
}

// Digest summarizes the entries of a range.
type Digest struct {
	Range
	Sum   uint64
	Count int
}

// Patch holds all entries that one registry has in some ranges.
type Patch struct {
	Ranges  []Range
	Entries []Entry
	// Doubted entries are held by the sender, which was without contact and may have missed that
	// their searchers left.
	Doubted []Entry
	Vector  Vector
}

func leafOf(id string) uint16 { return uint16(xxh3.HashString(id) >> (64 - fanoutBits*leafLevel)) }

// sum hashes what distinguishes versions of an entry: Source and No identify the rest of it.
func (rec *record) sum() uint64 {
	var a [192]byte
	b := append(a[:0], rec.ID...)
	b = append(b, 0)
	b = append(b, rec.Source...)
	b = append(b, 0, byte(rec.State))
	if rec.Silent {
		b = append(b, 1)
	}
	b = binary.LittleEndian.AppendUint64(b, rec.Calls)
	b = binary.LittleEndian.AppendUint64(b, rec.No)
	return xxh3.Hash(b)
}

// Digest summarizes a range; the zero Range is the whole registry.
func (r *Registry) Digest(g Range) Digest {
	d := Digest{Range: g}
	if !g.valid() {
		return d
	}
	from, to := g.leaves()
	for i := range r.leaves[from:to] {
		d.Sum += r.leaves[from+i].sum
		d.Count += r.leaves[from+i].count
	}
	return d
}

// Compare goes one level down. Of the ranges in which this registry differs from a peer's digests,
// it returns its own digests of the subranges of large ones, to be compared by the peer in turn, and
// the small ones themselves, whose entries are to be exchanged by Patch and Repair.
func (r *Registry) Compare(theirs []Digest) (finer []Digest, differ []Range) {
	for _, d := range theirs {
		if !d.valid() {
			continue
		}
		ours := r.Digest(d.Range)
		switch {
		case ours == d:
			if d.Level == 0 { // a peer in contact holds the same entries
				for _, rec := range r.records {
					rec.suspect = false
				}
			}
		case d.Level == leafLevel || d.Count+ours.Count <= smallRange:
			differ = append(differ, d.Range)
		default:
			for i := range uint16(1 << fanoutBits) {
				finer = append(finer, r.Digest(Range{d.Level + 1, d.Index<<fanoutBits | i}))
			}
		}
	}
	return finer, differ
}

// Patch returns the entries of whole ranges, in all about limit of them; ranges that don't fit are
// left for the next round, which finds that they still differ.
func (r *Registry) Patch(ranges []Range, limit int) Patch {
	p := Patch{Vector: r.Vector()}
	total := 0
	var selected [leafCount]bool
	for _, g := range ranges {
		if !g.valid() {
			continue
		}
		n := r.Digest(g).Count
		if total > 0 && total+n > limit {
			break
		}
		total += n
		p.Ranges = append(p.Ranges, g)
		from, to := g.leaves()
		for i := from; i < to; i++ {
			selected[i] = true
		}
	}
	for _, it := range r.log {
		switch {
		case it.record.seq != it.seq || !selected[it.record.leaf]:
		case it.record.suspect:
			p.Doubted = append(p.Doubted, r.wireEntry(it.record))
		default:
			p.Entries = append(p.Entries, r.wireEntry(it.record))
		}
	}
	return p
}

// Repair joins a peer's patch and reports whether the list changed.
//
// When one side lacks an id that its vector covers, either it knew the id and forgot it after its
// end, or a fault made a pull miss it. A missing searcher costs more than a stale one, so the entry
// is taken unless the peer's vector is behind or the entry is silent or a tombstone anyway. An entry
// held here that the peer forgot is dropped only if it is suspect: this registry was without contact
// and may have missed its end.
func (r *Registry) Repair(now time.Time, p Patch) bool {
	r.advanceClock(now)
	generation := r.generation
	ahead := p.Vector.Covers(r.Vector())
	theirs := make(map[string]bool, len(p.Entries)+len(p.Doubted))
	for _, e := range p.Entries {
		r.repairEntry(e, ahead, theirs)
	}
	for _, e := range p.Doubted {
		rec := r.records[e.ID]
		suspect := rec != nil && rec.suspect
		r.repairEntry(e, false, theirs)
		if rec != nil {
			rec.suspect = suspect // a peer that suspects the entry too is no confirmation
		}
	}
	var selected [leafCount]bool
	for _, g := range p.Ranges {
		if g.valid() {
			from, to := g.leaves()
			for i := from; i < to; i++ {
				selected[i] = true
			}
		}
	}
	for _, rec := range r.records {
		if rec.suspect && selected[rec.leaf] && !theirs[rec.ID] && rec.No <= p.Vector[rec.Source] {
			r.drop(rec)
		}
	}
	return r.generation != generation
}

// repairEntry joins one entry of a patch and adds its id to theirs. ahead says that the peer's vector
// covers ours, so that its entry may be taken even if it was forgotten here.
func (r *Registry) repairEntry(e Entry, ahead bool, theirs map[string]bool) {
	if !r.accepts(&e) {
		return
	}
	theirs[e.ID] = true
	if r.records[e.ID] == nil && e.No <= r.numberOf(e.Source) && (!ahead || e.Silent || e.State == Gone) {
		return
	}
	r.join(e)
}
