package duty

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// The form of messages: a version byte, a kind byte, then fields of fixed order, numbers as varints, texts and lists
// behind their length. All lengths are bounded, so that a message costs no more than its bytes, and nothing may be
// left over. Another version is refused as a whole: claims read wrong would break what leases rest on.
const (
	version  = 1
	loadMost = 64
	bytesMax = 32 << 10
	ageMost  = 30 * 24 * time.Hour
)

// Errors of messages that cannot be believed.
var (
	ErrVersion   = errors.New("duty message: another version")
	ErrForm      = errors.New("duty message: unreadable")
	errInstances = errors.New("duty message: another number of instances")
	errSelf      = errors.New("duty message: from this instance's own name")
	errShares    = errors.New("duty message: shares out of range or order")
	errResult    = errors.New("duty message: a result that can't be")
	errSender    = errors.New("duty message: no such sender")
)

// plausible checks a message against the settings: what it names must be there, and what it says be possible.
func (c *Core) plausible(m *Message) error {
	switch {
	case m.From == "" || len(m.From) > nameMost || len(m.To) > nameMost:
		return errSender
	case m.From == c.set.Me:
		return errSelf
	case m.Instances != c.set.Instances:
		return errInstances // a majority of another number is none
	case m.Kind == 0 || m.Kind >= messageKinds:
		return ErrForm
	}
	for i, s := range m.Shares {
		if int(s) >= len(c.shares) || i > 0 && s <= m.Shares[i-1] {
			return errShares
		}
	}
	for _, r := range m.Results {
		if r.Kind < 0 || r.Kind >= len(c.byID) || r.Age < 0 || r.Age > ageMost || r.Took < 0 || r.Outcome >= outcomes ||
			len(r.Load) > loadMost {
			return errResult
		}
	}
	return nil
}

// Append writes a message behind b.
func (m *Message) Append(b []byte) []byte {
	b = append(b, version, byte(m.Kind))
	b = appendText(b, m.From)
	b = binary.AppendUvarint(b, m.Inc)
	b = binary.AppendUvarint(b, uint64(m.Instances))
	b = binary.AppendUvarint(b, m.Seq)
	b = appendText(b, m.To)
	b = binary.AppendUvarint(b, uint64(len(m.Shares)))
	last := uint16(0)
	for _, s := range m.Shares {
		b = binary.AppendUvarint(b, uint64(s-last)) // they rise: small steps
		last = s
	}
	b = binary.AppendUvarint(b, uint64(len(m.Results)))
	for i := range m.Results {
		r := &m.Results[i]
		b = append(b, byte(r.Kind), byte(r.Outcome))
		b = binary.LittleEndian.AppendUint64(b, r.ID)
		b = binary.AppendUvarint(b, uint64(r.Age/time.Microsecond))
		b = binary.AppendUvarint(b, uint64(r.Took/time.Microsecond))
		b = appendText(b, r.Load)
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Read decodes a message that fills b.
func Read(b []byte) (m Message, err error) {
	if len(b) > bytesMax {
		return m, fmt.Errorf("%w: %d bytes", ErrForm, len(b))
	}
	if len(b) < 2 || b[0] != version {
		return m, ErrVersion
	}
	r := reader{b: b[2:]}
	m.Kind = MessageKind(b[1])
	m.From = r.text(nameMost)
	m.Inc = r.number(math.MaxUint64)
	m.Instances = int(r.number(instancesMost))
	m.Seq = r.number(math.MaxUint64)
	m.To = r.text(nameMost)
	if n := r.count(sharesMost, 1); n > 0 {
		m.Shares = make([]uint16, 0, n)
		last := uint64(0)
		for range n {
			last += r.number(sharesMost)
			if last >= sharesMost {
				return Message{}, ErrForm
			}
			m.Shares = append(m.Shares, uint16(last))
		}
	}
	if n := r.count(batchMost, 13); n > 0 {
		m.Results = make([]Result, 0, n)
		for range n {
			m.Results = append(m.Results, r.result())
		}
	}
	if r.bad || len(r.b) > 0 || m.Kind == 0 || m.Kind >= messageKinds || !slices.IsSorted(m.Shares) {
		return Message{}, ErrForm
	}
	return m, nil
}

// reader takes fields off the front, and remembers that one could not be had.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) number(most uint64) uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 || x > most {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return x
}

// count reads the length of a list whose entries take so many bytes each, at the least.
func (r *reader) count(most, each int) int {
	n := int(r.number(uint64(most)))
	if n*each > len(r.b) {
		r.bad, r.b = true, nil
		return 0
	}
	return n
}

func (r *reader) take(n int) []byte {
	if n > len(r.b) {
		r.bad, r.b = true, nil
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) text(most int) string { return string(r.take(r.count(most, 1))) }

func (r *reader) span() time.Duration {
	return time.Duration(r.number(uint64(ageMost/time.Microsecond))) * time.Microsecond
}

func (r *reader) result() Result {
	head := r.take(10)
	x := Result{Kind: int(head[0]), Outcome: Outcome(head[1]), ID: binary.LittleEndian.Uint64(head[2:])}
	x.Age, x.Took, x.Load = r.span(), r.span(), r.text(loadMost)
	return x
}
