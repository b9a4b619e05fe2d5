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

// canonicalizer computes canonical hashes of states. With symmetry reduction, states that differ only by a permutation of
// searchers or parts have the same hash.
type canonicalizer struct {
	searcherOrders, partOrders [][]int // permutations to try
	buf                        []byte
	sim                        *Simulation
	labels                     attempt.StateLabels
	searcherPlaces, partPlaces []int // the current permutations: the place of each
	searcherSignatures         []uint64
	partSignatures             []uint64
}

// newCanonicalizer tries all permutations of searchers and parts, or only the identity. The policy engine derives random
// draws from IDs, so that with it searchers and parts are not interchangeable.
func newCanonicalizer(setup *Setup, symmetry bool) *canonicalizer {
	c := &canonicalizer{searcherOrders: [][]int{identityOrder(setup.Searchers)}, partOrders: [][]int{identityOrder(setup.Parts)}}
	if symmetry && setup.Policy == "free" {
		c.searcherOrders, c.partOrders = permutations(setup.Searchers), permutations(setup.Parts)
	}
	c.labels = attempt.StateLabels{LatencyMatters: setup.Policy == "brain", Searchers: make([]string, setup.Searchers),
		Addr:  func(addr string) byte { return byte(len(addr)) },
		Shard: func(s int) int { return c.partPlaces[s] },
		Scan: func(s *attempt.Scan) int {
			return slices.IndexFunc(c.sim.scans, func(x *scan) bool { return x.request == s })
		},
		AnswerPossible: func(k attempt.TransportConn, wireID string, out uint64, due bool) bool {
			may := func(f Fault) bool { return c.sim.faultAllowed(f) }
			if may(faultReuse) || due && may(faultBehind) {
				return true
			}
			return slices.ContainsFunc(c.sim.dispatches, func(x *dispatch) bool {
				return x.conn == k.(*conn) && x.wireID == wireID && x.seq != out &&
					(x.state == onWire || x.state == answered && may(faultTwice))
			})
		},
		ValueReceived: func(v string, shard int, s *attempt.Scan, step int) bool {
			i := slices.IndexFunc(c.sim.scans, func(x *scan) bool { return x.request == s })
			return c.sim.scans[i].hasReceived(step, shard, v)
		},
		AppendConn: func(b []byte, k attempt.TransportConn) []byte { return c.appendConn(b, k.(*conn)) }}
	return c
}

func identityOrder(n int) []int {
	x := make([]int, n)
	for i := range x {
		x[i] = i
	}
	return x
}

func permutations(n int) (all [][]int) {
	var permute func(x []int, k int)
	permute = func(x []int, k int) {
		if k == n {
			all = append(all, slices.Clone(x))
			return
		}
		for i := k; i < n; i++ {
			x[k], x[i] = x[i], x[k]
			permute(x, k+1)
			x[k], x[i] = x[i], x[k]
		}
	}
	permute(identityOrder(n), 0)
	return all
}

// hash returns the lowest hash over all permutations, which is the same for all symmetric states.
func (c *canonicalizer) hash(sim *Simulation) uint64 {
	c.sim = sim
	lowest := uint64(math.MaxUint64)
	c.computeSignatures(sim)
	for _, r := range c.searcherOrders {
		if !consistent(r, c.searcherSignatures) {
			continue
		}
		for _, p := range c.partOrders {
			if !consistent(p, c.partSignatures) {
				continue
			}
			c.searcherPlaces, c.partPlaces = r, p
			for i, at := range r {
				c.labels.Searchers[at] = searcherName(i)
			}
			c.buf = c.appendState(c.buf[:0])
			lowest = min(lowest, xxh3.Hash(c.buf))
		}
	}
	return lowest
}

