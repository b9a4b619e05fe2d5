package manifest

import (
	"encoding/binary"
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"
)

// Patch transforms one raw document into another, byte for byte. Mixers send it
// to one another encoded with gob.
type Patch struct {
	From, To uint64 // versions
	Base     uint64 // xxh3 of the document that the patch applies to
	Whole    uint64 // xxh3 of the resulting document
	Size     int    // length of the resulting document in bytes
	// Steps is packed and alternates between a literal (its length and its
	// bytes) and a copy from the base (its length, and its offset relative to
	// the end of the previous copy).
	Steps []byte
}

// blockSize is the length of the shortest match that Delta finds. A step costs
// about five bytes; much longer blocks would miss the matching bytes between two
// changes within one route.
const blockSize = 16

// maxCandidates bounds how many positions with the same block hash are compared.
// Routes resemble one another, so the first candidate is often not the best one.
const maxCandidates = 64

// Delta returns the patch that turns the document of from into that of to. It
// compares bytes only, so it works for any layout of the document.
func Delta(from, to *Manifest) Patch {
	p := Patch{
		From: from.Version, To: to.Version,
		Base: xxh3.Hash(from.Raw), Whole: xxh3.Hash(to.Raw), Size: len(to.Raw),
	}
	p.Steps = Pack(steps(from.Raw, to.Raw))
	return p
}

// Apply returns the configuration that results from applying the patch to from.
// An error means that from is not the base of the patch or that the patch is
// corrupt; the caller then requests the whole document.
func (p Patch) Apply(from *Manifest) (*Manifest, error) {
	if xxh3.Hash(from.Raw) != p.Base {
		return nil, errors.Errorf("patch from version %d to %d: base document of version %d has another checksum",
			p.From, p.To, from.Version)
	}
	raw, err := p.raw(from.Raw)
	if err != nil {
		return nil, errors.Wrapf(err, "patch from version %d to %d", p.From, p.To)
	}
	m, err := Parse(raw)
	if err != nil {
		return nil, errors.Wrapf(err, "patch from version %d to %d", p.From, p.To)
	}
	return m, nil
}

// raw applies the steps to base and verifies the size and checksum of the result.
func (p Patch) raw(base []byte) ([]byte, error) {
	if p.Size < 0 || p.Size > MaxBytes {
		return nil, errors.Errorf("result size of %d bytes is not between 0 and %d", p.Size, MaxBytes)
	}
	steps, err := Unpack(p.Steps, 2*MaxBytes)
	if err != nil {
		return nil, err
	}
	errCorrupt := errors.New("corrupt steps")
	out, at := make([]byte, 0, p.Size), 0
	next := func() int {
		v, n := binary.Uvarint(steps)
		if n <= 0 || v > 2*MaxBytes {
			steps, err = nil, errCorrupt
			return 0
		}
		steps = steps[n:]
		return int(v)
	}
	for len(steps) > 0 {
		literal := next()
		if err != nil || literal > len(steps) || literal > p.Size-len(out) {
			return nil, errCorrupt
		}
		out, steps = append(out, steps[:literal]...), steps[literal:]
		if len(steps) == 0 {
			break
		}
		length, offset := next(), next()
		if at += offset>>1 ^ -(offset & 1); err != nil || at < 0 || at > len(base) ||
			length > len(base)-at || length > p.Size-len(out) {
			return nil, errCorrupt
		}
		out, at = append(out, base[at:at+length]...), at+length
	}
	if len(out) != p.Size || xxh3.Hash(out) != p.Whole {
		return nil, errors.New("result does not match the expected size and checksum")
	}
	return out, nil
}

// steps encodes doc as literals and copies from base, matching greedily from
// front to back.
func steps(base, doc []byte) []byte {
	var out []byte
	index := newBlockIndex(base)
	literal, pos := 0, 0 // doc[literal:pos] has no match so far
	end := 0             // end of the previous copy in base
	for pos+blockSize <= len(doc) {
		at, back, length := index.longestMatch(doc, literal, pos, end+pos-literal)
		if length == 0 {
			pos++
			continue
		}
		at, pos = at-back, pos-back
		out = binary.AppendUvarint(out, uint64(pos-literal))
		out = append(out, doc[literal:pos]...)
		out = binary.AppendUvarint(out, uint64(length))
		out = binary.AppendVarint(out, int64(at-end)) // zigzag, as raw decodes it
		pos += length
		literal, end = pos, at+length
	}
	if literal < len(doc) {
		out = binary.AppendUvarint(out, uint64(len(doc)-literal))
		out = append(out, doc[literal:]...)
	}
	return out
}

// blockIndex finds the blocks of a document by hash. first holds the head of the
// list of each hash and next links the blocks of a list. A block is identified
// by its number plus one, so that 0 ends a list.
type blockIndex struct {
	base        []byte
	first, next []int32
	shift       int
}

func newBlockIndex(base []byte) *blockIndex {
	n := len(base) / blockSize
	width := bits.Len(uint(n))
	x := &blockIndex{base: base, first: make([]int32, 1<<width), next: make([]int32, n+1), shift: 64 - width}
	for i := n; i > 0; i-- {
		h := x.hash(base[(i-1)*blockSize:])
		x.next[i], x.first[h] = x.first[h], int32(i)
	}
	return x
}

// hash hashes the first block of b to an index into first.
func (x *blockIndex) hash(b []byte) uint64 {
	h := binary.LittleEndian.Uint64(b)*0x9E3779B97F4A7C15 ^ binary.LittleEndian.Uint64(b[8:])*0xC2B2AE3D27D4EB4F
	return (h ^ h>>29) * 0xBF58476D1CE4E5B9 >> x.shift
}

// longestMatch finds the longest match in the base for the bytes of doc around
// pos. The match starts at base[at-back] and doc[pos-back], not before
// doc[literal]; its length is 0 if there is none. expected is the position in the
// base that continues the previous copy, which is the right one after a change
// that kept the length.
func (x *blockIndex) longestMatch(doc []byte, literal, pos, expected int) (at, back, length int) {
	compare := func(candidate int) {
		if candidate < 0 || candidate+blockSize > len(x.base) ||
			string(x.base[candidate:candidate+blockSize]) != string(doc[pos:pos+blockSize]) {
			return
		}
		before, after := 0, blockSize
		for before < pos-literal && before < candidate && x.base[candidate-before-1] == doc[pos-before-1] {
			before++
		}
		for pos+after < len(doc) && candidate+after < len(x.base) && x.base[candidate+after] == doc[pos+after] {
			after++
		}
		if before+after > length {
			at, back, length = candidate, before, before+after
		}
	}
	compare(expected)
	i := x.first[x.hash(doc[pos:])]
	for candidates := 0; i > 0 && candidates < maxCandidates; candidates++ {
		compare(int(i-1) * blockSize)
		i = x.next[i]
	}
	return at, back, length
}
