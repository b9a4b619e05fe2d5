package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
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
		if r.get(ctx, "http://"+r.system.Ready[i]+"/ready", "") == http.StatusOK {
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
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	f := &r.fronts[i]
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
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
			continue
		}
		id := r.probeID()
		status := r.get(ctx, "http://"+r.system.Fronts[i]+versionPath(version)+"x", id)
		if int64(r.process(r.proxyName(i)).Lives()) != life {
			continue
		}
		switch {
		case status == http.StatusNotFound && version <= shown:
			r.violated("went back: front %d no longer has the route of version %d (%s)", i, version, id)
		case status == http.StatusOK && version > shown: // a 503 may say that no configuration is known
			f.shown.Store(version)
		}
	}
}

// get asks for a page; 0 if there is no answer.
func (r *run) get(ctx context.Context, url, attempt string) int {
	ctx, stop := context.WithTimeout(ctx, probeWithin)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	if attempt != "" {
		req.Host = host
		req.Header.Set("Attempt-Id", attempt)
		req.Header.Set("Deadline-Ms", "900")
	}
	res, err := r.probes.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}
