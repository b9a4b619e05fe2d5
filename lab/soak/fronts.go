package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"peathollow/internal/periodic"
	"peathollow/internal/standin/localsystem"
)

// front is the state of a front machine as clients and the platform see it.
type front struct {
	ready           atomic.Bool   // whether it gets new connections
	observedVersion atomic.Uint64 // the highest version seen in effect in this incarnation of its proxy
	incarnation     atomic.Int64
}

const (
	readyInterval = 500 * time.Millisecond
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 900 * time.Millisecond
	maxMisses     = 2
)

// watchReadiness polls the readiness of a front, like the platform does.
func (r *run) watchReadiness(ctx context.Context, i int) {
	t := time.NewTicker(readyInterval)
	defer t.Stop()
	misses := 0
	for {
		if localsystem.Status(ctx, r.probes, "http://"+r.system.Ready[i]+"/ready", "") == http.StatusOK {
			misses = 0
			r.fronts[i].ready.Store(true)
		} else if misses++; misses >= maxMisses {
			r.fronts[i].ready.Store(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// probeRoutes polls a front for the routes that versions add: within one incarnation of its proxy no route may disappear.
func (r *run) probeRoutes(ctx context.Context, i int) {
	n := 0
	periodic.Run(ctx, probeInterval, func() {
		r.probeOnce(ctx, i, n)
		n++
	})
}

// probeOnce requests the route of the newest version, and every second time one that the front already had.
func (r *run) probeOnce(ctx context.Context, i, n int) {
	f := &r.fronts[i]
	incarnation := int64(r.process(r.proxyName(i)).Incarnations())
	if f.incarnation.Swap(incarnation) != incarnation {
		f.observedVersion.Store(0)
	}
	observed, newest := f.observedVersion.Load(), r.operators.newest()
	version := newest
	if observed > 0 && n%2 == 0 {
		version = observed
	}
	if version == 0 {
		return
	}
	id := r.probeID()
	status := localsystem.Status(ctx, r.probes, "http://"+r.system.Fronts[i]+versionPath(version)+"x", id)
	if int64(r.process(r.proxyName(i)).Incarnations()) != incarnation {
		return
	}
	switch {
	case status == http.StatusNotFound && version <= observed:
		r.violation("went back: front %d no longer has the route of version %d (%s)", i, version, id)
	case status == http.StatusOK && version > observed: // a 503 may mean that the front has no configuration yet
		f.observedVersion.Store(version)
	}
}
