package upstream

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// invalidResponse is the reason why a response is rejected. All values are constants, so that none is allocated.
type invalidResponse string

func (r invalidResponse) Error() string { return string(r) }

// head is the status line and header fields of a response.
type head struct {
	status              int
	length              int64 // -1 without Content-Length
	chunked             bool
	reusable            bool          // the connection may serve further requests
	connectionClose     bool          // Connection lists close
	connectionKeepAlive bool          // Connection lists keep-alive
	idleTimeout         time.Duration // derived from Keep-Alive; negative without it
	attemptID           string
	hasAttemptID        bool
	seal                string
	searcherID          string
	notExecuted         bool
	load                Load
	hasLoad             bool
	retryAfter          time.Duration
	headers             []Header
}

// parseStatusLine parses the version and the status code. It rejects all versions but HTTP/1.0 and HTTP/1.1.
func parseStatusLine(line string) (status int, minor byte, err error) {
	if len(line) < 12 || line[:7] != "HTTP/1." || line[7] != '0' && line[7] != '1' || line[8] != ' ' {
		return 0, 0, invalidResponse("not a status line")
	}
	for _, c := range []byte(line[9:12]) {
		if c < '0' || c > '9' {
			return 0, 0, invalidResponse("status code is not a number")
		}
		status = status*10 + int(c-'0')
	}
	if len(line) > 12 && line[12] != ' ' || status < 100 || status > 599 || !isFieldValue(line) {
		return 0, 0, invalidResponse("invalid status line")
	}
	return status, line[7], nil
}

// parseHead parses a response head without the empty line that ends it.
func parseHead(s string) (h head, err error) {
	line, rest, _ := strings.Cut(s, "\r\n")
	var minor byte
	if h.status, minor, err = parseStatusLine(line); err != nil {
		return h, err
	}
	h.length, h.idleTimeout = -1, -1
	if rest != "" {
		h.headers = make([]Header, 0, strings.Count(rest, "\r\n")+1)
	}
	var connectionOptions string // field names that Connection lists
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		colon := strings.IndexByte(line, ':')
		if colon <= 0 || !isToken(line[:colon]) {
			return h, invalidResponse("invalid header name")
		}
		name, value := line[:colon], strings.Trim(line[colon+1:], " \t")
		if !isFieldValue(value) {
			return h, invalidResponse("invalid header value")
		}
		if isHopByHop(name) {
			err = h.parseHopByHop(name, value, &connectionOptions)
		} else {
			h.headers = append(h.headers, Header{name, value})
			err = h.parseEndToEnd(name, value)
		}
		if err != nil {
			return h, err
		}
	}
	h.reusable = !h.connectionClose && (minor == '1' || h.connectionKeepAlive)
	if h.chunked && h.length >= 0 {
		return h, invalidResponse("both Content-Length and chunked encoding")
	}
	if h.chunked && minor == '0' {
		return h, invalidResponse("chunked encoding in HTTP/1.0")
	}
	if connectionOptions != "" {
		kept := h.headers[:0]
		for _, f := range h.headers {
			if !listContains(connectionOptions, f.Name) {
				kept = append(kept, f)
			}
		}
		h.headers = kept
	}
	return h, nil
}

// parseHopByHop processes a hop-by-hop field and adds the field names listed in Connection to connectionOptions.
func (h *head) parseHopByHop(name, value string, connectionOptions *string) error {
	switch len(name) {
	case len("Content-Length"):
		n, ok := parseDecimal(value)
		if !ok || h.length >= 0 && h.length != n {
			return invalidResponse("invalid or conflicting content lengths")
		}
		h.length = n
	case len("Transfer-Encoding"):
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return invalidResponse("unknown transfer encoding")
		}
		h.chunked = true
	case len("Connection"):
		if name[0]|0x20 == 'k' {
			if n, ok := parseKeepAlive(value); ok && (h.idleTimeout < 0 || n < h.idleTimeout) {
				h.idleTimeout = n
			}
			break
		}
		h.connectionClose = h.connectionClose || listContains(value, "close")
		h.connectionKeepAlive = h.connectionKeepAlive || listContains(value, "keep-alive")
		if !strings.EqualFold(value, "close") && !strings.EqualFold(value, "keep-alive") {
			*connectionOptions += "," + value
		}
	}
	return nil
}

// parseEndToEnd processes the end-to-end fields that this package evaluates.
func (h *head) parseEndToEnd(name, value string) error {
	switch len(name) {
	case 10:
		if strings.EqualFold(name, "Attempt-Id") {
			if h.hasAttemptID {
				return invalidResponse("duplicate attempt id")
			}
			h.attemptID, h.hasAttemptID = value, value != ""
		}
	case 11:
		switch {
		case strings.EqualFold(name, "Answer-Seal"):
			if h.seal != "" {
				return invalidResponse("duplicate seal")
			}
			h.seal = value
		case strings.EqualFold(name, "Searcher-Id"):
			h.searcherID = value
		case strings.EqualFold(name, "Retry-After"):
			if f, err := strconv.ParseFloat(value, 64); err == nil && f > 0 && f < math.MaxInt32 {
				h.retryAfter = time.Duration(f * float64(time.Second))
			}
		}
	case 12:
		if strings.EqualFold(name, "Not-Executed") {
			h.notExecuted = true
		}
	case 13:
		if strings.EqualFold(name, "Searcher-Load") {
			h.load, h.hasLoad = parseLoad(value)
		}
	case 16:
		if strings.EqualFold(name, "Content-Encoding") && value != "" && !strings.EqualFold(value, "identity") {
			return invalidResponse("unrequested content encoding") // so these are not the bytes of the searcher
		}
	}
	return nil
}

// parseDecimal parses a number that consists of digits only, without a sign or a list.
func parseDecimal(s string) (int64, bool) {
	if s == "" || len(s) > 15 {
		return 0, false
	}
	var n int64
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int64(s[i]-'0')
	}
	return n, true
}

// parseKeepAlive returns how long an idle connection may be used, from the timeout of Keep-Alive. The result is shorter
// than the timeout by a quarter, at least 500 ms, so that a request does not cross the close on its way.
func parseKeepAlive(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		key, timeout, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(key), "timeout") {
			continue
		}
		if seconds, ok := parseDecimal(strings.Trim(timeout, " \t\"")); ok && seconds < math.MaxInt32 {
			timeoutDuration := time.Duration(seconds) * time.Second
			return max(0, timeoutDuration-max(timeoutDuration/4, 500*time.Millisecond)), true
		}
	}
	return 0, false
}

// listContains reports whether a comma-separated list contains a name, ignoring case.
func listContains(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(item), name) {
			return true
		}
	}
	return false
}

// parseLoad parses the three numbers of Searcher-Load.
func parseLoad(value string) (load Load, ok bool) {
	for i, field := range [...]*int{&load.Running, &load.Waiting, &load.Slots} {
		part, rest, more := strings.Cut(value, ",")
		n, ok := parseDecimal(strings.TrimSpace(part))
		if !ok || n > math.MaxInt32 || more != (i < 2) {
			return Load{}, false
		}
		*field, value = int(n), rest
	}
	return load, true
}
