package mixer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

// Tests of the client side: requests, connections and the limits on both.

func TestInvalidRequestsAreRejectedAtOnce(t *testing.T) {
	env := startEnv(t, 4, answerOK, nil)
	defer env.close()
	for _, c := range []struct{ id, class, wait, body, want string }{
		{"a", "narrow", "500m", "no json", "body"},
		{"b", "narrow", "500m", `{"parts":[],"expr":"x"}`, "no parts"},
		{"c", "narrow", "500m", `{"parts":[{"id":1}]}`, "no expr"},
		{"d", "narrow", "500m", body(1, 1), "comes twice"},
		{"e", "narrow", "500m", body(8), "outside"},
		{"f", "nobody", "500m", body(1), "unknown class"},
		{"g", "narrow", "", body(1), "Req-Deadline"},
		{"h", "narrow", "5 hours", body(1), "Req-Deadline"},
		{"", "narrow", "500m", body(1), "Req-Id"},
		{"i j", "narrow", "500m", body(1), "Req-Id"},
		{"k", "narrow", "500m", `{"expr":"` + strings.Repeat("x", 70<<10) + `"}`, "more than"},
	} {
		g, err := env.ask(c.id, c.class, c.wait, c.body)
		if err != nil || g.status/100 != 4 || !strings.Contains(g.text, c.want) {
			t.Errorf("%q: %d %q %v", c.want, g.status, g.text, err)
		}
	}
	if g, err := env.ask("late", "narrow", "0m", body(1)); err != nil || g.status != 503 {
		t.Errorf("a deadline already past: %+v %v", g, err)
	}
	if len(env.seen) > 0 {
		t.Errorf("dispatches: %v", env.seen)
	}
}

// raw sends the text unchanged and returns the status of each response until the mixer closes the connection.
func (env *testEnv) raw(text string) (statuses []int) {
	c, err := net.Dial("tcp", env.base)
	if err != nil {
		env.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		env.t.Fatal(err)
	}
	for r := bufio.NewReader(c); ; {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses
		}
		io.Copy(io.Discard, res.Body)
		if statuses = append(statuses, res.StatusCode); res.Close {
			return statuses
		}
	}
}

func head(id, more string) string {
	return "POST /narrow HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Deadline: 30000m\r\n" + more
}

// Guards against request smuggling: a head with both Content-Length and Transfer-Encoding, in any spelling, is refused
// and its connection closed. What one reading takes for the body is another request in the other reading.
func TestConflictingBodyLengthsAreRefused(t *testing.T) {
	env := startEnv(t, 4, answerOK, longDeadlines)
	defer env.close()
	sane := head("sane", "Content-Length: "+fmt.Sprint(len(body(1)))+"\r\n\r\n") + body(1)
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body(1)), body(1))
	behind := head("hidden", "Content-Length: "+fmt.Sprint(len(body(1)))+"\r\nConnection: close\r\n\r\n") + body(1)
	for i, both := range []string{
		"Content-Length: 40\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 40\r\n",
		"content-lengtH:40\r\ntransfer-ENCODING:\tchunked \r\n", "Transfer-Encoding: chunked\nContent-Length:   40\n",
		"Transfer-Encoding:\r\n chunked\r\nContent-Length: 40\r\n", "Transfer-Encoding : chunked\r\nContent-Length: 40\r\n",
		"Content-Length: 40\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 40\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 40\r\nContent-Length: 41\r\n", "Content-Length: -1\r\n", "Content-Length: 4 0\r\n",
	} {
		for j, before := range []string{"", sane, head("chunks", "Transfer-Encoding: chunked\r\n\r\n") + chunks} {
			got := env.raw(before + head(fmt.Sprint("both", i, j), both+"\r\n") + chunks + behind)
			want := min(j, 1)
			if len(got) != want+1 || got[want]/100 < 4 || want > 0 && got[0] != 200 {
				t.Errorf("%q behind %.30q: %d", both, before, got)
			}
			env.mu.Lock()
			if len(env.seen["hidden.1"]) > 0 || len(env.seen[fmt.Sprintf("both%d%d.1", i, j)]) > 0 {
				t.Errorf("%q: passed on", both)
			}
			env.mu.Unlock()
		}
	}
	if got := env.raw(sane + head("last", "Transfer-Encoding: chunked\r\n\r\n") + chunks + behind); fmt.Sprint(got) != "[200 200 200]" {
		t.Errorf("requests one behind the other: %v", got)
	}
}

// Clients that send nothing, or half a request, are disconnected in time. A body declared too long is not waited for.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	env := startEnv(t, 4, answerOK, nil)
	defer env.close()
	var all sync.WaitGroup
	for text, want := range map[string]string{
		"":                                      "[]",
		"POST /narrow HTT":                      "[400]",
		head("a", "Content-Length: 99\r\n"):     "[]",
		head("b", "Content-Length: 99\r\n\r\n"): "[502]",
		head("c", "Content-Length: 60000000\r\n\r\nxx"):                     "[413]",
		head("d", "X: "+strings.Repeat("x", 100<<10)):                       "[431]",
		"\x16\x03\x01 noise\r\n\r\n":                                        "[400]",
		head("e", "Content-Length: 18446744073709551617\r\n\r\n"):           "[400]",
		head("f", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"): "[502]",
	} {
		all.Go(func() {
			at := time.Now()
			if got := fmt.Sprint(env.raw(text)); got != want || time.Since(at) > 10*time.Second {
				t.Errorf("%.60q: %s after %v", text, got, time.Since(at))
			}
		})
	}
	all.Wait()
}

