package mixer

import (
	"bytes"
	"math"
	"strconv"
	"sync/atomic"
)

// framing follows the bytes that a client sends, to detect request smuggling. net/http drops Content-Length if the body
// is chunked, so a handler can't see that a head had both, and bytes that one reading takes for the body are the next
// request in the other. It tracks heads and bodies, keeps no more than the start of a line, and checks nothing else:
// net/http rejects whatever it can't follow.
type framing struct {
	state         framingState
	line          []byte       // the start of the current line
	remaining     uint64       // bytes of a body or chunk still to be read
	hasLength     bool         // the current head has a Content-Length
	chunked       bool         // the current head has a Transfer-Encoding
	headsRead     int64        // complete heads received
	firstRejected atomic.Int64 // zero-based index of the first request that must not be served
	served        int64        // requests that reached the handler; used by its goroutine only
}

type framingState uint8

const (
	inHead framingState = iota
	inBody
	atChunk
	inChunk
	afterChunk
	inTrailer
	untracked
)

// Enough for the two relevant fields and their values. A truncated line is neither of them, or its value is invalid.
const maxLine = 64

func newFraming() *framing {
	f := &framing{line: make([]byte, 0, maxLine)}
	f.firstRejected.Store(math.MaxInt64)
	return f
}

// allowNext reports whether the next request that reaches the handler on this connection may be served. After the
// first one that may not, none may.
func (f *framing) allowNext() bool {
	f.served++
	return f.served <= f.firstRejected.Load()
}

func (f *framing) feed(b []byte) {
	for len(b) > 0 && f.state != untracked {
		if f.state == inBody || f.state == inChunk {
			n := min(f.remaining, uint64(len(b)))
			b = b[n:]
			f.remaining -= n
			switch {
			case f.remaining > 0:
			case f.state == inChunk:
				f.state = afterChunk
			default:
				f.state = inHead
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		text := b
		if end >= 0 {
			text = b[:end]
		}
		f.line = append(f.line, text[:min(len(text), maxLine-len(f.line))]...)
		if end < 0 {
			return
		}
		b = b[end+1:]
		f.endLine(bytes.TrimSuffix(f.line, []byte{'\r'}))
		f.line = f.line[:0]
	}
}

func (f *framing) endLine(line []byte) {
	switch f.state {
	case inHead:
		if len(line) == 0 {
			f.endHead()
			return
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		name = bytes.TrimSpace(name)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			if f.hasLength = true; err != nil {
				f.reject(f.headsRead)
			}
			f.remaining = n
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.chunked = true
		}
	case atChunk:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 63)
		switch f.remaining = n; {
		case err != nil:
			f.reject(f.headsRead)
		case n == 0:
			f.state = inTrailer
		default:
			f.state = inChunk
		}
	case afterChunk:
		if f.state = atChunk; len(line) > 0 {
			f.reject(f.headsRead)
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = inHead
		}
	}
}

func (f *framing) endHead() {
	switch {
	case f.hasLength && f.chunked:
		f.reject(f.headsRead)
	case f.chunked:
		f.state = atChunk
	case f.remaining > 0:
		f.state = inBody
	}
	f.headsRead++
	f.hasLength, f.chunked = false, false
}

// reject stops tracking the connection: request n and all that follow it must not be served.
func (f *framing) reject(n int64) {
	f.state = untracked
	f.firstRejected.Store(n)
}