// computeSignatures gives each searcher and each part a signature that does not depend on its name. Only permutations that
// sort by signature are tried: if all signatures differ, that is one.
func (c *canonicalizer) computeSignatures(sim *Simulation) {
	c.searcherSignatures, c.partSignatures = make([]uint64, len(c.searcherOrders[0])), make([]uint64, len(c.partOrders[0]))
	if len(c.searcherOrders) == 1 && len(c.partOrders) == 1 {
		return
	}
	for i, r := range sim.searchers {
		c.searcherSignatures[i] = uint64(r.state) | uint64(b2i(r.moved))<<2 | uint64(b2i(r.removed))<<3
	}
	for _, k := range sim.conns {
		if k.closed {
			continue
		}
		x := uint64(len(k.frames)) | uint64(b2i(k.closeRequested))<<4 | uint64(b2i(k.writing))<<5 | uint64(b2i(k.endedBySearcher))<<6 |
			uint64(b2i(k.writeSideEnded))<<7 | uint64(b2i(k.closed))<<8
		c.searcherSignatures[k.searcher] = c.searcherSignatures[k.searcher]*0x9e3779b97f4a7c15 + x*31 + 7
	}
	for _, x := range sim.dispatches {
		if sim.settled(x) {
			if !x.stepEnded() {
				c.partSignatures[x.shard] += mix(uint64(b2i(x.mayHaveRun()))<<20 | uint64(x.index))
			}
			continue
		}
		y := mix(uint64(x.state) | uint64(b2i(x.cancelWritten))<<3 | uint64(x.step)<<4 | uint64(x.scan.index)<<5 | uint64(x.index)<<7)
		c.searcherSignatures[x.conn.searcher] += y
		c.partSignatures[x.shard] += mix(y)
	}
}

// settled reports whether no event concerns a dispatch any more; that it may have run can still matter.
func (sim *Simulation) settled(x *dispatch) bool {
	return x.state >= answered &&
		(x.state != answered || x.conn.closed || !sim.faultAllowed(faultTwice) && !sim.faultAllowed(faultReuse))
}

