package upstream

import (
	"bytes"
	"io"
	"slices"
)

// responseReader reads responses from a connection through the buffer of the exchange.
type responseReader struct {
	conn       io.Reader
	buf        []byte // kept at its full length
	start, end int    // buf[start:end] has been read from the connection and not consumed yet
}

// fill reads more data, after making room in the buffer. If a part of the response exceeds its bound, there is no room and
// fill returns io.ErrNoProgress.
func (r *responseReader) fill() error {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if r.end == len(r.buf) {
		copy(r.buf, r.buf[r.start:r.end])
		r.start, r.end = 0, r.end-r.start
	}
	n, err := r.conn.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

var blankLine = []byte("\r\n\r\n")

const (
	maxInterimResponses = 8   // 1xx responses before the final one
	maxChunkLine        = 256 // including chunk extensions
)

// readHead reads the next head that is not interim (1xx); maxLen limits the total length of all heads read.
func (r *responseReader) readHead(maxLen int) (head, error) {
	used := 0
	for range maxInterimResponses + 1 {
		raw, err := r.readRawHead(maxLen - used)
		if err != nil {
			return head{}, err
		}
		used += len(raw)
		if raw[9] == '1' { // readRawHead has checked the length
			if string(raw[9:12]) == "101" {
				return head{}, invalidResponse("unrequested protocol switch")
			}
			if _, err := parseHead(string(raw)); err != nil {
				return head{}, err
			}
			continue
		}
		return parseHead(string(raw))
	}
	return head{}, invalidResponse("too many interim responses")
}

// readRawHead consumes the bytes up to the next blank line and returns them without it. It fails as soon as the first
// bytes cannot begin an HTTP/1 response, rather than waiting for a blank line that never comes.
func (r *responseReader) readRawHead(maxLen int) ([]byte, error) {
	searched := 0 // bytes of buf[start:end] that were searched and contain no blank line
	for {
		data := r.buf[r.start:r.end]
		const prefix = "HTTP/1."
		if k := min(len(data), len(prefix)); string(data[:k]) != prefix[:k] {
			return nil, invalidResponse("not an HTTP/1 response")
		}
		if at := bytes.Index(data[max(0, searched-3):], blankLine); at >= 0 {
			at += max(0, searched-3)
			if at < len("HTTP/1.1 200") {
				return nil, invalidResponse("not a status line")
			}
			if at > maxLen {
				return nil, invalidResponse("head too long")
			}
			r.start += at + len(blankLine)
			return data[:at], nil
		}
		if searched = len(data); searched > maxLen+len(blankLine) {
			return nil, invalidResponse("head too long")
		}
		if searched == len(r.buf) {
			r.buf = slices.Grow(r.buf, len(r.buf))
			r.buf = r.buf[:cap(r.buf)]
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// readBody reads the body that follows a head. connEnded means that the end of the connection delimited the body.
func (r *responseReader) readBody(h *head, maxLen, maxTrailerLen int) (body []byte, connEnded bool, err error) {
	switch {
	case h.chunked:
		body, err = r.readChunked(maxLen, maxTrailerLen)
		return body, false, err
	case h.length > int64(maxLen):
		return nil, false, invalidResponse("body too long")
	case h.length >= 0:
		body, err = r.readExactly(nil, int(h.length))
		return body, false, err
	}
	for {
		body = append(body, r.buf[r.start:r.end]...)
		r.start = r.end
		if len(body) > maxLen {
			return nil, true, invalidResponse("body too long")
		}
		if err := r.fill(); err == io.EOF {
			return body, true, nil
		} else if err != nil {
			return nil, true, err
		}
	}
}

// readExactly appends the next n bytes to the slice, reading past the buffer once it is empty.
func (r *responseReader) readExactly(dst []byte, n int) ([]byte, error) {
	if n == 0 {
		return dst, nil
	}
	dst = slices.Grow(dst, n)
	buffered := min(n, r.end-r.start)
	dst = append(dst, r.buf[r.start:r.start+buffered]...)
	r.start += buffered
	if buffered == n {
		return dst, nil
	}
	at := len(dst)
	dst = dst[:at+n-buffered]
	_, err := io.ReadFull(r.conn, dst[at:])
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return dst, err
}

// readChunked reads a chunked body and discards its trailers.
func (r *responseReader) readChunked(maxLen, maxTrailerLen int) ([]byte, error) {
	var body []byte
	for {
		line, err := r.readLine(maxChunkLine)
		if err != nil {
			return nil, err
		}
		size, err := parseChunkSize(line)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		if size > maxLen-len(body) {
			return nil, invalidResponse("body too long")
		}
		if body, err = r.readExactly(body, size); err != nil {
			return nil, err
		}
		if _, err = r.readLine(0); err != nil {
			return nil, err
		}
	}
	for {
		line, err := r.readLine(scratchSize / 2)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
		if maxTrailerLen -= len(line) + 2; maxTrailerLen < 0 {
			return nil, invalidResponse("trailers too long")
		}
		if colon := bytes.IndexByte(line, ':'); colon <= 0 || !isToken(string(line[:colon])) ||
			!isFieldValue(string(line[colon+1:])) {
			return nil, invalidResponse("invalid trailer")
		}
	}
}

// readLine consumes the bytes up to the next CRLF and returns them without it. A bare LF is an error.
func (r *responseReader) readLine(maxLen int) ([]byte, error) {
	for {
		data := r.buf[r.start:r.end]
		if at := bytes.IndexByte(data, '\n'); at >= 0 {
			if at == 0 || data[at-1] != '\r' || at-1 > maxLen {
				return nil, invalidResponse("invalid line in chunked body")
			}
			r.start += at + 1
			return data[:at-1], nil
		}
		if len(data) > maxLen+1 {
			return nil, invalidResponse("invalid line in chunked body")
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

func parseChunkSize(line []byte) (int, error) {
	digits, ext, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > 7 || !isFieldValue(string(ext)) {
		return 0, invalidResponse("invalid chunk size")
	}
	n := 0
	for _, c := range digits {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int(c-'0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			n = n<<4 | int(c|0x20-'a'+10)
		default:
			return 0, invalidResponse("invalid chunk size")
		}
	}
	return n, nil
}
