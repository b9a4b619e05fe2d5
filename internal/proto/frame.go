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

// Letters that identify the types of frames.
const (
	LetterCall   = 'D' // requests for parts
	LetterCancel = 'K' // cancels a part
	LetterAnswer = 'O' // response for a part
	LetterProbe  = 'I' // health check, and its reply
	LetterLoad   = 'U' // request for a load report, and its reply
	LetterEnd    = 'Z' // ends the connection; the contents state why
)

// Call is the request for one part, as sent to a searcher.
type Call struct {
	ID       string
	Shard    int
	Deadline time.Time // when the mixer stops waiting
	Key      string
	From     []int // for a second step: the shards whose results the first step included
	Whole    bool  // for a second step: whether the first step's answer was complete
	Text     string
}

// AppendCalls appends one frame with the requests for one or more parts. The remaining times are computed from now.
func AppendCalls(b []byte, now time.Time, calls ...Call) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, LetterCall)
	for i := range calls {
		c := &calls[i]
		b = append(append(b, c.ID...), ' ')
		b = append(strconv.AppendInt(b, int64(c.Shard), 10), " d="...)
		b = strconv.AppendInt(b, max(1, c.Deadline.Sub(now).Milliseconds()), 10)
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
	return seal(b, start)
}

// AppendCancel appends the frame that cancels one part.
func AppendCancel(b []byte, id string) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, LetterCancel)
	return seal(append(b, id...), start)
}

// AppendProbe appends a probe, whose letter is that of a health check or of a load report.
func AppendProbe(b []byte, letter byte) []byte { return append(b, 1, 0, 0, 0, letter) }

// AppendProbeReply appends a searcher's reply to a probe.
func AppendProbeReply(b []byte, letter byte, text string) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, letter)
	return seal(append(b, text...), start)
}

// seal writes the length of the frame that begins at the given offset.
func seal(b []byte, start int) []byte {
	binary.LittleEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// ReadFrame reads one frame of at most limit bytes into buf, grown as needed, and returns its letter, the rest of its contents
// and the buffer.
func ReadFrame(r io.Reader, buf []byte, limit int) (letter byte, contents, grown []byte, err error) {
	var header [4]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, buf, err
	}
	n := binary.LittleEndian.Uint32(header[:])
	if n < 1 || uint64(n) > uint64(limit) {
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

// HoldsFrame reports whether a complete frame is buffered in a reader.
func HoldsFrame(r *bufio.Reader) bool {
	if r.Buffered() < 4 {
		return false
	}
	header, err := r.Peek(4)
	return err == nil && uint64(r.Buffered()) >= 4+uint64(binary.LittleEndian.Uint32(header))
}

// Answer is a searcher's response to the request for one part.
type Answer struct {
	ID      string
	Outcome policy.Outcome
	Score   float64
	Value   string
}

// ErrUnresponsive is the reason for closing a connection whose searcher doesn't reply to a probe that was sent to confirm
// receipt.
var ErrUnresponsive = errors.New("silent when asked for a receipt")

var outcomes = map[string]policy.Outcome{"200": policy.Succeeded, "500": policy.Failed, "503": policy.Overloaded}

var (
	errAnswer = errors.New("unreadable answer")
	errCall   = errors.New("unreadable call")
)

// ReadAnswer decodes the contents of an answer's frame, without its letter.
func ReadAnswer(contents []byte) (Answer, error) {
	line, value, ok := bytes.Cut(contents, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	if !ok || len(fields) < 4 || len(fields[0]) == 0 {
		return Answer{}, errAnswer
	}
	outcome, ok := outcomes[string(fields[1])]
	if !ok {
		return Answer{}, errAnswer
	}
	a := Answer{ID: string(fields[0]), Outcome: outcome}
	if string(fields[2]) != "-" {
		var err error
		if a.Score, err = strconv.ParseFloat(string(fields[2]), 64); err != nil || math.IsNaN(a.Score) || math.IsInf(a.Score, 0) {
			return Answer{}, errAnswer
		}
	}
	// Invalid UTF-8 would be altered on its way to the client, which would get another value than the searcher sent.
	if outcome == policy.Succeeded {
		if a.Value = string(value); !utf8.ValidString(a.Value) {
			return Answer{}, errAnswer
		}
	}
	return a, nil
}

// ReadCalls decodes the contents of a frame written by AppendCalls, as a searcher does. Times are relative to now.
func ReadCalls(contents []byte, now time.Time) ([]Call, error) {
	var calls []Call
	for len(contents) > 0 {
		line, remaining, ok := bytes.Cut(contents, []byte{'\n'})
		fields := bytes.Split(line, []byte{' '})
		if !ok || len(fields) != 4 {
			return nil, errCall
		}
		c := Call{ID: string(fields[0])}
		n, err := strconv.Atoi(string(fields[3]))
		if c.Shard, _ = strconv.Atoi(string(fields[1])); err != nil || n < 0 || n > len(remaining) {
			return nil, errCall
		}
		for _, kv := range bytes.Split(fields[2], []byte{','}) {
			k, v, _ := bytes.Cut(kv, []byte{'='})
			switch string(k) {
			case "d":
				ms, err := strconv.Atoi(string(v))
				if err != nil {
					return nil, errCall
				}
				c.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
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
		c.Text, contents = string(remaining[:n]), remaining[n:]
		calls = append(calls, c)
	}
	return calls, nil
}

// AppendAnswer appends the frame with a searcher's response to the request for one part.
func AppendAnswer(b []byte, id string, status int, score uint64, value string) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, LetterAnswer)
	b = fmt.Appendf(b, "%s %d %d -\n%s", id, status, score, value)
	return seal(b, start)
}
