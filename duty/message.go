package duty

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// The encoding of messages: a version byte, a kind byte, then fields in a fixed order, with numbers as varints, and
// strings and lists prefixed with their length. All lengths are bounded, so that decoding a message costs no more than
// its size, and trailing bytes are an error. Messages of another version are rejected as a whole, because misread claims
// would break the guarantees of leases.
const (
	messageVersion  = 1
	maxLoadLength   = 64
	maxMessageBytes = 32 << 10
	maxAge          = 30 * 24 * time.Hour
)

// Errors of invalid messages.
var (
	ErrVersion   = errors.New("duty message: unsupported version")
	ErrMalformed = errors.New("duty message: malformed")
	errInstances = errors.New("duty message: sender has a different number of instances configured")
	errOwnName   = errors.New("duty message: sent under this instance's own name")
	errShares    = errors.New("duty message: shares out of range or not in ascending order")
	errResult    = errors.New("duty message: invalid result")
	errSender    = errors.New("duty message: name of the sender missing, or a name too long")
)

// validate checks a message against the settings: all that it refers to must exist, and its values must be possible.
func (s *Scheduler) validate(m *Message) error {
	switch {
	case m.From == "" || len(m.From) > maxNameLength || len(m.To) > maxNameLength:
		return errSender
	case m.From == s.settings.Name:
		return errOwnName
	case m.Instances != s.settings.Instances:
		return errInstances // the sender counts a majority of a different size
	case m.Kind == 0 || m.Kind >= messageKindCount:
		return ErrMalformed
	}
	for i, share := range m.Shares {
		if int(share) >= len(s.shares) || i > 0 && share <= m.Shares[i-1] {
			return errShares
		}
	}
	for _, r := range m.Results {
		if r.Kind < 0 || r.Kind >= len(s.byID) || r.Age < 0 || r.Age > maxAge || r.Took < 0 || r.Outcome >= outcomeCount ||
			len(r.Load) > maxLoadLength {
			return errResult
		}
	}
	return nil
}

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	b = append(b, messageVersion, byte(m.Kind))
	b = appendText(b, m.From)
	b = binary.AppendUvarint(b, m.Inc)
	b = binary.AppendUvarint(b, uint64(m.Instances))
	b = binary.AppendUvarint(b, m.Seq)
	b = appendText(b, m.To)
	b = binary.AppendUvarint(b, uint64(len(m.Shares)))
	previous := uint16(0)
	for _, s := range m.Shares {
		b = binary.AppendUvarint(b, uint64(s-previous)) // ascending, so the differences are small
		previous = s
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

// DecodeMessage decodes a message that takes up all of b.
func DecodeMessage(b []byte) (m Message, err error) {
	if len(b) > maxMessageBytes {
		return m, fmt.Errorf("%w: %d bytes", ErrMalformed, len(b))
	}
	if len(b) < 2 || b[0] != messageVersion {
		return m, ErrVersion
	}
	d := decoder{rest: b[2:]}
	m.Kind = MessageKind(b[1])
	m.From = d.text(maxNameLength)
	m.Inc = d.uvarint(math.MaxUint64)
	m.Instances = int(d.uvarint(maxInstances))
	m.Seq = d.uvarint(math.MaxUint64)
	m.To = d.text(maxNameLength)
	if n := d.listLength(maxShares, 1); n > 0 {
		m.Shares = make([]uint16, 0, n)
		previous := uint64(0)
		for range n {
			previous += d.uvarint(maxShares)
			if previous >= maxShares {
				return Message{}, ErrMalformed
			}
			m.Shares = append(m.Shares, uint16(previous))
		}
	}
	if n := d.listLength(maxBatchResults, 13); n > 0 {
		m.Results = make([]Result, 0, n)
		for range n {
			m.Results = append(m.Results, d.result())
		}
	}
	if d.failed || len(d.rest) > 0 || m.Kind == 0 || m.Kind >= messageKindCount || !slices.IsSorted(m.Shares) {
		return Message{}, ErrMalformed
	}
	return m, nil
}

// decoder reads fields from the front of rest. After an error, failed is set and rest is empty.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint(limit uint64) uint64 {
	x, n := binary.Uvarint(d.rest)
	if n <= 0 || x > limit {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return x
}

// listLength reads the length of a list whose entries take at least entrySize bytes each.
func (d *decoder) listLength(limit, entrySize int) int {
	n := int(d.uvarint(uint64(limit)))
	if n*entrySize > len(d.rest) {
		d.failed, d.rest = true, nil
		return 0
	}
	return n
}

func (d *decoder) bytes(n int) []byte {
	if n > len(d.rest) {
		d.failed, d.rest = true, nil
		return make([]byte, n)
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) text(limit int) string { return string(d.bytes(d.listLength(limit, 1))) }

func (d *decoder) duration() time.Duration {
	return time.Duration(d.uvarint(uint64(maxAge/time.Microsecond))) * time.Microsecond
}

func (d *decoder) result() Result {
	head := d.bytes(10)
	r := Result{Kind: int(head[0]), Outcome: Outcome(head[1]), ID: binary.LittleEndian.Uint64(head[2:])}
	r.Age, r.Took, r.Load = d.duration(), d.duration(), d.text(maxLoadLength)
	return r
}
