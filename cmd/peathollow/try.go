package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
	"peathollow/mixer"
)

func try() *cli.Command {
	var t trial
	return leaf(&cli.Command{Name: "try", Commands: []*cli.Command{trySystem()},
		Usage: "Start a mixer and simulated searchers on this machine, send it scans and show the results",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Destination: &t.length, Local: true, Usage: "stop after this time; 0 runs until Ctrl-C"},
			&cli.IntFlag{Name: "rate", Value: 20, Destination: &t.rate, Local: true, Usage: "scans per second"},
			&cli.BoolFlag{Name: "trouble", Destination: &t.injectFault, Local: true,
				Usage: "one of the four searchers accepts parts and never responds"},
		}}, 0, 0,
		func(ctx context.Context, c *cli.Command) error {
			if t.rate < 1 || t.rate > 500 {
				return fmt.Errorf("--rate %d: 1 to 500", t.rate)
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			if t.length > 0 {
				var end context.CancelFunc
				ctx, end = context.WithTimeout(ctx, t.length)
				defer end()
			}
			return t.run(ctx, c.Root().Writer)
		})
}

// trial holds the options of a run and its results.
type trial struct {
	length      time.Duration
	rate        int
	injectFault bool

	mu           sync.Mutex
	sent         int
	outcomes     map[string]int
	totalLatency time.Duration
	maxLatency   time.Duration
	errs         error
}

func (t *trial) run(ctx context.Context, out io.Writer) error {
	t.outcomes = map[string]int{}
	fleet, err := standin.NewFleet(4, func(searcher int, _ proto.Call) standin.Reply {
		return standin.Reply{Status: 200, Delay: time.Duration(2+rand.IntN(20)) * time.Millisecond, Silent: t.injectFault && searcher == 3}
	}, nil)
	if err != nil {
		return err
	}
	defer fleet.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	env := func(key string) string { return map[string]string{"ROUTER_CONFIG": "embedded"}[key] }
	cfg, err := mixer.Load(env, func(string) ([]byte, error) { return fleet.Config(nil), nil })
	if err != nil {
		return err
	}
	m, err := mixer.New(cfg, zap.NewNop())
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Serve(serving, ln) }()
	base := "http://" + ln.Addr().String()
	fmt.Fprintf(out, "a mixer at %s, discovery at %s, four simulated searchers; %d scans per second\n", ln.Addr(),
		fleet.Discovery.Addr(), t.rate)
	if err := waitReady(ctx, base); err == nil {
		t.sendScans(ctx, base, out)
	}
	stop()
	if err := <-ended; err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.printSummary(out)
	if answered := t.outcomes["completed"] + t.outcomes["throttled"] + t.outcomes["abandoned"]; answered < t.sent {
		return fmt.Errorf("%d of %d scans got no response: %w", t.sent-answered, t.sent, t.errs)
	}
	return nil
}

// waitReady polls the mixer until it reports that it is ready.
func waitReady(ctx context.Context, base string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/ready", nil)
		if err != nil {
			return err
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// sendScans sends scans until ctx ends, and then waits for those in flight.
func (t *trial) sendScans(ctx context.Context, base string, out io.Writer) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	ticker, summaryTicker := time.NewTicker(time.Second/time.Duration(t.rate)), time.NewTicker(time.Second)
	defer ticker.Stop()
	defer summaryTicker.Stop()
	var scans sync.WaitGroup
	defer scans.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-summaryTicker.C:
			t.mu.Lock()
			t.printSummary(out)
			t.mu.Unlock()
			continue
		case <-ticker.C:
		}
		t.mu.Lock()
		t.sent++
		t.mu.Unlock()
		scans.Go(func() { t.scan(client, base, n) })
	}
}

func (t *trial) scan(client *http.Client, base string, n int) {
	class := []string{"wide", "narrow", "keyed", "once"}[n%4]
	count := map[string]int{"wide": 6, "narrow": 3, "keyed": 2, "once": 1}[class]
	var parts []string
	for _, shard := range rand.Perm(8)[:count] {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%g}`, shard, 1/float64(count)))
	}
	body := `{"parts":[` + strings.Join(parts, ",") + `],"expr":"c41e77d0"}`
	began := time.Now()
	outcome, err := send(client, base+"/"+class, fmt.Sprintf("try-%d", n), body)
	latency := time.Since(began)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errs = errors.Join(t.errs, err)
		return
	}
	t.outcomes[outcome]++
	t.totalLatency += latency
	t.maxLatency = max(t.maxLatency, latency)
}

// send sends a scan and returns its outcome.
func send(client *http.Client, url, id, body string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	for k, v := range map[string]string{"Req-Id": id, "Req-Owner": "acme", "Req-Deadline": "800m", "Idempotency-Key": id} {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return "", err
	}
	switch res.StatusCode {
	case http.StatusOK:
		if !json.Valid(text) {
			return "", fmt.Errorf("%s: response is not valid JSON: %.100q", id, text)
		}
		return "completed", nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return "throttled", nil
	case http.StatusInternalServerError:
		return "abandoned", nil
	}
	return "", fmt.Errorf("%s: status %d: %.100q", id, res.StatusCode, text)
}

func (t *trial) printSummary(out io.Writer) {
	n := t.outcomes["completed"] + t.outcomes["throttled"] + t.outcomes["abandoned"]
	mean := time.Duration(0)
	if n > 0 {
		mean = t.totalLatency / time.Duration(n)
	}
	fmt.Fprintf(out, "%5d scans: %d completed, %d throttled, %d abandoned; mean %v, worst %v\n", t.sent, t.outcomes["completed"],
		t.outcomes["throttled"],
		t.outcomes["abandoned"], mean.Round(100*time.Microsecond), t.maxLatency.Round(100*time.Microsecond))
}
