package scale

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/request"
	"peathollow/retrybudget"
)

// gatherer drives a request coordinator as proxy does, without sockets: each attempt returns after a few milliseconds of simulated
// time. So the benchmarks measure a mixer's decisions and the merging of parts, without any network I/O.
type gatherer struct {
	coordinator *request.Coordinator
	route       *manifest.Route
	reply       *request.Reply
	now         time.Duration
	actions     []request.Action
	final       request.Final
	sent        int
}

const replicasPerShard = 3

func newGatherer(shards, records int) *gatherer {
	g := &gatherer{route: &manifest.Route{Name: "fan", Idempotent: true, Horizon: 600 * time.Millisecond, Setpoint: 240 * time.Millisecond,
		Retries: 2, TopK: 10, MinCoverage: 0.6, Rank: 1}}
	g.coordinator = request.New(request.Config{Seed: 1, Budget: retrybudget.Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}}, 0)
	g.coordinator.SetMixerCount(830)
	var searchers []request.Searcher
	for i := range shards {
		service := fmt.Sprintf("huvo%04da", i)
		g.route.FanOut = append(g.route.FanOut, service)
		for replica := range replicasPerShard {
			searchers = append(searchers, request.Searcher{ID: fmt.Sprintf("i-%05d-%d", i, replica),
				Address: fmt.Sprintf("10.%d.%d.%d:8080", replica, i/250, i%250),
				Service: service, State: policy.Ready, Distance: replica})
		}
	}
	g.coordinator.SetSearchers(searchers)
	body := make([]byte, 16*records)
	rand.Read(body)
	g.reply = &request.Reply{Status: 200, Seal: "3e1b.07.5a2.600.0.c9f2a4d1", Body: body}
	return g
}

// gather runs one request to its end and reports whether it was answered.
func (g *gatherer) gather() bool {
	done := false
	g.now += 2 * time.Millisecond
	g.coordinator.Advance(g.now)
	g.coordinator.Begin(&request.Request{Route: g.route, Deadline: g.now + time.Second,
		Done: func(f request.Final) { g.final, done = f, true }})
	for range 200 {
		g.actions = g.coordinator.TakeActions(g.actions[:0])
		if done && len(g.actions) == 0 {
			return g.final.Kind == request.Gathered
		}
		g.now += 3 * time.Millisecond
		g.coordinator.Advance(g.now)
		for _, a := range g.actions {
			outcome, readStatus, reply := policy.Succeeded, request.WasRead, g.reply
			if a.Cancel {
				outcome, readStatus, reply = policy.Cancelled, request.MaybeRead, nil
			} else {
				g.sent++
			}
			g.coordinator.Returned(a.Dispatch, outcome, readStatus, reply)
		}
	}
	return false
}

func TestGathererGetsCompleteAnswers(t *testing.T) {
	for _, shards := range []int{1, 4, 300} {
		g := newGatherer(shards, 4)
		for range 3 {
			must.True(t, g.gather())
			must.Eq(t, 0, g.final.Missing)
			must.Len(t, shards, g.final.Seals)
			must.Len(t, 16*min(10, 4*shards), g.final.Body)
			must.True(t, bytes.Compare(g.final.Body[:16], g.final.Body[16:32]) >= 0)
		}
		must.Between(t, 3*shards, g.sent, 6*shards)
	}
}

// processCPU returns the CPU time of this process, garbage collection included. On a shared machine elapsed time is not meaningful.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCPUPerOp reports the CPU time per operation since start.
func reportCPUPerOp(b *testing.B, start time.Duration) {
	b.ReportMetric(float64(processCPU()-start)/float64(b.N)/1000, "cpu-us/op")
}

// BenchmarkGather measures the cost of a fan-out request in package request by number of shards, with 64 records per part as in
// upstream's benchmark, and with 10, as a searcher that knew top-k would send.
func BenchmarkGather(b *testing.B) {
	for _, records := range []int{64, 10} {
		for _, shards := range []int{4, 12, 60, 300, 1200} {
			b.Run(fmt.Sprintf("records=%d/shards=%d", records, shards), func(b *testing.B) {
				g := newGatherer(shards, records)
				must.True(b, g.gather())
				g.sent = 0
				b.ReportAllocs()
				requests, start := 0, processCPU()
				for b.Loop() {
					if !g.gather() {
						b.Fatalf("request %d: %+v", requests, g.final.Kind)
					}
					requests++
				}
				b.ReportMetric(float64(processCPU()-start)/float64(requests*shards), "cpu-ns/part")
				b.ReportMetric(float64(g.sent)/float64(requests*shards), "sends/part")
			})
		}
	}
}

// BenchmarkList measures what a change of one searcher costs a proxy in package request, which always gets the full list.
func BenchmarkList(b *testing.B) {
	for _, count := range []int{36, 1000, 3800} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			coordinator := request.New(request.Config{Seed: 1}, 0)
			searchers := make([]request.Searcher, count)
			for i := range searchers {
				searchers[i] = request.Searcher{ID: fmt.Sprintf("i-%05d-0", i), Address: "10.0.0.1:8080", Service: "huvo0001a"}
			}
			coordinator.SetSearchers(searchers)
			b.ReportAllocs()
			start := processCPU()
			for i := 0; b.Loop(); i++ {
				searchers[count/2].State = policy.SearcherState(i % 2)
				coordinator.SetSearchers(searchers)
			}
			reportCPUPerOp(b, start)
		})
	}
}

// BenchmarkConfig measures the cost of a configuration at both ends: a mixer parses it, and a controller computes a patch for each
// agent that requests one.
func BenchmarkConfig(b *testing.B) {
	for _, shards := range []int{12, 300, 1200} {
		options := DefaultOptions()
		options.Shards = shards
		var docs [2]*manifest.Manifest
		for i := range docs {
			raw, err := document(&options, i+1)
			must.NoError(b, err)
			docs[i], err = manifest.Parse(raw)
			must.NoError(b, err)
		}
		b.Run(fmt.Sprintf("parse/shards=%d", shards), func(b *testing.B) {
			b.ReportAllocs()
			start := processCPU()
			for b.Loop() {
				manifest.Parse(docs[0].Raw)
			}
			reportCPUPerOp(b, start)
			b.ReportMetric(float64(len(docs[0].Raw)), "bytes")
			b.ReportMetric(float64(len(manifest.Pack(docs[0].Raw))), "packed-bytes")
		})
		b.Run(fmt.Sprintf("delta/shards=%d", shards), func(b *testing.B) {
			b.ReportAllocs()
			var p manifest.Patch
			start := processCPU()
			for b.Loop() {
				p = manifest.Delta(docs[0], docs[1])
			}
			reportCPUPerOp(b, start)
			b.ReportMetric(float64(len(p.Steps)), "bytes")
		})
		b.Run(fmt.Sprintf("apply/shards=%d", shards), func(b *testing.B) {
			p := manifest.Delta(docs[0], docs[1])
			b.ReportAllocs()
			start := processCPU()
			for b.Loop() {
				if _, err := p.Apply(docs[0]); err != nil {
					b.Fatal(err)
				}
			}
			reportCPUPerOp(b, start)
		})
	}
}
