package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"peathollow/distribution"
	"peathollow/internal/settings"
	"peathollow/internal/standin/faulty"
	"peathollow/manifest"
	"peathollow/registry"
)

// BenchmarkSingle and BenchmarkGathered cost a client's request over loopback: client, proxy and searchers together.
func BenchmarkSingle(b *testing.B)   { benchmark(b, "/one/x") }
func BenchmarkGathered(b *testing.B) { benchmark(b, "/all/x") }

func benchmark(b *testing.B, path string) {
	const shards = 4
	now := time.Now()
	board := distribution.NewReplica(registry.New(registry.Config{Name: "h", Start: now}))
	config := `{"config-version":1,"routes":[{"name":"a","host":"h","path-prefix":"/all/","mode":"idempotent","horizon-ms":2000,"setpoint-ms":500,"fan-out":["s0","s1","s2","s3"],"retries":2,"top-k":10,"min-coverage":0.5},
	{"name":"o","host":"h","path-prefix":"/one/","mode":"non_idempotent","horizon-ms":2000,"setpoint-ms":500,"plant":"s0","retries":1}],
	"plants":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"s3"}],"limits":{}}`
	m, err := manifest.Parse([]byte(config))
	if err != nil {
		b.Fatal(err)
	}
	board.SetDocument(m)
	for i := range shards {
		s, err := faulty.Start(faulty.Options{ID: fmt.Sprint("i", i), Capacity: 64, Queue: 1000})
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		board.WithRegistry(func(r *registry.Registry) bool {
			return r.Heartbeat(now, registry.Searcher{ID: fmt.Sprint("i", i), Plant: fmt.Sprint("s", i), Address: s.Addr(), Calls: 1}).Published
		})
	}
	board.WithRegistry(func(r *registry.Registry) bool {
		r.Restore(now, []registry.Entry{{Searcher: registry.Searcher{ID: "old", Plant: "x", Address: "y"}, Source: "z", No: 1}})
		return true
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	set := &settings.Settings{IP: "127.0.0.1", Front: free(b), Readiness: free(b), PortFirst: 0, BeatPeriod: time.Second, Grace: time.Second,
		RetryWindow: time.Second, RetryRatio: 1, RetrySlack: 10}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	set.PortFirst = ln.Addr().(*net.TCPAddr).Port - 2
	go (&distribution.Server{Replica: board}).Serve(ctx, ln)
	q := New(set, "q", &log.Logger{Level: log.ErrorLevel})
	go q.Run(ctx)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ask := func() int {
		r, _ := http.NewRequest("GET", "http://"+set.Front+path, nil)
		r.Host = "h"
		r.Header.Set("Attempt-Id", "0123456789abcdef")
		r.Header.Set("Deadline-Ms", "2000")
		a, err := c.Do(r)
		if err != nil {
			return 0
		}
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
		return a.StatusCode
	}
	for ask() != http.StatusOK {
		if time.Since(now) > 20*time.Second {
			b.Fatal("it does not serve")
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	bad := 0
	for b.Loop() {
		if ask() != http.StatusOK {
			bad++
		}
	}
	b.ReportMetric(float64(bad), "failed")
}

func free(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
