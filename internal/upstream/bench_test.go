package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// benchResponse is a typical response of a searcher, with 64 records.
var benchResponse = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nAnswer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"Searcher-Load: 3,0,8\r\nKeep-Alive: timeout=15\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("0123456789abcdef", 64)

const benchEnv = "PEATHOLLOW_BENCH_PEER"

// TestMain serves as the peer of the benchmarks if the environment asks for it. The peer is a process of its own, so that
// the measured processor time is that of the client side only.
func TestMain(m *testing.M) {
	if os.Getenv(benchEnv) == "" {
		os.Exit(m.Run())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	os.Stdout.WriteString(ln.Addr().String() + "\n")
	go func() { io.Copy(io.Discard, os.Stdin); os.Exit(0) }()
	for {
		c, err := ln.Accept()
		if err != nil {
			os.Exit(1)
		}
		go func() {
			in := make([]byte, 4096)
			for {
				if n, err := c.Read(in); err != nil || !bytes.HasSuffix(in[:n], blankLine) {
					c.Close()
					return
				}
				io.WriteString(c, benchResponse)
			}
		}()
	}
}

func benchPeer(b *testing.B) string {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), benchEnv+"=1", "GOMAXPROCS=1")
	in, err := cmd.StdinPipe()
	must.NoError(b, err)
	out, err := cmd.StdoutPipe()
	must.NoError(b, err)
	must.NoError(b, cmd.Start())
	b.Cleanup(func() { in.Close(); cmd.Wait() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	must.NoError(b, err)
	return strings.TrimSpace(addr)
}

// measure runs f and reports the processor time of this process, which is the client side.
func measure(b *testing.B, f func()) {
	cpu := func() time.Duration {
		var u syscall.Rusage
		must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	f() // establishes the connection
	b.ReportAllocs()
	b.ResetTimer()
	before := cpu()
	b.SetParallelism(8) // a proxy has many requests in flight; with only one, mostly going to sleep would be measured
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			f()
		}
	})
	b.ReportMetric(float64((cpu()-before).Nanoseconds())/float64(b.N)/1000, "cpu-us/op")
}

var benchHeaders = []Header{{"Accept", "*/*"}, {"Accept-Encoding", "identity"}}

func BenchmarkDo(b *testing.B) {
	p := NewPool(benchPeer(b), Options{})
	defer p.Close()
	measure(b, func() {
		deadline := time.Now().Add(time.Second)
		response := p.Do(&Exchange{Request: Request{Method: "GET", Path: "/yewu161/2f", Host: "file10.example", Headers: benchHeaders,
			AttemptID: "9c41d07be2a35f68", Target: "i-7f3a91c2"}, Deadline: deadline, AdvertisedDeadline: deadline})
		if response.Outcome != Answered {
			b.Fatal(response.Err)
		}
	})
}

// BenchmarkNetHTTP sends the same request with the net/http client, for comparison.
func BenchmarkNetHTTP(b *testing.B) {
	addr := benchPeer(b)
	tr := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: time.Second}
	measure(b, func() {
		req, err := http.NewRequest("GET", "http://"+addr+"/yewu161/2f", nil)
		must.NoError(b, err)
		req.Host = "file10.example"
		req.Header = http.Header{"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "Attempt-Id": {"9c41d07be2a35f68"},
			"Deadline-Ms": {"1000"}, "Target-Searcher": {"i-7f3a91c2"}, "User-Agent": nil}
		res, err := client.Do(req)
		must.NoError(b, err)
		_, err = io.ReadAll(res.Body)
		must.NoError(b, err)
		res.Body.Close()
	})
}
