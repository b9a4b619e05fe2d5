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

// probes counts what readers read, by reader.
type probes struct {
	mu sync.Mutex
	at map[int][]time.Time
}

func watchProbes(f *standin.Fleet) *probes {
	p := &probes{at: map[int][]time.Time{}}
	for i, s := range f.Searchers {
		s.Probed(func(byte) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.at[i] = append(p.at[i], time.Now())
		})
	}
	return p
}

// until waits till each reader was probed so often since a time.
func (p *probes) until(t *testing.T, n, readers int, since time.Time) {
	t.Helper()
	for over := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) { // polls, decides nothing
		p.mu.Lock()
		good := 0
		for i := range readers {
			k := 0
			for _, at := range p.at[i] {
				if at.After(since) {
					k++
				}
			}
			if k >= n {
				good++
			}
		}
		p.mu.Unlock()
		if good == readers {
			return
		}
		if time.Now().After(over) {
			t.Fatalf("%d of %d readers probed %d times", good, readers, n)
		}
	}
}

// sharing starts mixers that share duties beside one fleet.
type sharing struct {
	mix  []*Mixer
	base []string
	stop []context.CancelFunc
	end  []chan error
	show []string
}

func share(t *testing.T, f *standin.Fleet, n int, interval string) *sharing {
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
	s := &sharing{}
	for i := range n {
		show := filepath.Join(dir, fmt.Sprint("show", i))
		text := fmt.Sprintf("[members]\nbind = %s\nseeds = %s\nkeys = %s\n[duties]\non = yes\ninstances = %d\ninterval = %s\naudit = 1s\nyoung = 0s\nload = yes\nshow = %s\n",
			binds[i], strings.Join(binds, ","), keys, n, interval, show)
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
		s.mix, s.base, s.stop, s.end = append(s.mix, m), append(s.base, ln.Addr().String()), append(s.stop, stop), append(s.end, end)
		s.show = append(s.show, show)
	}
	return s
}

func (s *sharing) leave(t *testing.T, i int) {
	t.Helper()
	s.stop[i]()
	if err := <-s.end[i]; err != nil {
		t.Error(err)
	}
}

// Three mixers probe each reader once between them; one leaves in good order and the others go on. Probes are never
// parts, and a probe is no word of a part's end.
func TestThreeMixersShareProbes(t *testing.T) {
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{End: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	book := standin.NewLedger()
	f.Book(book)
	p := watchProbes(f)
	s := share(t, f, 3, "400ms")
	p.until(t, 6, 4, time.Time{})
	rows := shownAt(t, s.show[0])
	if len(rows.Rows) != 5 || rows.Name != "n0" {
		t.Errorf("%+v", rows)
	}
	loads := 0
	for _, r := range rows.Rows {
		if strings.HasPrefix(r.Load, "inflight=") || strings.HasPrefix(r.Load, "entries=4,differ=0") {
			loads++
		}
	}
	if loads == 0 {
		t.Errorf("no load is shown: %+v", rows.Rows)
	}
	s.leave(t, 1)
	p.until(t, 4, 4, time.Now())
	s.leave(t, 0)
	s.leave(t, 2)
	if _, most := book.Copies(); most != 0 {
		t.Errorf("%d parts out", most)
	}
	// In no window of 2(N+1) intervals twice as often as intended, over all three.
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, at := range p.at {
		for k := range at {
			n := 0
			for j := k; j < len(at) && at[j].Sub(at[k]) < 8*400*time.Millisecond; j++ {
				n++
			}
			if n >= 16 {
				t.Errorf("reader %d probed %d times in eight intervals", i, n)
			}
		}
	}
}

func shownAt(t *testing.T, path string) (s shown) {
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

// What is off costs nothing: no listener, no goroutine, no probe.
func TestDutiesAreOff(t *testing.T) {
	f, err := standin.NewFleet(2, func(int, proto.Call) standin.Reply { return standin.Reply{End: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if m := made(t, f, nil); m.cfg.Ours.Duties.On || m.crowd.Load() != nil || m.cfg.Ours.Fleet.On || m.cfg.Ours.Duties != config.Defaults().Duties {
		t.Errorf("%+v", m.cfg.Ours)
	}
}
