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

// The first stage: a request is read whole, handed over as a scan, and its one final answer awaited.

// takeIn is the transport behind the reverse proxy.
type takeIn struct {
	o       *owner
	lim     *Limits
	log     *zap.Logger
	leaving func() bool
	big     chan struct{} // holds one for each long body in hand
}

// front is the handler of all that is not /ready.
func (t *takeIn) front() http.Handler {
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", "searchers"
		},
		Transport:  t,
		BufferPool: newBuffers(t.lim.Copy),
		// Hop-by-hop headers are gone by now, so this one is set where it stays.
		ModifyResponse: func(res *http.Response) error {
			if res.Close || t.leaving() {
				res.Header.Set("Connection", "close")
			}
			return nil
		},
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			if r.Context().Err() == nil {
				t.log.Warn("request not answered", zap.Error(err))
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadGateway)
		},
	}
}

// buffers keeps what the proxy copies answers through. Its own would be 32 KB for each answer of some hundred bytes.
type buffers struct{ sync.Pool }

func newBuffers(size int) *buffers {
	return &buffers{sync.Pool{New: func() any { return new(make([]byte, size)) }}}
}

func (b *buffers) Get() []byte  { return *b.Pool.Get().(*[]byte) }
func (b *buffers) Put(x []byte) { b.Pool.Put(&x) }

func (t *takeIn) RoundTrip(r *http.Request) (res *http.Response, err error) {
	defer func() {
		// The server would end the connection without an answer.
		if e := recover(); e != nil {
			t.log.Error("panic with a request", zap.Any("panic", e))
			res, err = plain(r, http.StatusInternalServerError, "abandoned"), nil
		}
	}()
	if r.Method != http.MethodPost {
		return plain(r, http.StatusMethodNotAllowed, "only POST is taken"), nil
	}
	if r.ContentLength > int64(t.lim.Body) {
		return t.tooLong(r), nil
	}
	body, free, err := t.body(r)
	defer free()
	at := time.Now()
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	if len(body) > t.lim.Body {
		return t.tooLong(r), nil
	}
	q, err := proto.ReadQuery(r, body)
	if err != nil {
		return plain(r, http.StatusBadRequest, err.Error()), nil
	}
	q.Wait = min(q.Wait, t.lim.Hold)
	a, err := t.await(r.Context(), q, at)
	if err != nil {
		return nil, err
	}
	switch a.Kind {
	case attempt.Completed:
		res := reply(r, http.StatusOK, a.Body)
		res.Header.Set("Content-Type", "application/json")
		return res, nil
	case attempt.Throttled:
		res := plain(r, http.StatusServiceUnavailable, "throttled")
		if a.RetryAfter > 0 {
			res.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		return res, nil
	case attempt.Invalid:
		return plain(r, http.StatusBadRequest, a.Err.Error()), nil
	}
	return plain(r, http.StatusInternalServerError, "abandoned"), nil
}

// body reads a request's body. A long one waits for one of few places, kept till free is called: hundreds of them
// at once would take more memory than a small mixer has, while the usual ones are short and wait for nobody.
func (t *takeIn) body(r *http.Request) (body []byte, free func(), err error) {
	free = func() {}
	if r.Body == nil {
		return nil, free, nil
	}
	defer r.Body.Close()
	body, err = io.ReadAll(io.LimitReader(r.Body, int64(t.lim.Small)+1))
	if err != nil || len(body) <= t.lim.Small {
		return body, free, err
	}
	patience := time.NewTimer(t.lim.ClientRead)
	defer patience.Stop()
	select {
	case t.big <- struct{}{}:
		free = func() { <-t.big }
	case <-patience.C:
		return nil, free, errors.New("too many long ones in hand")
	}
	rest, err := io.ReadAll(io.LimitReader(r.Body, int64(t.lim.Body-t.lim.Small)))
	return append(body, rest...), free, err
}

// await hands the scan over and waits for its answer, or for the client to leave.
func (t *takeIn) await(ctx context.Context, q proto.Query, at time.Time) (attempt.Answer, error) {
	reply := make(chan attempt.Answer, 1)
	s := &attempt.Scan{Query: q, Reply: func(a attempt.Answer) { reply <- a }}
	if !t.o.post(func() { t.o.Admit(s, time.Since(at)) }) {
		return attempt.Answer{Kind: attempt.Abandoned}, nil
	}
	// The module answers in time; this guards against a mixer that is itself held up.
	late := time.NewTimer(time.Until(at.Add(max(0, q.Wait) + t.lim.Slack)))
	defer late.Stop()
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		t.o.post(func() { t.o.ClientLeft(s) })
		return attempt.Answer{}, ctx.Err()
	case <-late.C:
		t.o.post(func() { t.o.ClientLeft(s) })
		return attempt.Answer{Kind: attempt.Abandoned}, nil
	}
}

// tooLong ends the connection with its answer: the rest of the body is not worth reading.
func (t *takeIn) tooLong(r *http.Request) *http.Response {
	res := plain(r, http.StatusRequestEntityTooLarge, fmt.Sprintf("body: more than %d bytes", t.lim.Body))
	res.Close = true
	return res
}

func plain(r *http.Request, status int, text string) *http.Response {
	res := reply(r, status, append([]byte(text), '\n'))
	res.Header.Set("Content-Type", "text/plain; charset=utf-8")
	return res
}

func reply(r *http.Request, status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: r,
		Header: http.Header{"Content-Length": {strconv.Itoa(len(body))}}, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body))}
}
