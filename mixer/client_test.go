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

// What clients do, and what they hold.

func TestBadRequestsAreToldAtOnce(t *testing.T) {
	w := start(t, 4, sound, nil)
	defer w.close()
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
		g, err := w.ask(c.id, c.class, c.wait, c.body)
		if err != nil || g.status/100 != 4 || !strings.Contains(g.text, c.want) {
			t.Errorf("%q: %d %q %v", c.want, g.status, g.text, err)
		}
	}
	if g, err := w.ask("late", "narrow", "0m", body(1)); err != nil || g.status != 503 {
		t.Errorf("a deadline already past: %+v %v", g, err)
	}
	if len(w.seen) > 0 {
		t.Errorf("dispatches: %v", w.seen)
	}
}

// raw sends bytes as they are and gives the statuses of the answers till the mixer closes.
func (w *world) raw(text string) (statuses []int) {
	c, err := net.Dial("tcp", w.base)
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		w.t.Fatal(err)
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

// A head with two ways to tell the body's length is refused and its connection closed, however it is written: what
// one reading takes for the body is a further request in the other, and would be passed on.
func TestTwoLengthsAreRefused(t *testing.T) {
	w := start(t, 4, sound, patient)
	defer w.close()
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
			got := w.raw(before + head(fmt.Sprint("both", i, j), both+"\r\n") + chunks + behind)
			want := min(j, 1)
			if len(got) != want+1 || got[want]/100 < 4 || want > 0 && got[0] != 200 {
				t.Errorf("%q behind %.30q: %d", both, before, got)
			}
			w.mu.Lock()
			if len(w.seen["hidden.1"]) > 0 || len(w.seen[fmt.Sprintf("both%d%d.1", i, j)]) > 0 {
				t.Errorf("%q: passed on", both)
			}
			w.mu.Unlock()
		}
	}
	if got := w.raw(sane + head("last", "Transfer-Encoding: chunked\r\n\r\n") + chunks + behind); fmt.Sprint(got) != "[200 200 200]" {
		t.Errorf("requests one behind the other: %v", got)
	}
}

// Clients that say nothing, or half a request, are sent away in time, and what is claimed to be long is not waited for.
func TestClientsThatNeverAsk(t *testing.T) {
	w := start(t, 4, sound, nil)
	defer w.close()
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
			if got := fmt.Sprint(w.raw(text)); got != want || time.Since(at) > 10*time.Second {
				t.Errorf("%.60q: %s after %v", text, got, time.Since(at))
			}
		})
	}
	all.Wait()
}

// A client that leaves ends its scan: the parts it held count as free again.
func TestAClientLeaves(t *testing.T) {
	arrived := make(chan bool, 8)
	w := start(t, 4, func(_, _ int, c proto.Call) standin.Reply {
		select {
		case arrived <- true:
		default:
		}
		return standin.Reply{End: 200, Silent: strings.HasPrefix(c.ID, "gone")}
	}, func(s map[string]any) { s["limits"].(map[string]any)["maxOpen"] = 2 })
	defer w.close()
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := w.http.Do(w.request(ctx, "gone", "narrow", "60000m", body(1)))
		done <- err
	}()
	<-arrived
	if g, err := w.ask("over", "narrow", "500m", body(2)); err != nil || g.status != 503 {
		t.Errorf("beyond what may be held: %+v %v", g, err)
	}
	leave()
	if err := <-done; err == nil {
		t.Error("the client did not leave")
	}
	for i := 0; ; i++ { // the mixer hears of it in its own time
		g, err := w.ask(fmt.Sprint("next", i), "narrow", "500m", body(2))
		if err != nil {
			t.Fatal(err)
		}
		if g.status == 200 {
			break
		}
	}
}

// With all descriptors of clients in use the one idle longest goes; busy ones and their answers stay.
func TestIdleClientsMakeRoom(t *testing.T) {
	w := start(t, 4, sound, nil)
	defer w.close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newGate(ln, &Limits{Clients: 3, ClientYoung: time.Hour})
	srv := &http.Server{ConnState: g.state, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {})}
	go srv.Serve(g)
	defer srv.Close()
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

// Who makes room: the silent first, unless they have only just come, then the idle, and nobody with a request in hand.
func TestWhoMakesRoom(t *testing.T) {
	now := time.Now()
	g := &gate{young: 100 * time.Millisecond, spare: 2 * time.Second, conns: map[*client]bool{}}
	var order []string
	names := map[*client]string{}
	for _, c := range []struct {
		name  string
		state http.ConnState
		age   time.Duration
	}{{"busy", http.StateActive, time.Hour}, {"idle 3s", http.StateIdle, 3 * time.Second}, {"idle 1s", http.StateIdle, time.Second},
		{"new 50ms", http.StateNew, 50 * time.Millisecond}, {"new 1s", http.StateNew, time.Second}, {"new 2s", http.StateNew, 2 * time.Second},
		{"idle 9s", http.StateIdle, 9 * time.Second}} {
		x := &client{state: c.state, since: now.Add(-c.age)}
		g.conns[x], names[x] = true, c.name
	}
	for c := g.worst(now); c != nil; c = g.worst(now) {
		order = append(order, names[c])
		delete(g.conns, c)
	}
	if got := strings.Join(order, ", "); got != "new 2s, new 1s, idle 9s, idle 3s, new 50ms, idle 1s" {
		t.Error(got)
	}
}

// What may be held at once fits into the memory told, on the smallest machine as well as on the usual one.
func TestWhatMayBeHeldFits(t *testing.T) {
	for _, c := range []struct{ mb, sockets int }{{32, 256}, {32, 1024}, {48, 256}, {192, 1024}} {
		cfg := w0(t).cfg
		cfg.MemoryMB, cfg.Sockets = c.mb, c.sockets
		l := newLimits(cfg)
		sum := l.Clients*clientCost + l.Attempt.Connections*laneCost + l.Big*bigCost + int(l.Discovery.Body)
		if sum > c.mb<<20*2/3 || l.Clients+l.Attempt.Connections+otherSockets > c.sockets || l.Clients < c.sockets/3 && c.mb > 32 || l.Attempt.Connections < 64 {
			t.Errorf("%+v: %d bytes, %d clients, %d connections, %d long bodies", c, sum, l.Clients, l.Attempt.Connections, l.Big)
		}
	}
}

// Long bodies wait for few places, and in vain while these are taken; short ones pass by them.
func TestLongBodiesWait(t *testing.T) {
	in := &takeIn{lim: &Limits{Small: 4, Body: 16, ClientRead: 20 * time.Millisecond}, big: make(chan struct{}, 1)}
	read := func(text string) (int, func(), error) {
		b, free, err := in.body(&http.Request{Body: io.NopCloser(strings.NewReader(text))})
		return len(b), free, err
	}
	n, free, err := read(strings.Repeat("x", 12))
	if n != 12 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if _, _, err := read(strings.Repeat("x", 5)); err == nil {
		t.Error("a second long one was read")
	}
	if n, _, err := read("1234"); n != 4 || err != nil {
		t.Errorf("short: %d bytes, %v", n, err)
	}
	free()
	if n, _, err := read(strings.Repeat("x", 99)); n != 17 || err != nil {
		t.Errorf("too long: %d bytes, %v", n, err)
	}
}