// A client that disconnects ends its scan, and the parts that it held are released.
func TestClientDisconnectReleasesParts(t *testing.T) {
	arrived := make(chan bool, 8)
	env := startEnv(t, 4, func(_, _ int, c proto.Call) standin.Reply {
		select {
		case arrived <- true:
		default:
		}
		return standin.Reply{Status: 200, Silent: strings.HasPrefix(c.ID, "gone")}
	}, func(s map[string]any) { s["limits"].(map[string]any)["maxOpen"] = 2 })
	defer env.close()
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := env.http.Do(env.request(ctx, "gone", "narrow", "60000m", body(1)))
		done <- err
	}()
	<-arrived
	if g, err := env.ask("over", "narrow", "500m", body(2)); err != nil || g.status != 503 {
		t.Errorf("beyond what may be held: %+v %v", g, err)
	}
	leave()
	if err := <-done; err == nil {
		t.Error("the request of the disconnected client succeeded")
	}
	for i := 0; ; i++ { // the mixer notices the disconnect after a while
		g, err := env.ask(fmt.Sprint("next", i), "narrow", "500m", body(2))
		if err != nil {
			t.Fatal(err)
		}
		if g.status == 200 {
			break
		}
	}
}

// While all client descriptors are in use, the connection idle longest is closed. Busy ones and their answers stay.
func TestIdleClientsAreEvicted(t *testing.T) {
	env := startEnv(t, 4, answerOK, nil)
	defer env.close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newConnLimiter(ln, &Limits{MaxClients: 3, NewConnGrace: time.Hour})
	server := &http.Server{ConnState: g.state, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {})}
	go server.Serve(g)
	defer server.Close()
	for i := range 10 { // each leaves its connection idle
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("connection %d: %v", i, err)
		}
		g.mu.Lock()
		if n := len(g.conns); n > 3 {
			t.Errorf("%d held", n)
		}
		g.mu.Unlock()
	}
}

// The order of eviction: silent connections first unless they are new, then idle ones, and none with a request in flight.
func TestEvictionOrder(t *testing.T) {
	now := time.Now()
	g := &connLimiter{newGrace: 100 * time.Millisecond, idleGrace: 2 * time.Second, conns: map[*client]bool{}}
	var order []string
	names := map[*client]string{}
	for _, c := range []struct {
		name  string
		state http.ConnState
		age   time.Duration
	}{{"busy", http.StateActive, time.Hour}, {"idle 3s", http.StateIdle, 3 * time.Second}, {"idle 1s", http.StateIdle, time.Second},
		{"new 50ms", http.StateNew, 50 * time.Millisecond}, {"new 1s", http.StateNew, time.Second},
		{"new 2s", http.StateNew, 2 * time.Second},
		{"idle 9s", http.StateIdle, 9 * time.Second}} {
		x := &client{state: c.state, since: now.Add(-c.age)}
		g.conns[x], names[x] = true, c.name
	}
	for c := g.evictionCandidate(now); c != nil; c = g.evictionCandidate(now) {
		order = append(order, names[c])
		delete(g.conns, c)
	}
	if got := strings.Join(order, ", "); got != "new 2s, new 1s, idle 9s, idle 3s, new 50ms, idle 1s" {
		t.Error(got)
	}
}

// The limits fit into the configured memory and descriptors, on the smallest machine as well as on the usual one.
func TestLimitsFitMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct{ mb, sockets int }{{32, 256}, {32, 1024}, {48, 256}, {192, 1024}} {
		cfg := idleMixer(t).cfg
		cfg.MemoryMB, cfg.Sockets = c.mb, c.sockets
		l := newLimits(cfg)
		sum := l.MaxClients*clientCost + l.Attempt.Connections*connCost + l.MaxLargeBodies*largeBodyCost + int(l.Discovery.MaxBodyBytes)
		if sum > c.mb<<20*2/3 || l.MaxClients+l.Attempt.Connections+reservedSockets > c.sockets ||
			l.MaxClients < c.sockets/3 && c.mb > 32 || l.Attempt.Connections < 64 {
			t.Errorf("%+v: %d bytes, %d clients, %d connections, %d large bodies", c, sum, l.MaxClients,
				l.Attempt.Connections, l.MaxLargeBodies)
		}
	}
}

// Large bodies wait for one of a few places and fail while these stay taken. Small ones need no place.
func TestLargeBodiesWait(t *testing.T) {
	in := &scanTransport{limits: &Limits{SmallBodyBytes: 4, MaxBodyBytes: 16, ReadTimeout: 20 * time.Millisecond},
		largeBodies: make(chan struct{}, 1)}
	read := func(text string) (int, func(), error) {
		b, release, err := in.readBody(&http.Request{Body: io.NopCloser(strings.NewReader(text))})
		return len(b), release, err
	}
	n, release, err := read(strings.Repeat("x", 12))
	if n != 12 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if _, _, err := read(strings.Repeat("x", 5)); err == nil {
		t.Error("a second long one was read")
	}
	if n, _, err := read("1234"); n != 4 || err != nil {
		t.Errorf("short: %d bytes, %v", n, err)
	}
	release()
	if n, _, err := read(strings.Repeat("x", 99)); n != 17 || err != nil {
		t.Errorf("too long: %d bytes, %v", n, err)
	}
}
