package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"peathollow/internal/upstream"
	"peathollow/manifest"
	"peathollow/request"
)

const (
	attemptID  = "Attempt-Id"
	deadlineMs = "Deadline-Ms"
)

// rejection is the reason why a request is answered without being passed to the coordinator.
type rejection struct {
	status int
	reason string
	close  bool // what follows on the connection can't be read as a request
}

// ServeHTTP handles one client request and writes its answer.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h := w.Header()
	h["Date"] = nil
	if p.shuttingDown.Load() || len(r.TransferEncoding) > 0 {
		// A chunked request may also have had a Content-Length, which net/http drops silently. Measured by that length, the bytes
		// that follow would belong to its body, so the connection must not be used for another request.
		h.Set("Connection", "close")
	}
	config := p.config.Load()
	if config == nil {
		p.recordRejected(r, http.StatusServiceUnavailable, "no configuration is known yet")
		writeRefusal(w, 500*time.Millisecond)
		return
	}
	route, rejected := routeFor(config, r)
	if rejected != nil {
		p.reject(w, r, rejected)
		return
	}
	remaining := timeLeft(route, r)
	client := &clientRequest{deadline: arrived.Add(remaining)}
	body, status := readBody(w, r, config, client.deadline)
	if status != 0 {
		p.reject(w, r, &rejection{status, "its body was cut off, malformed, too large or too late", true})
		return
	}
	client.Request = upstreamRequest(r, body)
	final, ok := p.awaitAnswer(r, route, client)
	if !ok {
		p.observability.clientLeft()
		panic(http.ErrAbortHandler) // closes the connection without an answer and without reading the next request
	}
	p.recordFailure(&failure{attempt: client.AttemptID, route: route.Name, version: config.Version, elapsed: time.Since(arrived),
		remaining: remaining}, final)
	if p.draining.Load() {
		h.Set("Connection", "close")
	}
	writeAnswer(w, final)
}

// reject answers a request that is not passed to the coordinator.
func (p *Proxy) reject(w http.ResponseWriter, r *http.Request, rejected *rejection) {
	if rejected.close {
		w.Header().Set("Connection", "close")
	}
	p.recordRejected(r, rejected.status, rejected.reason)
	w.WriteHeader(rejected.status)
}

// minHeaderLimit is the limit for the size of a header that is enforced at least, in bytes.
const minHeaderLimit = 16 << 10

// routeFor returns the route of a request, or why it is rejected.
func routeFor(config *manifest.Manifest, r *http.Request) (*manifest.Route, *rejection) {
	if headerSize(r) > max(config.Limits.HeaderBytes, minHeaderLimit) {
		return nil, &rejection{http.StatusRequestHeaderFieldsTooLarge, "its head is too large", true}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Route(r.Host, path)
	if route == nil || path == "" || path[0] != '/' {
		return nil, &rejection{http.StatusNotFound, "no route for its host and path", false}
	}
	if r.Header.Get(attemptID) == "" {
		return nil, &rejection{http.StatusBadRequest, "it has no Attempt-Id", false}
	}
	return route, nil
}

// maxDeadlineMs bounds the deadline that a client states, in milliseconds.
const maxDeadlineMs = 1e9

// timeLeft returns how long a request may take: the client's deadline, and the route's horizon at most.
func timeLeft(route *manifest.Route, r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(deadlineMs), 64)
	if err != nil || !(ms >= 0) {
		return route.Horizon
	}
	return min(route.Horizon, time.Duration(min(ms, maxDeadlineMs)*float64(time.Millisecond)))
}

// upstreamRequest returns the request that is passed on to searchers.
func upstreamRequest(r *http.Request, body []byte) upstream.Request {
	outbound := upstream.Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, AttemptID: r.Header.Get(attemptID), Body: body}
	for name, values := range r.Header {
		if name == attemptID || name == deadlineMs || isHopByHop(r.Header["Connection"], name) {
			continue
		}
		for _, value := range values {
			outbound.Headers = append(outbound.Headers, upstream.Header{Name: name, Value: value})
		}
	}
	return outbound
}

// isHopByHop reports whether the client's Connection header lists a field, which then applies to this connection only.
func isHopByHop(connection []string, name string) bool {
	for _, v := range connection {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// awaitAnswer passes the request to the coordinator and waits for its answer. It returns false if the client disconnected.
func (p *Proxy) awaitAnswer(r *http.Request, route *manifest.Route, client *clientRequest) (request.Final, bool) {
	done := make(chan request.Final, 1)
	req := &request.Request{Route: route, Deadline: client.deadline.Sub(p.start), Data: client,
		Done: func(final request.Final) { done <- final }}
	p.handle(func() { p.coordinator.Begin(req) })
	poll := time.NewTicker(disconnectPollInterval)
	defer poll.Stop()
	for {
		select {
		case final := <-done:
			return final, true
		case <-poll.C:
			if !clientDisconnected(r) {
				continue
			}
		case <-r.Context().Done():
		}
		p.handle(func() { p.coordinator.ClientLeft(req) })
		return request.Final{}, false
	}
}

// headerSize returns the approximate size of a request's header, never more than the actual size.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// bodyDeadlineSlack is how long after its client's deadline a body may still arrive: the client's clock may have started slightly
// earlier or later.
const bodyDeadlineSlack = time.Second

// readBody reads the whole body of a request. A status other than 0 describes what is wrong with the body. Reading stops when the
// client's deadline has passed.
func readBody(w http.ResponseWriter, r *http.Request, config *manifest.Manifest, deadline time.Time) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if r.ContentLength > int64(config.Limits.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	conn := http.NewResponseController(w)
	timeout := min(time.Until(deadline)+bodyDeadlineSlack, maxTimeout)
	conn.SetReadDeadline(time.Now().Add(timeout)) // a request without a connection needs no deadline
	limited := http.MaxBytesReader(w, r.Body, int64(config.Limits.BodyBytes))
	var body []byte
	var err error
	if n := r.ContentLength; n >= 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = io.ReadAll(limited)
	}
	if status := bodyStatus(err); status != 0 {
		return nil, status
	}
	conn.SetReadDeadline(time.Time{})
	return body, 0
}

// bodyStatus returns the HTTP status for an error while reading a body, or 0 for no error.
func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func writeAnswer(w http.ResponseWriter, final request.Final) {
	h := w.Header()
	switch final.Kind {
	case request.Relayed:
		h["Content-Type"] = nil
		for _, field := range final.Reply.Headers {
			if !strings.EqualFold(field.Name, "Content-Length") {
				h.Add(field.Name, field.Value)
			}
		}
		writeResponse(w, final.Reply.Status, final.Reply.Body)
	case request.Gathered:
		h["Content-Type"] = nil
		h["Part-Seals"] = []string{strings.Join(final.Seals, ", ")}
		if final.Missing > 0 {
			h["Missing-Parts"] = []string{strconv.Itoa(final.Missing)}
		}
		writeResponse(w, http.StatusOK, final.Body)
	case request.Refused:
		writeRefusal(w, final.RetryAfter)
	default:
		w.WriteHeader(failedStatus(final))
	}
}

// failedStatus returns the HTTP status of a failed request that may have run.
func failedStatus(final request.Final) int {
	if final.DeadlineReached {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func writeResponse(w http.ResponseWriter, status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	w.WriteHeader(status)
	w.Write(body)
}

// writeRefusal answers that the request has not run, or may safely be sent again, and when to retry.
func writeRefusal(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
