package manifest

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// roundTrip encodes and decodes a patch with gob, as mixers do, and returns the
// decoded patch and its encoded size in bytes.
func roundTrip(t *testing.T, p Patch) (got Patch, size int) {
	t.Helper()
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(p))
	size = b.Len()
	must.NoError(t, gob.NewDecoder(&b).Decode(&got))
	return got, size
}

func TestDeltaIsSmall(t *testing.T) {
	seeded := func() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }
	full := generate(8, 400, seeded())
	const routesStart = `"routes":[`
	few := strings.Replace(full, full[strings.Index(full, routesStart)+len(routesStart):nth(full, `{"name":"r-`, 350)], "", 1)
	timeout := strings.Index(full[len(full)/2:], `"horizon-ms":`) + len(full)/2
	for _, c := range []struct {
		name, from, to string
		maxSize        int
	}{
		{"one timeout", full, full[:timeout] + `"horizon-ms":123456` + full[strings.Index(full[timeout:], `,"setp`)+timeout:], 400},
		{"350 routes more", few, full, len(full) - len(few)},
		{"350 routes fewer", full, few, 400},
		{"version alone", full, strings.Replace(full, `:8,`, `:1000000,`, 1), 300},
		{"the same", full, full, 300},
	} {
		from, to := parse(t, c.from), parse(t, c.to)
		p, size := roundTrip(t, Delta(from, to))
		m, err := p.Apply(from)
		must.NoError(t, err, must.Sprint(c.name))
		must.Eq(t, c.to, string(m.Raw), must.Sprint(c.name))
		must.Eq(t, to.Version, m.Version)
		t.Logf("%s: gob-encoded patch %d bytes, whole document %d bytes, packed %d bytes", c.name, size, len(c.to), len(Pack([]byte(c.to))))
		must.Less(t, c.maxSize, size, must.Sprint(c.name))
	}
}

// nth returns the position of the n-th occurrence of substr in s, counted from 0.
func nth(s, substr string, n int) (at int) {
	for range n + 1 {
		at += strings.Index(s[at+1:], substr) + 1
	}
	return at
}

// TestStepsReproduceAnyBytes checks that the steps reproduce randomly edited
// bytes. The results are not valid documents, so they bypass Parse.
func TestStepsReproduceAnyBytes(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for range 400 {
		base := []byte(generate(1, random.IntN(40), random))
		doc := bytes.Clone(base)
		for range random.IntN(12) {
			i := random.IntN(len(doc) + 1)
			j := min(len(doc), i+random.IntN(300))
			switch random.IntN(4) {
			case 0:
				doc = append(doc[:i:i], doc[j:]...)
			case 1:
				doc = append(doc[:i:i], append([]byte(strconv.Itoa(random.Int())), doc[i:]...)...)
			case 2: // duplicate a range
				doc = append(doc[:j:j], doc[i:]...)
			case 3: // move the tail to the front
				doc = append(doc[i:len(doc):len(doc)], doc[:i]...)
			}
		}
		if random.IntN(10) == 0 {
			base = base[:random.IntN(40)]
		}
		p := Delta(&Manifest{Raw: base}, &Manifest{Raw: doc})
		got, err := p.raw(base)
		must.NoError(t, err)
		must.Eq(t, string(doc), string(got))
	}
}

func TestApplyRejectsCorruptPatches(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	from, to, other := parse(t, generate(1, 30, random)), parse(t, generate(2, 40, random)), parse(t, generate(1, 30, random))
	p := Delta(from, to)
	_, err := p.Apply(other)
	must.ErrorContains(t, err, "from version 1 to 2")
	for range 2000 { // no corruption may yield another document
		corrupt := p
		switch random.IntN(4) {
		case 0:
			corrupt.Size += 1 + random.IntN(1<<30) - 1<<29
		case 1:
			corrupt.Whole++
		case 2:
			unpacked, err := Unpack(p.Steps, MaxBytes)
			must.NoError(t, err)
			unpacked[random.IntN(len(unpacked))] ^= 1 << random.IntN(8)
			corrupt.Steps = Pack(unpacked)
		case 3:
			corrupt.Steps = p.Steps[:random.IntN(len(p.Steps))]
		}
		m, err := corrupt.Apply(from)
		must.True(t, err != nil || bytes.Equal(m.Raw, to.Raw))
	}
}

func TestPack(t *testing.T) {
	raw := []byte(generate(1, 400, rand.New(rand.NewPCG(9, 10))))
	for _, doc := range [][]byte{nil, raw[:1], raw, bytes.Repeat([]byte("x"), MaxBytes)} {
		packed := Pack(doc)
		got, err := Unpack(packed, len(doc))
		must.NoError(t, err)
		must.Eq(t, string(doc), string(got))
		_, err = Unpack(packed, len(doc)-1)
		must.Error(t, err)
		_, err = Unpack(packed[:len(packed)-1], MaxBytes)
		must.Error(t, err)
		_, err = Unpack(append(packed, 0), MaxBytes)
		must.Error(t, err)
	}
	must.Less(t, len(raw)/3, len(Pack(raw)))
}

func BenchmarkDelta(b *testing.B) {
	random := rand.New(rand.NewPCG(11, 12))
	from, err := Parse([]byte(generate(1, 400, random)))
	must.NoError(b, err)
	to, err := Parse([]byte(generate(2, 400, random)))
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		Delta(from, to)
	}
}
