package explore

import (
	"cmp"
	"encoding/binary"
	"math"
	"reflect"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"peathollow/attempt"
)

// canon tells states: two that only differ by which reader or which part is which are one, where that is asked for.
type canon struct {
	readers, parts [][]int // orders
	buf            []byte
	w              *World
	names          attempt.StateLabels
	r, p           []int // the present orders: the place of each
	bySearcher     []uint64
	byPart         []uint64
}

// newCanon knows all orders of readers and parts, or one. The real module tells readers apart by chance drawn from ids,
// so that with it nothing is alike.
func newCanon(set *Setup, symmetry bool) *canon {
	c := &canon{readers: [][]int{upTo(set.Readers)}, parts: [][]int{upTo(set.Parts)}}
	if symmetry && set.Decider == "free" {
		c.readers, c.parts = orders(set.Readers), orders(set.Parts)
	}
	c.names = attempt.StateLabels{LatencyMatters: set.Decider == "brain", Searchers: make([]string, set.Readers),
		Addr:  func(addr string) byte { return byte(len(addr)) },
		Shard: func(s int) int { return c.p[s] },
		Scan: func(s *attempt.Scan) int {
			return slices.IndexFunc(c.w.scans, func(x *scan) bool { return x.s == s })
		},
		AnswerPossible: func(k attempt.TransportConn, wire string, out uint64, due bool) bool {
			may := func(f Fault) bool { return c.w.may(f) }
			if may(fReuse) || due && may(fBehind) {
				return true
			}
			return slices.ContainsFunc(c.w.sents, func(x *sent) bool {
				return x.c == k.(*conn) && x.wire == wire && x.seq != out && (x.state == onWire || x.state == answered && may(fTwice))
			})
		},
		ValueReceived: func(v string, shard int, s *attempt.Scan, step int) bool {
			i := slices.IndexFunc(c.w.scans, func(x *scan) bool { return x.s == s })
			return c.w.scans[i].came(step, shard, v)
		},
		AppendConn: func(b []byte, k attempt.TransportConn) []byte { return c.conn(b, k.(*conn)) }}
	return c
}

func upTo(n int) []int {
	x := make([]int, n)
	for i := range x {
		x[i] = i
	}
	return x
}

func orders(n int) (all [][]int) {
	var put func(x []int, k int)
	put = func(x []int, k int) {
		if k == n {
			all = append(all, slices.Clone(x))
			return
		}
		for i := k; i < n; i++ {
			x[k], x[i] = x[i], x[k]
			put(x, k+1)
			x[k], x[i] = x[i], x[k]
		}
	}
	put(upTo(n), 0)
	return all
}

// hash is the least over all orders, the same for all states that are alike.
func (c *canon) hash(w *World) uint64 {
	c.w = w
	least := uint64(math.MaxUint64)
	c.look(w)
	for _, r := range c.readers {
		if !sorted(r, c.bySearcher) {
			continue
		}
		for _, p := range c.parts {
			if !sorted(p, c.byPart) {
				continue
			}
			c.r, c.p = r, p
			for i, at := range r {
				c.names.Searchers[at] = readerName(i)
			}
			c.buf = c.state(c.buf[:0])
			least = min(least, xxh3.Hash(c.buf))
		}
	}
	return least
}

