package simulation

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"peathollow/registry"
)

const lookEvery = 100 * time.Millisecond

// watch checks what proxies hold, again and again.
func (w *World) watch() {
	for w.pause(lookEvery) {
		w.mu.Lock()
		w.checkOrders()
		for _, f := range w.fronts {
			w.checkFront(f)
		}
		w.mu.Unlock()
	}
}

// settledSince is from when on the core counts as settled.
func (w *World) settledSince() time.Time { return w.disturbed.Add(contactBound) }

// checkOrders: in a stretch in which the core is settled no order waits for longer than the bound.
func (w *World) checkOrders() {
	now := time.Now()
	for o := range w.operator.open {
		from := o.sent
		if s := w.settledSince(); s.After(from) {
			from = s
		}
		if w.operator.taken[o.version] == nil && now.Sub(from) > ackBound {
			w.fail("version %d has no answer for %v while the core is settled", o.version, now.Sub(from))
		}
	}
}

func (w *World) checkFront(f *front) {
	now := time.Now()
	for _, r := range []*relay{&f.agent, &f.proxy} {
		if r.stop == nil {
			continue
		}
		doc := r.board.Document()
		if doc == nil {
			continue
		}
		first := r.version == 0
		switch {
		case doc.Version < r.version:
			w.fail("front %d goes back from version %d to %d", f.no, r.version, doc.Version)
		case first:
			w.checkFirst(f, r, doc.Version)
		}
		r.version = doc.Version
		if body := w.operator.taken[doc.Version]; body != nil && !bytes.Equal(body, doc.Raw) {
			w.fail("front %d has another body of version %d than was acknowledged", f.no, doc.Version)
		}
		if w.operator.refused[string(doc.Raw)] {
			w.fail("front %d has a body of version %d that was refused", f.no, doc.Version)
		}
	}
	if now.Sub(w.settledSince()) < 0 || now.Sub(f.disturbed) < contactBound || f.proxy.stop == nil {
		return
	}
	// In touch from here on.
	if due := w.operator.newest(now.Add(-applyBound)); f.proxy.version < due {
		w.fail("front %d is in touch and has version %d, %d is due", f.no, f.proxy.version, due)
	}
	w.checkList(f, now)
}

// checkFirst: the first configuration of a life is never older than what was acknowledged a bound before, in touch or not.
func (w *World) checkFirst(f *front, r *relay, version uint64) {
	const lag = applyBound + 500*time.Millisecond
	if due := w.operator.newest(time.Now().Add(-lag)); version < due && r == &f.agent {
		w.fail("front %d begins with version %d, %d was acknowledged %v before and more", f.no, version, due, lag)
	}
}

// checkList: a searcher that was told that it may leave is no longer listed as ready a bound later, and those that live
// are listed.
func (w *World) checkList(f *front, now time.Time) {
	var listed map[string]registry.State
	f.proxy.board.WithRegistry(func(r *registry.Registry) bool {
		listed = map[string]registry.State{}
		for e := range r.Service("p") {
			listed[e.ID] = e.State
		}
		return false
	})
	for id, s := range w.searchers {
		state, there := listed[id]
		if !s.leaves.IsZero() && now.Sub(s.leaves) > drainBound && there && state == registry.Ready {
			w.fail("front %d lists %s as ready %v after it was told that it may leave", f.no, id, now.Sub(s.leaves))
		}
		if !s.over && s.asksFrom.IsZero() && !there && now.Sub(s.born) > 2*contactBound && now.Sub(w.settledSince()) > beatPeriod {
			w.fail("front %d does not list %s", f.no, id)
		}
	}
}

// ending: trouble ends, and all that was acknowledged is there; orders and drains are taken again.
func (w *World) ending() {
	w.calm()
	time.Sleep(12 * time.Second)
	c := newCaller(w.net.Start("10.9.0.99"))
	w.mu.Lock()
	due := w.operator.newest(time.Now())
	last := &order{version: w.operator.top + 1, sent: time.Now()}
	w.operator.top++
	last.body = document(last.version, "last")
	w.mu.Unlock()
	for _, addr := range w.controls() {
		status, body := c.call(http.MethodGet, addr, "/config", nil)
		w.checkRead(addr, status, body, due)
	}
	w.mu.Lock()
	w.operator.open[last] = true
	w.mu.Unlock()
	w.insist(c, last)
	time.Sleep(applyBound + time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.fronts {
		if f.proxy.version < last.version {
			w.fail("in calm: front %d has version %d after the last change %d", f.no, f.proxy.version, last.version)
		}
	}
}

func (w *World) checkRead(addr string, status int, body []byte, due uint64) {
	var version uint64
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == http.StatusNotFound && due == 0 {
		return
	}
	if status != http.StatusOK {
		w.fail("in calm: %s gives no configuration: %d %s", addr, status, body)
		return
	}
	if _, err := fmt.Sscanf(string(body), `{"config-version":%d`, &version); err != nil || version < due {
		w.fail("in calm: %s gives version %d, %d was acknowledged", addr, version, due)
	}
	if taken := w.operator.taken[version]; taken != nil && !bytes.Equal(taken, body) {
		w.fail("in calm: %s gives another body of version %d than was acknowledged", addr, version)
	}
}
