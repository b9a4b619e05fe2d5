package member

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var quick = Limits{Packet: 1400, Queue: 16, Send: time.Second, Rejoin: 100 * time.Millisecond, Leave: 4 * time.Second,
	Probe: 200 * time.Millisecond}

type ears struct {
	views chan map[string]uint64
	heard chan string
}

func (e ears) View(v map[string]uint64) { e.views <- v }
func (e ears) Message(b []byte)         { e.heard <- string(b) }

// until waits for a view of others by name.
func (e ears) until(t *testing.T, want ...string) map[string]uint64 {
	t.Helper()
	for over := time.After(20 * time.Second); ; {
		select {
		case v := <-e.views:
			n := 0
			for _, w := range want {
				if _, ok := v[w]; ok {
					n++
				}
			}
			if n == len(want) && len(v) == n {
				return v
			}
		case <-over:
			t.Fatalf("no view of %v", want)
		}
	}
}

func (e ears) message(t *testing.T, want string) {
	t.Helper()
	for over := time.After(20 * time.Second); ; {
		select {
		case got := <-e.heard:
			if got == want {
				return
			}
		case <-over:
			t.Fatalf("%q was not heard", want)
		}
	}
}

func key(b byte) string {
	return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune('a'+b)), 32)))
}

func keyFile(t *testing.T, keys ...string) string {
	path := filepath.Join(t.TempDir(), "keys")
	write(t, path, keys...)
	return path
}

