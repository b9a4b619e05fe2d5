package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"peathollow/client"
)

// fakeControllers are HTTP servers that each respond in one way. called records the order of the calls.
type fakeControllers struct {
	mu     sync.Mutex
	called []string
}

func (p *fakeControllers) start(t *testing.T, name string, answer http.HandlerFunc) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.called = append(p.called, name)
		p.mu.Unlock()
		answer(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		fmt.Fprintf(w, `{"error":"says %d"}`, code)
	}
}

func redirectTo(addr *string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+*addr+r.URL.Path, http.StatusTemporaryRedirect)
	}
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), d)
	t.Cleanup(stop)
	return ctx
}

// TestCallTriesNextController checks that a call goes on after a controller that refuses connections, one that fails, one
// that is overloaded, one that never responds and one that redirects to itself, until one redirects it, in two hops, to a
// controller that responds.
func TestCallTriesNextController(t *testing.T) {
	var p fakeControllers
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, dead.Close())
	var good, hop, loop string
	good = p.start(t, "good", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Method+r.URL.Path) })
	hop = p.start(t, "hop", redirectTo(&good))
	loop = p.start(t, "circle", redirectTo(&loop))
	ended := make(chan struct{})
	defer close(ended)
	silent := p.start(t, "silent", func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	})
	c := client.New(dead.Addr().String(), p.start(t, "fails", status(500)), p.start(t, "busy", status(429)), silent, loop,
		p.start(t, "first", redirectTo(&hop)))
	defer c.Close()
	answer, _, err := c.Call(within(t, 30*time.Second), http.MethodPut, "/x", []byte("body"))
	must.NoError(t, err)
	must.Eq(t, "PUT/x", string(answer))
	must.Eq(t, "fails busy silent circle circle circle first hop good", strings.Join(p.called, " "))
	// The next call starts with the controller that led to the response.
	_, _, err = c.Call(within(t, 30*time.Second), http.MethodGet, "/y", nil)
	must.NoError(t, err)
	must.Eq(t, "first hop good", strings.Join(p.called[9:], " "))
}

func TestCallStopsWhenRefused(t *testing.T) {
	for code, calls := range map[int]int{400: 1, 409: 1, 412: 1, 413: 1, 422: 1, 403: 3, 404: 3} {
		var p fakeControllers
		c := client.New(p.start(t, "a", status(code)), p.start(t, "b", status(code)))
		_, _, err := c.Call(within(t, 30*time.Second), http.MethodGet, "/x", nil)
		var refused *client.RefusedError
		must.True(t, errors.As(err, &refused), must.Sprint(err))
		must.Eq(t, code, refused.Status)
		must.Eq(t, fmt.Sprint("says ", code), refused.Reason)
		must.Len(t, calls, p.called, must.Sprint(code))
		c.Close()
	}
	_, _, err := client.New().Call(within(t, time.Second), http.MethodGet, "/x", nil)
	must.ErrorContains(t, err, "no control address")
}

func TestCallReturnsAtDeadline(t *testing.T) {
	var p fakeControllers
	c := client.New(p.start(t, "a", status(503)))
	defer c.Close()
	_, peer, err := c.Call(within(t, 2*time.Second), http.MethodGet, "/x", nil)
	must.ErrorContains(t, err, "GET /x: deadline reached, last error: peer "+peer+": status 503: says 503")
}

// TestWaitForVersion checks that WaitForVersion returns only when the slowest node reports the version.
func TestWaitForVersion(t *testing.T) {
	var p fakeControllers
	var self string
	calls := 0
	self = p.start(t, "core", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			json.NewEncoder(w).Encode(client.Status{Members: []client.Member{{Control: self}}})
			return
		}
		calls++ // calls are sequential
		json.NewEncoder(w).Encode([]client.Node{{Node: "a", Role: client.Controller, Version: 7},
			{Node: "b", Role: client.Front, Version: uint64(5 + calls/2)}})
	})
	c := client.New(self)
	defer c.Close()
	var seen []string
	must.NoError(t, c.WaitForVersion(within(t, 30*time.Second), 7, func(have, of int) {
		seen = append(seen, fmt.Sprint(have, "/", of))
	}))
	must.Eq(t, []string{"1/2", "2/2"}, seen)
	err := c.WaitForVersion(within(t, 300*time.Millisecond), 100, func(int, int) {})
	must.ErrorContains(t, err, "version 100 is not reported by a, b")
}