func mix(x uint64) uint64 {
	x = (x + 1) * 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// consistent reports whether a permutation sorts by signature.
func consistent(place []int, signatures []uint64) bool {
	for i := range place {
		for j := range i {
			if signatures[i] != signatures[j] && (place[i] < place[j]) != (signatures[i] < signatures[j]) {
				return false
			}
		}
	}
	return true
}

func (c *canonicalizer) appendState(b []byte) []byte {
	sim := c.sim
	b = sim.coordinator.EncodeState(b, sim.now, &c.labels)
	b = append(b, byte(sim.faultsUsed), byte(b2i(sim.inBatch)), byte(b2i(sim.stopped)))
	for _, name := range c.labels.Searchers {
		r := sim.searchers[name[0]-'a']
		b = append(b, byte(r.state), byte(b2i(r.moved)), byte(b2i(r.removed)), byte(b2i(r.state != 0 && sim.now > r.changedAt)))
	}
	for _, s := range sim.scans {
		b = append(b, byte(min(s.replies, 2)), byte(s.step))
		if s.replies == 0 {
			b = binary.AppendVarint(b, int64(sim.now-s.submittedAt))
		}
	}
	// What really became of each dispatch, as far as a property still depends on it.
	relevant := slices.Clone(sim.dispatches)
	relevant = slices.DeleteFunc(relevant, func(x *dispatch) bool { return sim.settled(x) && x.stepEnded() })
	key := func(x *dispatch) int { return x.scan.index<<16 | x.step<<12 | c.partPlaces[x.shard]<<8 | x.index }
	slices.SortFunc(relevant, func(x, y *dispatch) int { return cmp.Compare(key(x), key(y)) })
	b = append(b, byte(len(relevant)))
	for _, x := range relevant {
		b = binary.AppendVarint(b, int64(key(x)))
		if sim.settled(x) {
			b = append(b, 255, byte(b2i(x.mayHaveRun())))
			if sim.setup.Effect == "keyed" && x.written {
				b = binary.AppendVarint(b, int64(sim.now-x.writtenAt))
			}
			continue
		}
		b = append(b, byte(x.state), byte(x.outcome),
			byte(b2i(x.written)|b2i(x.cancelWritten)<<1|b2i(x.answeredTwice)<<2|b2i(x.droppedByRestart)<<3),
			byte(c.searcherPlaces[x.conn.searcher]), byte(b2i(x.conn.closed)))
		if sim.setup.Effect == "keyed" && x.written && x.scan.replies == 0 {
			b = binary.AppendVarint(b, int64(sim.now-x.writtenAt))
		}
	}
	for _, s := range sim.scans {
		if s.replies > 0 {
			continue
		}
		var received uint64
		for _, x := range s.received {
			if x.step == s.step {
				received |= 1 << c.partPlaces[x.shard]
			}
		}
		b = binary.AppendUvarint(b, received)
		b = append(b, byte(s.receivedShards(0)), byte(b2i(sim.mayHaveRun(s))))
	}
	if sim.free != nil {
		return c.appendFreePolicy(b, sim.free)
	}
	b = binary.AppendVarint(b, int64(sim.now))
	return appendValue(b, reflect.ValueOf(sim.engine).Elem())
}

// appendConn appends the state of a connection and its frames.
func (c *canonicalizer) appendConn(b []byte, k *conn) []byte {
	b = append(b, byte(b2i(k.closeRequested)|b2i(k.writing)<<1|b2i(k.endedBySearcher)<<2|b2i(k.writeSideEnded)<<3|
		b2i(k.closed)<<4|b2i(k.writtenSeq > 0)<<5),
		byte(len(k.frames)))
	for _, f := range k.frames {
		b = append(b, byte(b2i(f.writeStarted)|b2i(f.written)<<1|b2i(f.needsReceipt)<<2|b2i(f.cancelID != "")<<3), byte(len(f.calls)))
		var calls []int
		for _, x := range f.calls {
			calls = append(calls, x.scan.index<<16|x.step<<12|c.partPlaces[x.shard]<<8|x.index)
		}
		slices.Sort(calls)
		for _, x := range calls {
			b = binary.AppendVarint(b, int64(x))
		}
		if x := f.cancels; x != nil {
			b = binary.AppendVarint(b, int64(x.scan.index<<16|x.step<<12|c.partPlaces[x.shard]<<8|x.index))
		}
	}
	return b
}

func (c *canonicalizer) appendFreePolicy(b []byte, f *freePolicy) []byte {
	b = append(b, byte(len(f.scans)))
	place := func(searcher int) byte {
		return byte(slices.Index(c.labels.Searchers, f.sim.coordinator.SearcherName(searcher)))
	}
	for _, s := range f.scans {
		b = append(b, byte(s.index), byte(s.step), byte(b2i(s.complete)|b2i(s.mayHaveRun)<<1), byte(s.expectedParts))
		b = binary.AppendVarint(b, int64(s.deadline-f.sim.now))
		parts := slices.Clone(s.parts)
		slices.SortFunc(parts, func(x, y *policyPart) int { return cmp.Compare(c.partPlaces[x.shard], c.partPlaces[y.shard]) })
		for _, p := range parts {
			b = append(b, byte(c.partPlaces[p.shard]), byte(b2i(p.succeeded)), byte(len(p.attempts)))
			for i := range p.attempts {
				t := &p.attempts[i]
				b = append(b, byte(b2i(t.inFlight)|b2i(t.cancelled)<<1|b2i(t.neverRan)<<2))
				if t.inFlight {
					b = append(b, place(t.searcher))
				}
				if f.sim.setup.Effect == "keyed" {
					b = binary.AppendVarint(b, int64(t.sentAt-f.sim.now))
				}
			}
		}
	}
	return b
}

// appendValue appends the content of a value, without its interfaces and without unused slots of a policy slab, whose type
// and fields it finds by name.
func appendValue(b []byte, v reflect.Value) []byte {
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
			b = appendValue(b, v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(x, y reflect.Value) int { return cmp.Compare(x.Uint(), y.Uint()) })
		b = binary.AppendUvarint(b, uint64(len(keys)))
		for _, k := range keys {
			b = appendValue(appendValue(b, k), v.MapIndex(k))
		}
	case reflect.Struct:
		used := v.FieldByName("used")
		for i := range v.NumField() {
			f := v.Field(i)
			if strings.HasPrefix(v.Type().Name(), "slab[") && v.Type().Field(i).Name == "at" {
				for k := range f.Len() {
					if used.Index(k).Bool() {
						b = appendValue(b, f.Index(k))
					}
				}
				continue
			}
			b = appendValue(b, f)
		}
	}
	return b // interfaces: the actions, and a hash that is reset for each random draw
}
