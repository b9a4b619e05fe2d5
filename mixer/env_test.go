package mixer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

// testEnv is a mixer on loopback with stand-in searchers and discovery, and the dispatches that these received.
type testEnv struct {
	t      *testing.T
	fleet  *standin.Fleet
	mixer  *Mixer
	base   string
	http   *http.Client
	stop   context.CancelFunc
	ended  chan error
	ledger *standin.Ledger

	mu           sync.Mutex
	seen         map[string][]dispatch // by part
	lastDispatch map[string]time.Time
}

// dispatch is one attempt of a part, as its searcher saw it.
type dispatch struct {
	searcher    int
	reply       standin.Reply
	call        proto.Call
	cancelled   bool
	at          time.Time // when the searcher read it
	cancelledAt time.Time // when it read the cancellation
}

func startEnv(t *testing.T, n int, reply func(searcher, attemptIndex int, c proto.Call) standin.Reply,
	edit func(map[string]any)) *testEnv {
	t.Helper()
	env := &testEnv{t: t, seen: map[string][]dispatch{}, lastDispatch: map[string]time.Time{}, ended: make(chan error, 1),
		ledger: standin.NewLedger()}
	var err error
	env.fleet, err = standin.NewFleet(n, func(searcher int, c proto.Call) standin.Reply {
		env.mu.Lock()
		defer env.mu.Unlock()
		r := reply(searcher, len(env.seen[c.ID]), c)
		env.seen[c.ID] = append(env.seen[c.ID], dispatch{searcher: searcher, reply: r, call: c, at: time.Now()})
		env.lastDispatch[strings.Split(c.ID, ".")[0]] = time.Now()
		return r
	}, func(searcher int, id string) {
		env.mu.Lock()
		defer env.mu.Unlock()
		for i := range env.seen[id] {
			if s := &env.seen[id][i]; s.searcher == searcher && !s.cancelled {
				s.cancelled, s.cancelledAt = true, time.Now()
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	env.fleet.SetLedger(env.ledger)
	env.mixer = newMixer(t, env.fleet, edit)
	ln, err := net.Listen("tcp", env.mixer.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	env.base = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	env.stop = stop
	go func() { env.ended <- env.mixer.Serve(ctx, ln) }()
	env.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for {
		res, err := env.http.Get("http://" + env.base + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return env
		}
	}
}

// longDeadlines is for tests of the protocol, not of decisions that depend on time: with targets of some hundred
// milliseconds searchers appear slow on an overloaded machine, and scans are rightly throttled. The timeouts of connects
// and receipts grow in proportion, so that bounds between them keep their margin.
func longDeadlines(settings map[string]any) {
	for _, c := range settings["requestClasses"].([]any) {
		kind := c.(map[string]any)
		kind["objective"], kind["deadline"] = 10000.0, 30000.0
	}
	settings["limits"].(map[string]any)["connectTimeout"] = 2500.0
}

// warm sends successful scans, from which the mixer learns the usual latencies. A searcher counts as unresponsive by
// comparison with these.
func (env *testEnv) warm() {
	env.t.Helper()
	for i := range 30 {
		if _, err := env.ask(fmt.Sprint("a", i), "narrow", "30000m", body(1, 3, 5, 7)); err != nil {
			env.t.Fatal(err)
		}
	}
}

func (env *testEnv) close() {
	env.t.Helper()
	env.stop()
	if err := <-env.ended; err != nil {
		env.t.Errorf("stopped with %v", err)
	}
	env.http.CloseIdleConnections()
	env.fleet.Close()
	if copies, _ := env.ledger.Overlaps(); len(copies) > 0 && !env.mixer.cfg.Settings.Policy.MayHedge {
		env.t.Errorf("%d overlapping attempts: %.3q", len(copies), copies)
	}
}

func body(shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%g}`, s, 1/float64(len(shards))))
	}
	return `{"parts":[` + strings.Join(parts, ",") + `],"expr":"c41e77d0"}`
}

func (env *testEnv) request(ctx context.Context, id, class, wait, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+env.base+"/"+class, strings.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Owner", "acme")
	r.Header.Set("Req-Deadline", wait)
	if class == "keyed" {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

type response struct {
	status     int
	retryAfter string
	close      bool
	text       string
	Exact      bool `json:"exact"`
	Rows       []proto.Row
}

func (env *testEnv) ask(id, class, wait, body string) (got response, err error) {
	res, err := env.http.Do(env.request(context.Background(), id, class, wait, body))
	if err != nil {
		return got, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return got, err
	}
	got.status, got.retryAfter, got.close, got.text = res.StatusCode, res.Header.Get("Retry-After"), res.Close, string(b)
	if got.status == http.StatusOK {
		err = json.Unmarshal(b, &got)
	}
	return got, err
}

func answerOK(_, _ int, _ proto.Call) standin.Reply { return standin.Reply{Status: 200} }

func (env *testEnv) checkAnswer(id, class string, shards []int, got response, err error, at time.Time) string {
	if err != nil {
		return fmt.Sprintf("no whole answer: %v", err)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.lastDispatch[id].After(at.Add(time.Second)) {
		return "a dispatch after the final answer"
	}
	ran := false
	for _, s := range shards {
		attempts := env.seen[fmt.Sprintf("%s.%d", id, s)]
		mayHaveRun := false
		for i, d := range attempts {
			mayHaveRun = mayHaveRun || d.reply.Status != 503 || d.reply.Silent || d.reply.Reset || d.reply.Garbage != nil
			if i+1 < len(attempts) && class == "once" && mayHaveRun {
				return "a part that may have run was sent again"
			}
			if class == "keyed" && d.call.Key != "key-"+id {
				return "a part without its key"
			}
		}
		ran = ran || mayHaveRun
	}
	switch {
	case got.status == http.StatusServiceUnavailable && class == "once" && ran:
		return "refused though it may have run"
	case got.status == http.StatusOK:
		return env.checkValues(id, class, shards, got)
	case got.status != http.StatusServiceUnavailable && got.status != http.StatusInternalServerError:
		return fmt.Sprintf("status %d", got.status)
	}
	return ""
}

func (env *testEnv) checkValues(id, class string, shards []int, got response) string {
	total := 0.0
	for _, r := range got.Rows {
		wire, weight := fmt.Sprintf("%s.%d", id, r.Shard), 1/float64(len(shards))
		if class == "wide" {
			wire, weight = wire+".fetch", 1/float64(min(2, len(shards)))
		}
		total += weight
		returned := false
		for _, d := range env.seen[wire] {
			returned = returned || d.reply.Status == 200 && !d.reply.Silent && d.reply.Garbage == nil && standin.Value(d.call) == r.Value
		}
		if !returned {
			return fmt.Sprintf("shard %d has a value that no searcher returned", r.Shard)
		}
	}
	if got.Exact && total < 0.999 || class != "wide" && total < 0.999 || total < 0.499 {
		return fmt.Sprintf("answered with a share of %g, whole %v", total, got.Exact)
	}
	return ""
}

// configEnv is an environment that names a configuration and no settings file.
func configEnv(key string) string { return map[string]string{"ROUTER_CONFIG": "here"}[key] }

// idleMixer returns a mixer that is not running.
func idleMixer(t *testing.T) *Mixer {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	return newMixer(t, f, nil)
}

// newMixer returns a mixer configured for the fleet.
func newMixer(t testing.TB, f *standin.Fleet, edit func(map[string]any)) *Mixer {
	t.Helper()
	text := f.Config(edit)
	c, err := Load(configEnv, func(string) ([]byte, error) { return text, nil })
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(c, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func hostList(f *standin.Fleet) string {
	var all []standin.Host
	for i := range f.Searchers {
		all = append(all, f.Host(i, "up"))
	}
	b, _ := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": all})
	return string(b)
}
