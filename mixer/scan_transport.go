package mixer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"peathollow/attempt"
	"peathollow/internal/proto"
)

// The first stage of a scan: a request is read whole, passed to the owner as a scan, and its one final answer awaited.

// scanTransport is the http.RoundTripper behind the reverse proxy. It answers each request by a scan.
type scanTransport struct {
	owner        *owner
	limits       *Limits
	log          *zap.Logger
	closeClients func() bool
	largeBodies  chan struct{} // semaphore with one entry for each large body in flight
}

// handler returns the handler of all requests but /ready.
func (t *scanTransport) handler() http.Handler {
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", "searchers"
		},
		Transport:  t,
		BufferPool: newBufferPool(t.limits.CopyBufferBytes),
		// ReverseProxy has removed the hop-by-hop headers by now, so Connection stays if it is set here.
		ModifyResponse: func(res *http.Response) error {
			if res.Close || t.closeClients() {
				res.Header.Set("Connection", "close")
			}
			return nil
		},
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			if r.Context().Err() == nil {
				t.log.Warn("request failed without an answer", zap.Error(err))
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
		},
	}
}

// bufferPool provides the buffers through which the proxy copies answers. Its default is 32 KB for each answer, which has
// only some hundred bytes.
type bufferPool struct{ sync.Pool }

func newBufferPool(size int) *bufferPool {
	return &bufferPool{sync.Pool{New: func() any { return new(make([]byte, size)) }}}
}

func (b *bufferPool) Get() []byte  { return *b.Pool.Get().(*[]byte) }
func (b *bufferPool) Put(x []byte) { b.Pool.Put(&x) }

func (t *scanTransport) RoundTrip(r *http.Request) (res *http.Response, err error) {
	defer func() {
		// Without this the server would close the connection without an answer.
		if e := recover(); e != nil {
			t.log.Error("panic while handling a request", zap.Any("panic", e))
			res, err = textResponse(r, http.StatusInternalServerError, "abandoned"), nil
		}
	}()
	if r.Method != http.MethodPost {
		return textResponse(r, http.StatusMethodNotAllowed, "only POST is supported"), nil
	}
	if r.ContentLength > int64(t.limits.MaxBodyBytes) {
		return t.bodyTooLong(r), nil
	}
	body, release, err := t.readBody(r)
	defer release()
	arrived := time.Now()
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if len(body) > t.limits.MaxBodyBytes {
		return t.bodyTooLong(r), nil
	}
	q, err := proto.ReadQuery(r, body)
	if err != nil {
		return textResponse(r, http.StatusBadRequest, err.Error()), nil
	}
	q.Wait = min(q.Wait, t.limits.MaxWait)
	a, err := t.await(r.Context(), q, arrived)
	if err != nil {
		return nil, err
	}
	switch a.Kind {
	case attempt.Completed:
		res := newResponse(r, http.StatusOK, a.Body)
		res.Header.Set("Content-Type", "application/json")
		return res, nil
	case attempt.Throttled:
		res := textResponse(r, http.StatusServiceUnavailable, "throttled")
		if a.RetryAfter > 0 {
			res.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		return res, nil
	case attempt.Invalid:
		return textResponse(r, http.StatusBadRequest, a.Err.Error()), nil
	}
	return textResponse(r, http.StatusInternalServerError, "abandoned"), nil
}

// readBody reads a request's body. A large one waits for one of a few places and holds it until release is called:
// hundreds of them at once would exceed the memory of a small mixer. The usual bodies are small and do not wait.
func (t *scanTransport) readBody(r *http.Request) (body []byte, release func(), err error) {
	release = func() {}
	if r.Body == nil {
		return nil, release, nil
	}
	defer r.Body.Close()
	body, err = io.ReadAll(io.LimitReader(r.Body, int64(t.limits.SmallBodyBytes)+1))
	if err != nil || len(body) <= t.limits.SmallBodyBytes {
		return body, release, err
	}
	timeout := time.NewTimer(t.limits.ReadTimeout)
	defer timeout.Stop()
	select {
	case t.largeBodies <- struct{}{}:
		release = func() { <-t.largeBodies }
	case <-timeout.C:
		return nil, release, errors.New("too many large bodies in flight")
	}
	rest, err := io.ReadAll(io.LimitReader(r.Body, int64(t.limits.MaxBodyBytes-t.limits.SmallBodyBytes)))
	return append(body, rest...), release, err
}

// await passes the scan to the owner and waits for its answer, or for the client to disconnect.
func (t *scanTransport) await(ctx context.Context, q proto.Query, arrived time.Time) (attempt.Answer, error) {
	reply := make(chan attempt.Answer, 1)
	s := &attempt.Scan{Query: q, Reply: func(a attempt.Answer) { reply <- a }}
	if !t.owner.post(func() { t.owner.Admit(s, time.Since(arrived)) }) {
		return attempt.Answer{Kind: attempt.Abandoned}, nil
	}
	// The policy answers in time. This timeout covers the case that the mixer itself is stalled.
	timeout := time.NewTimer(time.Until(arrived.Add(max(0, q.Wait) + t.limits.Slack)))
	defer timeout.Stop()
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		t.owner.post(func() { t.owner.ClientLeft(s) })
		return attempt.Answer{}, ctx.Err()
	case <-timeout.C:
		t.owner.post(func() { t.owner.ClientLeft(s) })
		return attempt.Answer{Kind: attempt.Abandoned}, nil
	}
}

// bodyTooLong returns a response that also closes the connection, so that the rest of the body need not be read.
func (t *scanTransport) bodyTooLong(r *http.Request) *http.Response {
	res := textResponse(r, http.StatusRequestEntityTooLarge, fmt.Sprintf("body: more than %d bytes", t.limits.MaxBodyBytes))
	res.Close = true
	return res
}

func textResponse(r *http.Request, status int, text string) *http.Response {
	res := newResponse(r, status, append([]byte(text), '\n'))
	res.Header.Set("Content-Type", "text/plain; charset=utf-8")
	return res
}

func newResponse(r *http.Request, status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r,
		Header: http.Header{"Content-Length": {strconv.Itoa(len(body))}}, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body))}
}
