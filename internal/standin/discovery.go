package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Host is an entry of the list, in discovery's own form.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// Discovery is a toy discovery service.
type Discovery struct {
	ln  net.Listener
	srv *http.Server

	waiting atomic.Int32 // watches that wait for news

	mu     sync.Mutex
	seq    int
	hosts  []Host
	at     []int         // the version that last changed each of them
	moved  chan struct{} // closed at a change
	silent chan struct{} // not nil while it says nothing; closed when it speaks again
	strand chan struct{} // closed when the calls in hand fall silent
	junk   string
}

// NewDiscovery listens at an address and tells of these searchers.
func NewDiscovery(addr string, hosts []Host) (*Discovery, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	d := &Discovery{ln: ln, moved: make(chan struct{}), strand: make(chan struct{})}
	for _, h := range hosts {
		d.Tell(h)
	}
	d.srv = &http.Server{Handler: d}
	go d.srv.Serve(ln)
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() { d.srv.Close() }

// Tell changes or adds one entry.
func (d *Discovery) Tell(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	if i := slices.IndexFunc(d.hosts, func(x Host) bool { return x.Host == h.Host }); i >= 0 {
		d.hosts[i], d.at[i] = h, d.seq
	} else {
		d.hosts, d.at = append(d.hosts, h), append(d.at, d.seq)
	}
	close(d.moved)
	d.moved = make(chan struct{})
}

// Silence makes it take calls and answer none, till it is told otherwise.
func (d *Discovery) Silence(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case on && d.silent == nil:
		d.silent = make(chan struct{})
	case !on && d.silent != nil:
		close(d.silent)
		d.silent = nil
	}
}

// Strand has the calls that wait fall silent for good; later ones are answered.
func (d *Discovery) Strand() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.strand)
	d.strand = make(chan struct{})
}

// Garble makes it answer each call with this text, till it is empty.
func (d *Discovery) Garble(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.junk = text
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	moved, silent, strand := d.moved, d.silent, d.strand
	current := d.seq > after
	d.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
			return
		}
	}
	if !whole && !current {
		t := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer t.Stop()
		d.waiting.Add(1)
		select {
		case <-strand:
		case <-moved:
		case <-t.C:
		case <-r.Context().Done():
		}
		d.waiting.Add(-1)
		select {
		case <-strand:
			<-r.Context().Done()
			return
		default:
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.junk != "" {
		fmt.Fprint(w, d.junk)
		return
	}
	hosts := []Host{}
	for i, h := range d.hosts {
		if whole && h.Health != "removed" || !whole && d.at[i] > after {
			hosts = append(hosts, h)
		}
	}
	json.NewEncoder(w).Encode(map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts})
}

// Awaited returns once a watch waits for news.
func (d *Discovery) Awaited() {
	for d.waiting.Load() == 0 {
		runtime.Gosched()
	}
}
