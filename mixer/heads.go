package mixer

import (
	"bytes"
	"math"
	"strconv"
	"sync/atomic"
)

// heads reads along with what a client sends, for one purpose: net/http drops Content-Length where the body comes in
// chunks, so a handler never learns that a head told both, and what a body of one reading hides would be taken for
// the next request in the other. It follows heads and bodies, keeps no more than the start of a line, and judges
// nothing else: what it can't follow, net/http turns away.
type heads struct {
	at      where
	line    []byte // the start of the present line
	left    uint64 // bytes of a body or chunk to come
	length  bool   // the present head tells a length
	chunked bool   // the present head tells of chunks
	n       int64  // heads read
	unsafe  atomic.Int64
	taken   int64 // requests the handler has seen; only its goroutine counts
}

type where uint8

const (
	inHead where = iota
	inBody
	atChunk
	inChunk
	afterChunk
	inTrailer
	astray
)

// Enough for the fields of interest and their values; what is cut can't be one of them, or can't be read.
const lineKept = 64

func newHeads() *heads {
	h := &heads{line: make([]byte, 0, lineKept)}
	h.unsafe.Store(math.MaxInt64)
	return h
}

// next tells whether the request that the handler sees next on the connection may be served. Once one may not,
// nothing that follows may.
func (h *heads) next() bool {
	h.taken++
	return h.taken <= h.unsafe.Load()
}

func (h *heads) feed(b []byte) {
	for len(b) > 0 && h.at != astray {
		if h.at == inBody || h.at == inChunk {
			n := min(h.left, uint64(len(b)))
			b = b[n:]
			h.left -= n
			switch {
			case h.left > 0:
			case h.at == inChunk:
				h.at = afterChunk
			default:
				h.at = inHead
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		text := b
		if end >= 0 {
			text = b[:end]
		}
		h.line = append(h.line, text[:min(len(text), lineKept-len(h.line))]...)
		if end < 0 {
			return
		}
		b = b[end+1:]
		h.endLine(bytes.TrimSuffix(h.line, []byte{'\r'}))
		h.line = h.line[:0]
	}
}

func (h *heads) endLine(line []byte) {
	switch h.at {
	case inHead:
		if len(line) == 0 {
			h.endHead()
			return
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		name = bytes.TrimSpace(name)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			if h.length = true; err != nil {
				h.lose(h.n)
			}
			h.left = n
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			h.chunked = true
		}
	case atChunk:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 63)
		switch h.left = n; {
		case err != nil:
			h.lose(h.n)
		case n == 0:
			h.at = inTrailer
		default:
			h.at = inChunk
		}
	case afterChunk:
		if h.at = atChunk; len(line) > 0 {
			h.lose(h.n)
		}
	case inTrailer:
		if len(line) == 0 {
			h.at = inHead
		}
	}
}

func (h *heads) endHead() {
	switch {
	case h.length && h.chunked:
		h.lose(h.n)
	case h.chunked:
		h.at = atChunk
	case h.left > 0:
		h.at = inBody
	}
	h.n++
	h.length, h.chunked = false, false
}

// lose gives up following: that request and all behind it are not to be served.
func (h *heads) lose(n int64) {
	h.at = astray
	h.unsafe.Store(n)
}
