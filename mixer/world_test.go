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

// world is a mixer on loopback among stand-ins, and what these saw.
type world struct {
	t     *testing.T
	fleet *standin.Fleet
	mix   *Mixer
	base  string
	http  *http.Client
	stop  context.CancelFunc
	ended chan error
	book  *standin.Ledger

	mu    sync.Mutex
	seen  map[string][]sight // by part
	lastD map[string]time.Time
}

type sight struct {
	srv    int
	reply  standin.Reply
	call   proto.Call
	gaveUp bool
	at     time.Time // when the searcher read it
	gaveAt time.Time // when it read that it was given up
}

func start(t *testing.T, n int, reply func(srv, try int, c proto.Call) standin.Reply, edit func(map[string]any)) *world {
	t.Helper()
	w := &world{t: t, seen: map[string][]sight{}, lastD: map[string]time.Time{}, ended: make(chan error, 1),
		book: standin.NewLedger()}
	var err error
	w.fleet, err = standin.NewFleet(n, func(srv int, c proto.Call) standin.Reply {
		w.mu.Lock()
		defer w.mu.Unlock()
		r := reply(srv, len(w.seen[c.ID]), c)
		w.seen[c.ID] = append(w.seen[c.ID], sight{srv: srv, reply: r, call: c, at: time.Now()})
		w.lastD[strings.Split(c.ID, ".")[0]] = time.Now()
		return r
	}, func(srv int, id string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for i := range w.seen[id] {
			if s := &w.seen[id][i]; s.srv == srv && !s.gaveUp {
				s.gaveUp, s.gaveAt = true, time.Now()
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	w.fleet.Book(w.book)
	w.mix = made(t, w.fleet, edit)
	ln, err := net.Listen("tcp", w.mix.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	w.base = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() { w.ended <- w.mix.Serve(ctx, ln) }()
	w.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for {
		res, err := w.http.Get("http://" + w.base + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return w
		}
	}
}

// patient is for tests of what is said on sockets, not of what is decided in time: with targets of some hundred
// milliseconds a starved machine makes searchers read as slow, and scans are throttled, as they should be then.
// Times to connect and to wait for a receipt grow alike, so that bounds between them keep their room.
func patient(settings map[string]any) {
	for _, c := range settings["requestClasses"].([]any) {
		kind := c.(map[string]any)
		kind["objective"], kind["deadline"] = 10000.0, 30000.0
	}
	settings["limits"].(map[string]any)["connectTimeout"] = 2500.0
}

// warm has the mixer learn its searchers from scans that pass: what is silent for long is told by what others took.
func (w *world) warm() {
	w.t.Helper()
	for i := range 30 {
		if _, err := w.ask(fmt.Sprint("a", i), "narrow", "30000m", body(1, 3, 5, 7)); err != nil {
			w.t.Fatal(err)
		}
	}
}

func (w *world) close() {
	w.t.Helper()
	w.stop()
	if err := <-w.ended; err != nil {
		w.t.Errorf("stopped with %v", err)
	}
	w.http.CloseIdleConnections()
	w.fleet.Close()
	if copies, _ := w.book.Copies(); len(copies) > 0 && !w.mix.cfg.Settings.Brain.MayHedge {
		w.t.Errorf("%d second copies: %.3q", len(copies), copies)
	}
}

func body(shards ...int) string {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"id":%d,"w":%g}`, s, 1/float64(len(shards))))
	}
	return `{"parts":[` + strings.Join(parts, ",") + `],"expr":"c41e77d0"}`
}

func (w *world) request(ctx context.Context, id, class, wait, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.base+"/"+class, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Owner", "acme")
	r.Header.Set("Req-Deadline", wait)
	if class == "keyed" {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

type got struct {
	status int
	after  string
	closes bool
	text   string
	Exact  bool `json:"exact"`
	Rows   []proto.Row
}

func (w *world) ask(id, class, wait, body string) (g got, err error) {
	res, err := w.http.Do(w.request(context.Background(), id, class, wait, body))
	if err != nil {
		return g, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return g, err
	}
	g.status, g.after, g.closes, g.text = res.StatusCode, res.Header.Get("Retry-After"), res.Close, string(b)
	if g.status == http.StatusOK {
		err = json.Unmarshal(b, &g)
	}
	return g, err
}

func sound(_, _ int, _ proto.Call) standin.Reply { return standin.Reply{End: 200} }

func (w *world) judge(id, class string, shards []int, g got, err error, at time.Time) string {
	if err != nil {
		return fmt.Sprintf("no whole answer: %v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastD[id].After(at.Add(time.Second)) {
		return "a dispatch after the final answer"
	}
	ran := false
	for _, s := range shards {
		tries := w.seen[fmt.Sprintf("%s.%d", id, s)]
		mine := false
		for i, x := range tries {
			mine = mine || x.reply.End != 503 || x.reply.Silent || x.reply.Reset || x.reply.Junk != nil
			if i+1 < len(tries) && class == "once" && mine {
				return "a part that may have run went again"
			}
			if class == "keyed" && x.call.Key != "key-"+id {
				return "a part without its key"
			}
		}
		ran = ran || mine
	}
	switch {
	case g.status == http.StatusServiceUnavailable && class == "once" && ran:
		return "refused though it may have run"
	case g.status == http.StatusOK:
		return w.honest(id, class, shards, g)
	case g.status != http.StatusServiceUnavailable && g.status != http.StatusInternalServerError:
		return fmt.Sprintf("status %d", g.status)
	}
	return ""
}

func (w *world) honest(id, class string, shards []int, g got) string {
	share := 0.0
	for _, r := range g.Rows {
		wire, share1 := fmt.Sprintf("%s.%d", id, r.Shard), 1/float64(len(shards))
		if class == "wide" {
			wire, share1 = wire+".fetch", 1/float64(min(2, len(shards)))
		}
		share += share1
		made := false
		for _, x := range w.seen[wire] {
			made = made || x.reply.End == 200 && !x.reply.Silent && x.reply.Junk == nil && standin.Value(x.call) == r.Value
		}
		if !made {
			return fmt.Sprintf("shard %d has a value nobody gave", r.Shard)
		}
	}
	if g.Exact && share < 0.999 || class != "wide" && share < 0.999 || share < 0.499 {
		return fmt.Sprintf("answered with a share of %g, whole %v", share, g.Exact)
	}
	return ""
}

// here is an environment that names a configuration and no settings of ours.
func here(key string) string { return map[string]string{"ROUTER_CONFIG": "here"}[key] }

// w0 is a mixer that is not run.
func w0(t *testing.T) *Mixer {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	return made(t, f, nil)
}

// made is a mixer of a fleet.
func made(t testing.TB, f *standin.Fleet, edit func(map[string]any)) *Mixer {
	t.Helper()
	text := f.Config(edit)
	c, err := Load(here, func(string) ([]byte, error) { return text, nil })
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(c, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func hosts(f *standin.Fleet) string {
	var all []standin.Host
	for i := range f.Searchers {
		all = append(all, f.Host(i, "up"))
	}
	b, _ := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": all})
	return string(b)
}