// look gives each reader and each part a figure that does not depend on names. Only the orders in which these do not
// fall are tried: where all differ, that is one.
func (c *canon) look(w *World) {
	c.bySearcher, c.byPart = make([]uint64, len(c.readers[0])), make([]uint64, len(c.parts[0]))
	if len(c.readers) == 1 && len(c.parts) == 1 {
		return
	}
	for i, r := range w.readers {
		c.bySearcher[i] = uint64(r.state) | uint64(b2i(r.moved))<<2 | uint64(b2i(r.gone))<<3
	}
	for _, k := range w.conns {
		if k.closed {
			continue
		}
		x := uint64(len(k.frames)) | uint64(b2i(k.shut))<<4 | uint64(b2i(k.taken))<<5 | uint64(b2i(k.broken))<<6 |
			uint64(b2i(k.closing))<<7 | uint64(b2i(k.closed))<<8
		c.bySearcher[k.reader] = c.bySearcher[k.reader]*0x9e3779b97f4a7c15 + x*31 + 7
	}
	for _, x := range w.sents {
		if w.done(x) {
			if !x.over() {
				c.byPart[x.shard] += mixed(uint64(b2i(x.mayHaveRun()))<<20 | uint64(x.nr))
			}
			continue
		}
		y := mixed(uint64(x.state) | uint64(b2i(x.killed))<<3 | uint64(x.step)<<4 | uint64(x.scan.nr)<<5 | uint64(x.nr)<<7)
		c.bySearcher[x.c.reader] += y
		c.byPart[x.shard] += mixed(y)
	}
}

// done tells that nothing more can come of a dispatch, but that it may have run.
func (w *World) done(x *sent) bool {
	return x.state >= answered && (x.state != answered || x.c.closed || !w.may(fTwice) && !w.may(fReuse))
}

