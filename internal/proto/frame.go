package proto

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"
	"unicode/utf8"

	"peathollow/policy"
)

// Letters of frames.
const (
	LetterCall   = 'D'
	LetterGiveUp = 'K'
	LetterAnswer = 'O'
	LetterProbe  = 'I'
	LetterLoad   = 'U'
	LetterEnd    = 'Z'
)

// Call is one part on its way to a searcher.
type Call struct {
	ID    string
	Shard int
	Until time.Time // how long the mixer waits
	Key   string
	From  []int // for a second step: the shards that were in
	Whole bool  // and whether the first step's answer was
	Text  string
}

// AppendCalls writes one frame that carries the parts of one call, leaving at that time.
func AppendCalls(b []byte, now time.Time, calls ...Call) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, LetterCall)
	for i := range calls {
		c := &calls[i]
		b = append(append(b, c.ID...), ' ')
		b = append(strconv.AppendInt(b, int64(c.Shard), 10), " d="...)
		b = strconv.AppendInt(b, max(1, c.Until.Sub(now).Milliseconds()), 10)
		if c.Key != "" {
			b = append(append(b, ",k="...), c.Key...)
		}
		if len(c.From) > 0 {
			b = append(b, ",from="...)
			for j, s := range c.From {
				if j > 0 {
					b = append(b, '+')
				}
				b = strconv.AppendInt(b, int64(s), 10)
			}
			b = append(b, ",whole="...)
			if c.Whole {
				b = append(b, '1')
			} else {
				b = append(b, '0')
			}
		}
		b = append(b, ' ')
		b = append(strconv.AppendInt(b, int64(len(c.Text)), 10), '\n')
		b = append(b, c.Text...)
	}
	return seal(b, at)
}

// AppendGiveUp writes the frame that gives up one part.
func AppendGiveUp(b []byte, id string) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, LetterGiveUp)
	return seal(append(b, id...), at)
}

// AppendProbe writes a probe of either letter.
func AppendProbe(b []byte, letter byte) []byte { return append(b, 1, 0, 0, 0, letter) }

// AppendProbed writes a searcher's answer to one.
func AppendProbed(b []byte, letter byte, word string) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, letter)
	return seal(append(b, word...), at)
}

func seal(b []byte, at int) []byte {
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// ReadFrame reads one frame into buf, grown as needed, and gives its letter and the rest.
func ReadFrame(r io.Reader, buf []byte, most int) (letter byte, rest, grown []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, buf, err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || uint64(n) > uint64(most) {
		return 0, nil, buf, fmt.Errorf("frame of %d bytes", n)
	}
	if cap(buf) < int(n) {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	if _, err = io.ReadFull(r, buf); err != nil {
		return 0, nil, buf, fmt.Errorf("frame cut short: %w", err)
	}
	return buf[0], buf[1:], buf, nil
}

// HoldsFrame tells whether a reader holds a whole frame already.
func HoldsFrame(r *bufio.Reader) bool {
	if r.Buffered() < 4 {
		return false
	}
	head, err := r.Peek(4)
	return err == nil && uint64(r.Buffered()) >= 4+uint64(binary.LittleEndian.Uint32(head))
}

// Answer is a searcher's word on one part.
type Answer struct {
	ID    string
	End   policy.Outcome
	Score float64
	Value string
}

// ErrMute is why a connection ends that says nothing when it is asked for a receipt.
var ErrMute = errors.New("silent when asked for a receipt")

var ends = map[string]policy.Outcome{"200": policy.Succeeded, "500": policy.Failed, "503": policy.Overloaded}

var (
	errAnswer = errors.New("unreadable answer")
	errCall   = errors.New("unreadable call")
)

// ReadAnswer decodes the rest of an answer's frame.
func ReadAnswer(rest []byte) (Answer, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	f := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(f) < 4 || len(f[0]) == 0 {
		return Answer{}, errAnswer
	}
	end, ok := ends[string(f[1])]
	if !ok {
		return Answer{}, errAnswer
	}
	a := Answer{ID: string(f[0]), End: end}
	if string(f[2]) != "-" {
		var err error
		if a.Score, err = strconv.ParseFloat(string(f[2]), 64); err != nil || math.IsNaN(a.Score) || math.IsInf(a.Score, 0) {
			return Answer{}, errAnswer
		}
	}
	// Text that is none would reach the client as something else than the searcher's value.
	if end == policy.Succeeded {
		if a.Value = string(value); !utf8.ValidString(a.Value) {
			return Answer{}, errAnswer
		}
	}
	return a, nil
}

// ReadCalls decodes the rest of a call's frame, as a searcher does; times are counted from now.
func ReadCalls(rest []byte, now time.Time) ([]Call, error) {
	var calls []Call
	for len(rest) > 0 {
		line, after, ok := bytes.Cut(rest, []byte{'\n'})
		f := bytes.Split(line, []byte{' '})
		if !ok || len(f) != 4 {
			return nil, errCall
		}
		c := Call{ID: string(f[0])}
		n, err := strconv.Atoi(string(f[3]))
		if c.Shard, _ = strconv.Atoi(string(f[1])); err != nil || n < 0 || n > len(after) {
			return nil, errCall
		}
		for _, kv := range bytes.Split(f[2], []byte{','}) {
			k, v, _ := bytes.Cut(kv, []byte{'='})
			switch string(k) {
			case "d":
				ms, err := strconv.Atoi(string(v))
				if err != nil {
					return nil, errCall
				}
				c.Until = now.Add(time.Duration(ms) * time.Millisecond)
			case "k":
				c.Key = string(v)
			case "from":
				for _, s := range bytes.Split(v, []byte{'+'}) {
					shard, err := strconv.Atoi(string(s))
					if err != nil {
						return nil, errCall
					}
					c.From = append(c.From, shard)
				}
			case "whole":
				c.Whole = string(v) == "1"
			}
		}
		c.Text, rest = string(after[:n]), after[n:]
		calls = append(calls, c)
	}
	return calls, nil
}

// AppendAnswer writes a searcher's word on one part.
func AppendAnswer(b []byte, id string, end int, score uint64, value string) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, LetterAnswer)
	b = fmt.Appendf(b, "%s %d %d -\n%s", id, end, score, value)
	return seal(b, at)
}
