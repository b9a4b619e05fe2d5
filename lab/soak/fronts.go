package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"peathollow/internal/periodic"
	"peathollow/internal/standin/localsystem"
)

// front is a front machine as clients and the platform see it.
type front struct {
	in    atomic.Bool   // it gets new connections
	shown atomic.Uint64 // the highest version whose effect was seen in this life of its proxy
	life  atomic.Int64
}

const (
	readyEvery  = 500 * time.Millisecond
	probeEvery  = 100 * time.Millisecond
	probeWithin = 900 * time.Millisecond
	missesMost  = 2
)

// watch asks a front whether it is ready, as the platform does.
func (r *run) watch(ctx context.Context, i int) {
	t := time.NewTicker(readyEvery)
	defer t.Stop()
	misses := 0
	for {
		if localsystem.Status(ctx, r.probes, "http://"+r.system.Ready[i]+"/ready", "") == http.StatusOK {
			misses = 0
			r.fronts[i].in.Store(true)
		} else if misses++; misses >= missesMost {
			r.fronts[i].in.Store(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// probe asks a front for the routes that versions add: within one life of its proxy none that was there goes away.
func (r *run) probe(ctx context.Context, i int) {
	n := 0
	periodic.Each(ctx, probeEvery, func() {
		r.probeOnce(ctx, i, n)
		n++
	})
}

// probeOnce asks for the newest version's route, and each second time for one that was there.
func (r *run) probeOnce(ctx context.Context, i, n int) {
	f := &r.fronts[i]
	life := int64(r.process(r.proxyName(i)).Lives())
	if f.life.Swap(life) != life {
		f.shown.Store(0)
	}
	shown, newest := f.shown.Load(), r.operators.newest()
	version := newest
	if shown > 0 && n%2 == 0 {
		version = shown
	}
	if version == 0 {
		return
	}
	id := r.probeID()
	status := localsystem.Status(ctx, r.probes, "http://"+r.system.Fronts[i]+versionPath(version)+"x", id)
	if int64(r.process(r.proxyName(i)).Lives()) != life {
		return
	}
	switch {
	case status == http.StatusNotFound && version <= shown:
		r.violated("went back: front %d no longer has the route of version %d (%s)", i, version, id)
	case status == http.StatusOK && version > shown: // a 503 may say that no configuration is known
		f.shown.Store(version)
	}
}