func mixed(x uint64) uint64 {
	x = (x + 1) * 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// sorted tells that figures do not fall in an order.
func sorted(place []int, by []uint64) bool {
	for i := range place {
		for j := range i {
			if by[i] != by[j] && (place[i] < place[j]) != (by[i] < by[j]) {
				return false
			}
		}
	}
	return true
}

func (c *canon) state(b []byte) []byte {
	w := c.w
	b = w.life.EncodeState(b, w.now, &c.names)
	b = append(b, byte(w.spent), byte(b2i(w.inBatch)), byte(b2i(w.stopped)))
	for _, name := range c.names.Searchers {
		r := w.readers[name[0]-'a']
		b = append(b, byte(r.state), byte(b2i(r.moved)), byte(b2i(r.gone)), byte(b2i(r.state != 0 && w.now > r.toldAt)))
	}
	for _, s := range w.scans {
		b = append(b, byte(min(s.replies, 2)), byte(s.step))
		if s.replies == 0 {
			b = binary.AppendVarint(b, int64(w.now-s.at))
		}
	}
	// What truly became of each dispatch, as far as a property still looks at it.
	sents := slices.Clone(w.sents)
	sents = slices.DeleteFunc(sents, func(x *sent) bool { return w.done(x) && x.over() })
	key := func(x *sent) int { return x.scan.nr<<16 | x.step<<12 | c.p[x.shard]<<8 | x.nr }
	slices.SortFunc(sents, func(x, y *sent) int { return cmp.Compare(key(x), key(y)) })
	b = append(b, byte(len(sents)))
	for _, x := range sents {
		b = binary.AppendVarint(b, int64(key(x)))
		if w.done(x) {
			b = append(b, 255, byte(b2i(x.mayHaveRun())))
			if w.set.Effect == "keyed" && x.wrote {
				b = binary.AppendVarint(b, int64(w.now-x.at))
			}
			continue
		}
		b = append(b, byte(x.state), byte(x.end), byte(b2i(x.wrote)|b2i(x.killed)<<1|b2i(x.twice)<<2|b2i(x.forgotten)<<3),
			byte(c.r[x.c.reader]), byte(b2i(x.c.closed)))
		if w.set.Effect == "keyed" && x.wrote && x.scan.replies == 0 {
			b = binary.AppendVarint(b, int64(w.now-x.at))
		}
	}
	for _, s := range w.scans {
		if s.replies > 0 {
			continue
		}
		var in uint64
		for _, x := range s.in {
			if x.step == s.step {
				in |= 1 << c.p[x.shard]
			}
		}
		b = binary.AppendUvarint(b, in)
		b = append(b, byte(s.passed(0)), byte(b2i(w.mayHaveRun(s))))
	}
	if w.free != nil {
		return c.free(b, w.free)
	}
	b = binary.AppendVarint(b, int64(w.now))
	return appendAll(b, reflect.ValueOf(w.real).Elem())
}

// conn is what a connection adds: its frames, and where it stands.
func (c *canon) conn(b []byte, k *conn) []byte {
	b = append(b, byte(b2i(k.shut)|b2i(k.taken)<<1|b2i(k.broken)<<2|b2i(k.closing)<<3|b2i(k.closed)<<4|b2i(k.writ > 0)<<5),
		byte(len(k.frames)))
	for _, f := range k.frames {
		b = append(b, byte(b2i(f.taken)|b2i(f.whole)<<1|b2i(f.proof)<<2|b2i(f.stop != "")<<3), byte(len(f.calls)))
		var calls []int
		for _, x := range f.calls {
			calls = append(calls, x.scan.nr<<16|x.step<<12|c.p[x.shard]<<8|x.nr)
		}
		slices.Sort(calls)
		for _, x := range calls {
			b = binary.AppendVarint(b, int64(x))
		}
		if x := f.behind; x != nil {
			b = binary.AppendVarint(b, int64(x.scan.nr<<16|x.step<<12|c.p[x.shard]<<8|x.nr))
		}
	}
	return b
}

func (c *canon) free(b []byte, d *free) []byte {
	b = append(b, byte(len(d.scans)))
	place := func(srv int) byte { return byte(slices.Index(c.names.Searchers, d.w.life.SearcherName(srv))) }
	for _, s := range d.scans {
		b = append(b, byte(s.nr), byte(s.step), byte(b2i(s.whole)|b2i(s.ran)<<1), byte(s.expect))
		b = binary.AppendVarint(b, int64(s.end-d.w.now))
		parts := slices.Clone(s.parts)
		slices.SortFunc(parts, func(x, y *fpart) int { return cmp.Compare(c.p[x.shard], c.p[y.shard]) })
		for _, p := range parts {
			b = append(b, byte(c.p[p.shard]), byte(b2i(p.in)), byte(len(p.tries)))
			for i := range p.tries {
				t := &p.tries[i]
				b = append(b, byte(b2i(t.out)|b2i(t.called)<<1|b2i(t.never)<<2))
				if t.out {
					b = append(b, place(t.srv))
				}
				if d.w.set.Effect == "keyed" {
					b = binary.AppendVarint(b, int64(t.at-d.w.now))
				}
			}
		}
	}
	return b
}

// appendAll appends all that a value holds, but what it acts through, and what lies in places that are not used.
func appendAll(b []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Bool:
		return append(b, byte(b2i(v.Bool())))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return binary.AppendVarint(b, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return binary.AppendUvarint(b, v.Uint())
	case reflect.Float32, reflect.Float64:
		return binary.LittleEndian.AppendUint64(b, math.Float64bits(v.Float()))
	case reflect.String:
		return append(append(b, byte(v.Len())), v.String()...)
	case reflect.Func:
		return binary.AppendUvarint(b, uint64(v.Pointer()))
	case reflect.Slice, reflect.Array:
		b = binary.AppendUvarint(b, uint64(v.Len()))
		for i := range v.Len() {
			b = appendAll(b, v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(x, y reflect.Value) int { return cmp.Compare(x.Uint(), y.Uint()) })
		b = binary.AppendUvarint(b, uint64(len(keys)))
		for _, k := range keys {
			b = appendAll(appendAll(b, k), v.MapIndex(k))
		}
	case reflect.Struct:
		used := v.FieldByName("used")
		for i := range v.NumField() {
			f := v.Field(i)
			if strings.HasPrefix(v.Type().Name(), "slab[") && v.Type().Field(i).Name == "at" {
				for k := range f.Len() {
					if used.Index(k).Bool() {
						b = appendAll(b, f.Index(k))
					}
				}
				continue
			}
			b = appendAll(b, f)
		}
	}
	return b // interfaces: the actions, and a hash that is set anew for each draw
}
