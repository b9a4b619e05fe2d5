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

// Host is one entry of the searcher list, in the JSON form of the discovery service.
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

// Discovery is a stand-in for the discovery service.
type Discovery struct {
	ln  net.Listener
	srv *http.Server

	waiting atomic.Int32 // watches that wait for updates

	mu        sync.Mutex
	seq       int
	hosts     []Host
	changedAt []int         // the version that last changed each host
	changed   chan struct{} // closed at each change and replaced
	silent    chan struct{} // not nil while no call is answered; closed when answering resumes
	stranded  chan struct{} // closed when the calls in flight are to stay unanswered
	garbage   string
}

// NewDiscovery starts a discovery service at an address with a list of searchers.
func NewDiscovery(addr string, hosts []Host) (*Discovery, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	d := &Discovery{ln: ln, changed: make(chan struct{}), stranded: make(chan struct{})}
	for _, h := range hosts {
		d.SetHost(h)
	}
	d.srv = &http.Server{Handler: d}
	go d.srv.Serve(ln)
	return d, nil
}

// Addr returns the address at which the service listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close stops the service.
func (d *Discovery) Close() { d.srv.Close() }

// SetHost adds or replaces one entry of the list.
func (d *Discovery) SetHost(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	if i := slices.IndexFunc(d.hosts, func(x Host) bool { return x.Host == h.Host }); i >= 0 {
		d.hosts[i], d.changedAt[i] = h, d.seq
	} else {
		d.hosts, d.changedAt = append(d.hosts, h), append(d.changedAt, d.seq)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetSilent sets whether the service accepts calls without answering them.
func (d *Discovery) SetSilent(on bool) {
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

// StrandWatches leaves the watches that wait now unanswered for good. Later calls are answered.
func (d *Discovery) StrandWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.stranded)
	d.stranded = make(chan struct{})
}

// SetGarbage makes the service answer each call with this text. An empty text restores normal answers.
func (d *Discovery) SetGarbage(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.garbage = text
}

// ServeHTTP answers a request for the whole list, or a watch for the changes after a version.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	changed, silent, stranded := d.changed, d.silent, d.stranded
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
		timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timeout.Stop()
		d.waiting.Add(1)
		select {
		case <-stranded:
		case <-changed:
		case <-timeout.C:
		case <-r.Context().Done():
		}
		d.waiting.Add(-1)
		select {
		case <-stranded:
			<-r.Context().Done()
			return
		default:
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.garbage != "" {
		fmt.Fprint(w, d.garbage)
		return
	}
	hosts := []Host{}
	for i, h := range d.hosts {
		if whole && h.Health != "removed" || !whole && d.changedAt[i] > after {
			hosts = append(hosts, h)
		}
	}
	json.NewEncoder(w).Encode(map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts})
}

// AwaitWatch returns once a watch waits for updates.
func (d *Discovery) AwaitWatch() {
	for d.waiting.Load() == 0 {
		runtime.Gosched()
	}
}