func write(t *testing.T, path string, keys ...string) {
	if err := os.WriteFile(path, []byte(strings.Join(keys, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

// free is an address nobody listens at.
func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func join(t *testing.T, name string, inc uint64, bind, keys string, seeds ...string) (*Group, ears, *observer.ObservedLogs) {
	t.Helper()
	e := ears{make(chan map[string]uint64, 1000), make(chan string, 1000)}
	core, logs := observer.New(zap.DebugLevel)
	g, err := Join(Config{Name: name, Inc: inc, Bind: bind, Seeds: seeds, Keys: keys}, quick, e, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	return g, e, logs
}

// Three find each other though the first seed is dead, hear messages long and short, see who leaves and who comes
// back under its name with a new incarnation.
func TestThreeTalk(t *testing.T) {
	keys, at := keyFile(t, key(0)), []string{free(t), free(t), free(t)}
	dead := free(t)
	a, ea, logs := join(t, "a", 1, at[0], keys, dead, at[1])
	b, eb, _ := join(t, "b", 1, at[1], keys, dead, at[0])
	c, ec, _ := join(t, "c", 7, at[2], keys, dead, at[0])
	if v := ea.until(t, "b", "c"); v["c"] != 7 {
		t.Errorf("%v", v)
	}
	eb.until(t, "a", "c")
	ec.until(t, "a", "b")
	long := strings.Repeat("x", 20_000)
	for _, text := range []string{"short", long} {
		a.Send("", []byte(text))
		eb.message(t, text)
		ec.message(t, text)
	}
	b.Send("c", []byte("for one"))
	ec.message(t, "for one")
	if err := c.Leave(); err != nil {
		t.Error(err)
	}
	ea.until(t, "b")
	c, _, _ = join(t, "c", 8, at[2], keys, at[1])
	if v := ea.until(t, "b", "c"); v["c"] != 8 {
		t.Errorf("%v", v)
	}
	for _, g := range []*Group{a, b, c} {
		if err := g.Leave(); err != nil {
			t.Error(err)
		}
	}
	for _, l := range logs.All() {
		if text := fmt.Sprint(l.Message, l.ContextMap()); strings.Contains(text, key(0)) || strings.Contains(text, "aaaaaaaa") {
			t.Errorf("a key in the log: %s", text)
		}
	}
}

// Who has another key hears nothing and is not heard; keys can be exchanged step by step while all go on talking.
// A seed that is not there yet is asked again though others are known: it is told of no seeds itself, and comes in all the
// same. Against two sides that a long cut has made strangers, which never asked there again.
func TestAMissingSeedIsAskedAgain(t *testing.T) {
	keys := keyFile(t, key(0))
	binds := []string{free(t), free(t), free(t)}
	a, ears0, _ := join(t, "a", 1, binds[0], keys, binds...)
	defer a.Leave()
	b, _, _ := join(t, "b", 1, binds[1], keys, binds...)
	defer b.Leave()
	ears0.until(t, "b")
	c, _, _ := join(t, "c", 1, binds[2], keys)
	defer c.Leave()
	ears0.until(t, "b", "c")
	if left := a.missing(); len(left) > 0 {
		t.Errorf("missing: %v", left)
	}
}

func TestKeys(t *testing.T) {
	ka, kb, at := keyFile(t, key(0)), keyFile(t, key(0)), []string{free(t), free(t), free(t)}
	a, ea, _ := join(t, "a", 1, at[0], ka)
	b, eb, _ := join(t, "b", 1, at[1], kb, at[0])
	stranger, es, _ := join(t, "s", 1, at[2], keyFile(t, key(5)), at[0], at[1])
	ea.until(t, "b")
	eb.until(t, "a")
	say := func(n int) {
		t.Helper()
		a.Send("", fmt.Append(nil, "a", n))
		eb.message(t, fmt.Sprint("a", n))
		b.Send("", fmt.Append(nil, "b", n))
		ea.message(t, fmt.Sprint("b", n))
	}
	for n, step := range [][]string{{key(0), key(1)}, {key(1), key(0)}, {key(1)}} {
		for _, one := range []struct {
			g    *Group
			path string
		}{{a, ka}, {b, kb}} {
			write(t, one.path, step...)
			if err := one.g.Rotate(); err != nil {
				t.Fatal(err)
			}
			say(10*n + len(one.g.cfg.Name))
		}
	}
	// A file that can't be used changes nothing.
	if err := os.Chmod(ka, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := a.Rotate(); err == nil {
		t.Error("a key file that others may read was taken")
	}
	say(99)
	stranger.mu.Lock()
	known := len(stranger.peers)
	stranger.mu.Unlock()
	if known > 0 || len(es.views) > 0 || len(es.heard) > 0 {
		t.Errorf("who has no key knows %d", known)
	}
	for _, g := range []*Group{a, b, stranger} {
		g.Leave()
	}
}

func TestKeyFiles(t *testing.T) {
	for name, text := range map[string]string{"not base64": "!!!", "length": "YWFh", "empty": "# nothing", "twice": key(0) + "\n" + key(0),
		"many": key(0) + "\n" + key(1) + "\n" + key(2) + "\n" + key(3) + "\n" + key(4) + "\n" + key(5) + "\n" + key(6) + "\n" + key(7) + "\n" + key(8),
		"long": strings.Repeat("# and so on\n", 1000)} {
		path := keyFile(t, text)
		if _, err := ReadKeys(path); err == nil || strings.Contains(err.Error(), key(0)) || strings.Contains(err.Error(), "!!!") {
			t.Errorf("%s: %v", name, err)
		}
	}
	path := keyFile(t, "# the first seals", key(0), "", key(1))
	if keys, err := ReadKeys(path); err != nil || len(keys) != 2 {
		t.Error(err)
	}
	for _, mode := range []os.FileMode{0o640, 0o604, 0o660} {
		os.Chmod(path, mode)
		if _, err := ReadKeys(path); err == nil {
			t.Errorf("mode %v is taken", mode)
		}
	}
	if _, err := ReadKeys(t.TempDir()); err == nil {
		t.Error("a folder is taken")
	}
	if _, err := ReadKeys("/nowhere"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// A peer that takes nothing holds up nobody, and what waits for it is bounded: the newest stays.
func TestAStuckPeerIsBounded(t *testing.T) {
	g := &Group{lim: Limits{Queue: 3}, peers: map[string]*peer{"stuck": {wake: make(chan struct{}, 1)}, "other": {wake: make(chan struct{}, 1)}}}
	for n := range 10 {
		g.Send("stuck", []byte{byte(n)})
	}
	if q := g.peers["stuck"].queue; len(q) != 3 || q[2][0] != 9 || g.told.dropped != 7 || len(g.peers["other"].queue) != 0 {
		t.Errorf("%v, dropped %d", q, g.told.dropped)
	}
}

func FuzzKeys(f *testing.F) {
	f.Add([]byte(key(0) + "\n#x\n" + key(1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		keys, err := parseKeys("f", b)
		if err == nil && (len(keys) == 0 || len(keys) > keysMost) {
			t.Errorf("%d keys", len(keys))
		}
	})
}
