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

// BenchmarkSingle and BenchmarkGathered measure one client request over loopback, including client, proxy and searchers.
func BenchmarkSingle(b *testing.B)   { benchmark(b, "/one/x") }
func BenchmarkGathered(b *testing.B) { benchmark(b, "/all/x") }

func benchmark(b *testing.B, path string) {
	const shards = 4
	now := time.Now()
	replica := distribution.NewReplica(registry.New(registry.Config{Name: "h", Start: now}))
	text := `{"config-version":1,"routes":[{"name":"a","host":"h","path-prefix":"/all/","mode":"idempotent","horizon-ms":2000,"setpoint-ms":500,"fan-out":["s0","s1","s2","s3"],"retries":2,"top-k":10,"min-coverage":0.5},
	{"name":"o","host":"h","path-prefix":"/one/","mode":"non_idempotent","horizon-ms":2000,"setpoint-ms":500,"plant":"s0","retries":1}],
	"plants":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"s3"}],"limits":{}}`
	config, err := manifest.Parse([]byte(text))
	if err != nil {
		b.Fatal(err)
	}
	replica.SetDocument(config)
	for i := range shards {
		s, err := faulty.Start(faulty.Options{ID: fmt.Sprint("i", i), Capacity: 64, Queue: 1000})
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		replica.WithRegistry(func(r *registry.Registry) bool {
			return r.Heartbeat(now, registry.Searcher{ID: fmt.Sprint("i", i), Plant: fmt.Sprint("s", i), Address: s.Addr(), Calls: 1}).Published
		})
	}
	replica.WithRegistry(func(r *registry.Registry) bool {
		r.Restore(now, []registry.Entry{{Searcher: registry.Searcher{ID: "old", Plant: "x", Address: "y"}, Source: "z", No: 1}})
		return true
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	conf := &settings.Settings{IP: "127.0.0.1", Front: freeAddress(b), Readiness: freeAddress(b), PortFirst: 0,
		BeatPeriod: time.Second, Grace: time.Second, RetryWindow: time.Second, RetryRatio: 1, RetrySlack: 10}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	conf.PortFirst = ln.Addr().(*net.TCPAddr).Port - 2
	go (&distribution.Server{Replica: replica}).Serve(ctx, ln)
	q := New(conf, "q", &log.Logger{Level: log.ErrorLevel})
	go q.Run(ctx)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	get := func() int {
		r, _ := http.NewRequest("GET", "http://"+conf.Front+path, nil)
		r.Host = "h"
		r.Header.Set("Attempt-Id", "0123456789abcdef")
		r.Header.Set("Deadline-Ms", "2000")
		response, err := client.Do(r)
		if err != nil {
			return 0
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		return response.StatusCode
	}
	for get() != http.StatusOK {
		if time.Since(now) > 20*time.Second {
			b.Fatal("the proxy did not start serving within 20 s")
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	failed := 0
	for b.Loop() {
		if get() != http.StatusOK {
			failed++
		}
	}
	b.ReportMetric(float64(failed), "failed")
}

func freeAddress(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
