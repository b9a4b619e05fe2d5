package mixer

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"peathollow/internal/config"
	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

// probeLog records the times of the probes that each searcher read.
type probeLog struct {
	mu sync.Mutex
	at map[int][]time.Time
}

func recordProbes(f *standin.Fleet) *probeLog {
	p := &probeLog{at: map[int][]time.Time{}}
	for i, s := range f.Searchers {
		s.OnProbe(func(byte) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.at[i] = append(p.at[i], time.Now())
		})
	}
	return p
}

// waitFor waits until each of the searchers has been probed n times after a point in time.
func (p *probeLog) waitFor(t *testing.T, n, searchers int, since time.Time) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) { // polling interval only
		p.mu.Lock()
		satisfied := 0
		for i := range searchers {
			k := 0
			for _, at := range p.at[i] {
				if at.After(since) {
					k++
				}
			}
			if k >= n {
				satisfied++
			}
		}
		p.mu.Unlock()
		if satisfied == searchers {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d searchers probed %d times", satisfied, searchers, n)
		}
	}
}

// mixerGroup is several mixers that share duties for one fleet of searchers.
type mixerGroup struct {
	mixers      []*Mixer
	base        []string
	stop        []context.CancelFunc
	end         []chan error
	statusPaths []string
}

func startGroup(t *testing.T, f *standin.Fleet, n int, interval string) *mixerGroup {
	t.Helper()
	dir := t.TempDir()
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte(base64.StdEncoding.EncodeToString(make([]byte, 32))), 0o600); err != nil {
		t.Fatal(err)
	}
	var binds []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		binds = append(binds, ln.Addr().String())
		ln.Close()
	}
	s := &mixerGroup{}
	for i := range n {
		statusPath := filepath.Join(dir, fmt.Sprint("show", i))
		text := fmt.Sprintf("[members]\nbind = %s\nseeds = %s\nkeys = %s\n[duties]\non = yes\ninstances = %d\ninterval = %s\naudit = 1s\nyoung = 0s\nload = yes\nshow = %s\n",
			binds[i], strings.Join(binds, ","), keys, n, interval, statusPath)
		cfg, err := Load(func(k string) string { return map[string]string{"ROUTER_CONFIG": "c", "PEATHOLLOW_SETTINGS": "s"}[k] },
			func(path string) ([]byte, error) {
				if path == "s" {
					return []byte(text), nil
				}
				return []byte(strings.Replace(string(f.Config(nil)), `"name": "n0"`, fmt.Sprintf(`"name": "n%d"`, i), 1)), nil
			})
		if err != nil {
			t.Fatal(err)
		}
		m, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- m.Serve(ctx, ln) }()
		s.mixers, s.base, s.stop, s.end = append(s.mixers, m), append(s.base, ln.Addr().String()),
			append(s.stop, stop), append(s.end, end)
		s.statusPaths = append(s.statusPaths, statusPath)
	}
	return s
}

func (s *mixerGroup) leave(t *testing.T, i int) {
	t.Helper()
	s.stop[i]()
	if err := <-s.end[i]; err != nil {
		t.Error(err)
	}
}

// Three mixers together probe each searcher once per interval. After one leaves in an orderly way, the others continue.
// Probes are never counted as parts, and an answer to a probe does not confirm the end of a part.
func TestThreeMixersShareProbes(t *testing.T) {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ledger := standin.NewLedger()
	f.SetLedger(ledger)
	p := recordProbes(f)
	s := startGroup(t, f, 3, "400ms")
	p.waitFor(t, 6, 4, time.Time{})
	status := dutyStatusAt(t, s.statusPaths[0])
	if len(status.Rows) != 5 || status.Name != "n0" {
		t.Errorf("%+v", status)
	}
	loads := 0
	for _, r := range status.Rows {
		if strings.HasPrefix(r.Load, "inflight=") || strings.HasPrefix(r.Load, "entries=4,differ=0") {
			loads++
		}
	}
	if loads == 0 {
		t.Errorf("no load is shown: %+v", status.Rows)
	}
	s.leave(t, 1)
	p.waitFor(t, 4, 4, time.Now())
	s.leave(t, 0)
	s.leave(t, 2)
	if _, maxInFlight := ledger.Overlaps(); maxInFlight != 0 {
		t.Errorf("%d parts in flight", maxInFlight)
	}
	// Over all three mixers, no window of 2(N+1) intervals has twice the intended number of probes.
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, at := range p.at {
		for k := range at {
			n := 0
			for j := k; j < len(at) && at[j].Sub(at[k]) < 8*400*time.Millisecond; j++ {
				n++
			}
			if n >= 16 {
				t.Errorf("searcher %d probed %d times in eight intervals", i, n)
			}
		}
	}
}

func dutyStatusAt(t *testing.T, path string) (s dutyStatus) {
	t.Helper()
	h := http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", path)
	}}}
	res, err := h.Get("http://mixer/")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	if st, err := os.Stat(path); err != nil || st.Mode().Perm() != 0o600 {
		t.Errorf("%v %v", st.Mode(), err)
	}
	return s
}

// Disabled duties and fleet start no listener, no goroutine and no probe.
func TestDutiesAreOff(t *testing.T) {
	f, err := standin.NewFleet(2, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if m := newMixer(t, f, nil); m.cfg.Options.Duties.On || m.peers.Load() != nil || m.cfg.Options.Fleet.On ||
		m.cfg.Options.Duties != config.Defaults().Duties {
		t.Errorf("%+v", m.cfg.Options)
	}
}
