package member

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var testLimits = Limits{MaxDatagram: 1400, MaxQueue: 16, SendTimeout: time.Second, RejoinInterval: 100 * time.Millisecond, LeaveTimeout: 4 * time.Second,
	ProbeInterval: 200 * time.Millisecond}

// recorder passes on the events of a group.
type recorder struct {
	views    chan map[string]uint64
	messages chan string
}

func (r recorder) View(v map[string]uint64) { r.views <- v }
func (r recorder) Message(b []byte)         { r.messages <- string(b) }

// awaitView waits for a view that consists of exactly the named instances.
func (r recorder) awaitView(t *testing.T, want ...string) map[string]uint64 {
	t.Helper()
	for timeout := time.After(20 * time.Second); ; {
		select {
		case v := <-r.views:
			n := 0
			for _, w := range want {
				if _, ok := v[w]; ok {
					n++
				}
			}
			if n == len(want) && len(v) == n {
				return v
			}
		case <-timeout:
			t.Fatalf("no view of %v", want)
		}
	}
}

// awaitMessage waits for a message with the given text.
func (r recorder) awaitMessage(t *testing.T, want string) {
	t.Helper()
	for timeout := time.After(20 * time.Second); ; {
		select {
		case got := <-r.messages:
			if got == want {
				return
			}
		case <-timeout:
			t.Fatalf("message %q was not received", want)
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

// freeAddress returns an address at which no process listens.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func join(t *testing.T, name string, incarnation uint64, bind, keys string, seeds ...string) (*Group, recorder, *observer.ObservedLogs) {
	t.Helper()
	r := recorder{make(chan map[string]uint64, 1000), make(chan string, 1000)}
	core, logs := observer.New(zap.DebugLevel)
	g, err := Join(Config{Name: name, Incarnation: incarnation, Bind: bind, Seeds: seeds, Keys: keys}, testLimits, r, zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	return g, r, logs
}

// TestThreeInstances checks that three instances find each other although the first seed is dead, receive short and long
// messages, and see an instance leave and return under its name with a new incarnation.
func TestThreeInstances(t *testing.T) {
	keys, addresses := keyFile(t, key(0)), []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	dead := freeAddress(t)
	a, recorderA, logs := join(t, "a", 1, addresses[0], keys, dead, addresses[1])
	b, recorderB, _ := join(t, "b", 1, addresses[1], keys, dead, addresses[0])
	c, recorderC, _ := join(t, "c", 7, addresses[2], keys, dead, addresses[0])
	if v := recorderA.awaitView(t, "b", "c"); v["c"] != 7 {
		t.Errorf("%v", v)
	}
	recorderB.awaitView(t, "a", "c")
	recorderC.awaitView(t, "a", "b")
	long := strings.Repeat("x", 20_000)
	for _, text := range []string{"short", long} {
		a.Send("", []byte(text))
		recorderB.awaitMessage(t, text)
		recorderC.awaitMessage(t, text)
	}
	b.Send("c", []byte("for one"))
	recorderC.awaitMessage(t, "for one")
	if err := c.Leave(); err != nil {
		t.Error(err)
	}
	recorderA.awaitView(t, "b")
	c, _, _ = join(t, "c", 8, addresses[2], keys, addresses[1])
	if v := recorderA.awaitView(t, "b", "c"); v["c"] != 8 {
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

// TestMissingSeedIsContactedAgain checks that a seed which starts later is contacted although other instances are known: it
// has no seeds itself and joins nevertheless. Guards against two sides of a long network partition that consider each other
// dead and never contact each other again.
func TestMissingSeedIsContactedAgain(t *testing.T) {
	keys := keyFile(t, key(0))
	binds := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	a, recorderA, _ := join(t, "a", 1, binds[0], keys, binds...)
	defer a.Leave()
	b, _, _ := join(t, "b", 1, binds[1], keys, binds...)
	defer b.Leave()
	recorderA.awaitView(t, "b")
	c, _, _ := join(t, "c", 1, binds[2], keys)
	defer c.Leave()
	recorderA.awaitView(t, "b", "c")
	if missing := a.missing(); len(missing) > 0 {
		t.Errorf("missing: %v", missing)
	}
}

// TestKeys checks that an instance with another key neither receives messages nor is seen, and that keys can be rotated step
// by step while messages keep arriving.
func TestKeys(t *testing.T) {
	ka, kb, addresses := keyFile(t, key(0)), keyFile(t, key(0)), []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	a, recorderA, _ := join(t, "a", 1, addresses[0], ka)
	b, recorderB, _ := join(t, "b", 1, addresses[1], kb, addresses[0])
	stranger, strangerRecorder, _ := join(t, "s", 1, addresses[2], keyFile(t, key(5)), addresses[0], addresses[1])
	recorderA.awaitView(t, "b")
	recorderB.awaitView(t, "a")
	exchange := func(n int) {
		t.Helper()
		a.Send("", fmt.Append(nil, "a", n))
		recorderB.awaitMessage(t, fmt.Sprint("a", n))
		b.Send("", fmt.Append(nil, "b", n))
		recorderA.awaitMessage(t, fmt.Sprint("b", n))
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
			exchange(10*n + len(one.g.cfg.Name))
		}
	}
	// An invalid file changes nothing.
	if err := os.Chmod(ka, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := a.Rotate(); err == nil {
		t.Error("a key file that others may read was accepted")
	}
	exchange(99)
	stranger.mu.Lock()
	known := len(stranger.peers)
	stranger.mu.Unlock()
	if known > 0 || len(strangerRecorder.views) > 0 || len(strangerRecorder.messages) > 0 {
		t.Errorf("an instance without the key knows %d others", known)
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
			t.Errorf("mode %v is accepted", mode)
		}
	}
	if _, err := ReadKeys(t.TempDir()); err == nil {
		t.Error("a folder is accepted")
	}
	if _, err := ReadKeys("/nowhere"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// TestStuckPeerQueueIsBounded checks that a peer which accepts nothing doesn't delay other peers, and that its queue is
// bounded and keeps the newest messages.
func TestStuckPeerQueueIsBounded(t *testing.T) {
	g := &Group{limits: Limits{MaxQueue: 3}, peers: map[string]*peer{"stuck": {wake: make(chan struct{}, 1)}, "other": {wake: make(chan struct{}, 1)}}}
	for n := range 10 {
		g.Send("stuck", []byte{byte(n)})
	}
	if q := g.peers["stuck"].queue; len(q) != 3 || q[2][0] != 9 || g.counts.dropped != 7 || len(g.peers["other"].queue) != 0 {
		t.Errorf("%v, dropped %d", q, g.counts.dropped)
	}
}

// TestPeerThatJoinsWhileTheGroupLeaves guards against starting a goroutine for a peer while Leave waits for the end of all of them:
// a data race, and a goroutine that outlives the group.
func TestPeerThatJoinsWhileTheGroupLeaves(t *testing.T) {
	keys := keyFile(t, key(1))
	g, events, _ := join(t, "a", 1, freeAddress(t), keys)
	must.NoError(t, g.Leave())
	g.change(&memberlist.Node{Name: "b", Meta: binary.LittleEndian.AppendUint64(nil, 2)}, true)
	must.MapEmpty(t, g.peers)
	must.MapEmpty(t, <-events.views)
}

func FuzzKeys(f *testing.F) {
	f.Add([]byte(key(0) + "\n#x\n" + key(1)))
	f.Fuzz(func(t *testing.T, b []byte) {
		keys, err := parseKeys("f", b)
		if err == nil && (len(keys) == 0 || len(keys) > maxKeys) {
			t.Errorf("%d keys", len(keys))
		}
	})
}
