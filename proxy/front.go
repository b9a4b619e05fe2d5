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

// ServeHTTP takes one request of a client and gives it its one answer.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	h := w.Header()
	h["Date"] = nil
	if p.leaving.Load() || len(r.TransferEncoding) > 0 {
		// A request in chunks may have had a length too, which net/http drops without a word: by that length, what follows
		// would be part of its body, so nothing may follow.
		h.Set("Connection", "close")
	}
	doc := p.doc.Load()
	if doc == nil {
		p.turnedAway(r, http.StatusServiceUnavailable, "no configuration is known yet")
		refuse(w, 500*time.Millisecond)
		return
	}
	if headSize(r) > max(doc.Limits.HeaderBytes, 16<<10) {
		h.Set("Connection", "close")
		p.turnedAway(r, http.StatusRequestHeaderFieldsTooLarge, "its head is too large")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := doc.Route(r.Host, path)
	if route == nil || path == "" || path[0] != '/' {
		p.turnedAway(r, http.StatusNotFound, "no route for its host and path")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := r.Header.Get(attemptID)
	if id == "" {
		p.turnedAway(r, http.StatusBadRequest, "it has no Attempt-Id")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	left := route.Horizon
	if ms, err := strconv.ParseFloat(r.Header.Get(deadlineMs), 64); err == nil && ms >= 0 {
		left = min(left, time.Duration(min(ms, 1e9)*float64(time.Millisecond)))
	}
	t := &taken{until: at.Add(left)}
	body, status := readBody(w, r, doc, t.until)
	if status != 0 {
		h.Set("Connection", "close")
		p.turnedAway(r, status, "its body was cut off, malformed, too large or too late")
		w.WriteHeader(status)
		return
	}
	t.Request = upstream.Request{Method: r.Method, Path: r.RequestURI, Host: r.Host, AttemptID: id, Body: body}
	for name, vs := range r.Header {
		if name == attemptID || name == deadlineMs || lists(r.Header["Connection"], name) {
			continue
		}
		for _, v := range vs {
			t.Headers = append(t.Headers, upstream.Header{Name: name, Value: v})
		}
	}
	f, ok := p.await(r, route, t)
	if !ok {
		p.sight.clientLeft()
		panic(http.ErrAbortHandler) // without an answer, and without its next request
	}
	p.explain(&failure{attempt: id, route: route.Name, version: doc.Version, took: time.Since(at), left: left}, f)
	answer(w, f)
}

// lists tells whether the client's Connection names a field, which then concerns this connection only.
func lists(connection []string, name string) bool {
	for _, v := range connection {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// await hands the request over and waits for its answer; false if the client left.
func (p *Proxy) await(r *http.Request, route *manifest.Route, t *taken) (request.Final, bool) {
	done := make(chan request.Final, 1)
	req := &request.Request{Route: route, Deadline: t.until.Sub(p.start), Data: t, Done: func(f request.Final) { done <- f }}
	p.do(func() { p.life.Begin(req) })
	ask := time.NewTicker(askEvery)
	defer ask.Stop()
	for {
		select {
		case f := <-done:
			return f, true
		case <-ask.C:
			if !hasLeft(r) {
				continue
			}
		case <-r.Context().Done():
		}
		p.do(func() { p.life.ClientLeft(req) })
		return request.Final{}, false
	}
}

// headSize is how long a request's head was, about: never more.
func headSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, vs := range r.Header {
		for _, v := range vs {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// bodyRoom is how long after its client's deadline a body may still come: the client's clock started a moment earlier or later.
const bodyRoom = time.Second

// readBody reads a request's body whole; a status other than 0 says what is wrong with it. One that is not there when the client's
// time is over is not waited for.
func readBody(w http.ResponseWriter, r *http.Request, doc *manifest.Manifest, until time.Time) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if r.ContentLength > int64(doc.Limits.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	conn := http.NewResponseController(w)
	most := min(time.Until(until)+bodyRoom, timeMost)
	conn.SetReadDeadline(time.Now().Add(most)) // what has no connection needs no bound
	in := http.MaxBytesReader(w, r.Body, int64(doc.Limits.BodyBytes))
	var body []byte
	var err error
	if n := r.ContentLength; n >= 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(in, body)
	} else {
		body, err = io.ReadAll(in)
	}
	if status := bodyStatus(err); status != 0 {
		return nil, status
	}
	conn.SetReadDeadline(time.Time{})
	return body, 0
}

// bodyStatus says what a fault in reading a body is answered with; 0: there is none.
func bodyStatus(err error) int {
	var long *http.MaxBytesError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &long):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func answer(w http.ResponseWriter, f request.Final) {
	h := w.Header()
	switch f.Kind {
	case request.Relayed:
		h["Content-Type"] = nil
		for _, x := range f.Reply.Headers {
			if !strings.EqualFold(x.Name, "Content-Length") {
				h.Add(x.Name, x.Value)
			}
		}
		write(w, f.Reply.Status, f.Reply.Body)
	case request.Gathered:
		h["Content-Type"] = nil
		h["Part-Seals"] = []string{strings.Join(f.Seals, ", ")}
		if f.Missing > 0 {
			h["Missing-Parts"] = []string{strconv.Itoa(f.Missing)}
		}
		write(w, http.StatusOK, f.Body)
	case request.Refused:
		refuse(w, f.RetryAfter)
	default:
		w.WriteHeader(failedStatus(f))
	}
}

// failedStatus is the status of a request that may have run.
func failedStatus(f request.Final) int {
	if f.DeadlineReached {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func write(w http.ResponseWriter, status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	w.WriteHeader(status)
	w.Write(body)
}

// refuse says that the request has not run, or may run again, and when to come back.
func refuse(w http.ResponseWriter, in time.Duration) {
	if in > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(in.Seconds(), 'f', 3, 64)}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
