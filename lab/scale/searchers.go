package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// searchers are many that only report.
type searchers struct {
	task Task
	tell func(Event)
	all  []*hollowSearcher

	mu    sync.Mutex
	tally Tally
	took  []float64 // of the beats since the last tally
	first int       // beats of lives that had none before
}

// hollowSearcher is one place at which searchers live one after the other.
type hollowSearcher struct {
	no, life, calls int
	service, zone   string
	dice            *rand.Rand
	at              int    // the control address that is called
	target          string // or the one that was named for later beats
	conn            net.Conn
	in              *bufio.Reader
	orders          chan string // drain, restart or crash
}

// counted adds up what goes over a connection, at the caller's side.
type counted struct {
	net.Conn
	of *searchers
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.mu.Lock()
	c.of.tally.Received += int64(n)
	c.of.mu.Unlock()
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.mu.Lock()
	c.of.tally.Sent += int64(n)
	c.of.mu.Unlock()
	return n, err
}

func startSearchers(ctx context.Context, t Task, tell func(Event)) func(Order) {
	s := &searchers{task: t, tell: tell}
	dice := rand.New(rand.NewPCG(t.Seed, 2))
	for i := range t.Count {
		x := &hollowSearcher{no: i, service: fmt.Sprintf("huvo%04da", i%t.Services), zone: zones[dice.IntN(len(zones))],
			dice: rand.New(rand.NewPCG(t.Seed, uint64(i)+16)), orders: make(chan string, 1)}
		x.at = x.dice.IntN(len(t.Control))
		s.all = append(s.all, x)
		go s.live(ctx, x)
	}
	go s.trouble(ctx)
	return s.do
}

func searcherID(no, life int) string { return fmt.Sprintf("i-%05d-%d", no, life) }

func (s *searchers) do(o Order) {
	switch o.Do {
	case "drain":
		s.all[o.Index].orders <- "drain"
	case "tally":
		s.mu.Lock()
		t := s.tally
		took := spread(s.took)
		t.Took, s.took = &took, nil
		s.mu.Unlock()
		s.tell(Event{Kind: "tally", Tally: &t})
	}
}

// trouble restarts and crashes searchers at the told rates, apart from those kept for measured drains.
func (s *searchers) trouble(ctx context.Context) {
	kept := min(drainedMost, len(s.all)/2)
	rate := s.task.Restart + s.task.Crash
	dice := rand.New(rand.NewPCG(s.task.Seed, 3))
	for rate > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(dice.ExpFloat64() / rate * float64(time.Minute))):
		}
		what := "restart"
		if dice.Float64()*rate < s.task.Crash {
			what = "crash"
		}
		select {
		case s.all[kept+dice.IntN(len(s.all)-kept)].orders <- what:
		default: // it is being restarted
		}
	}
}

func (s *searchers) live(ctx context.Context, x *hollowSearcher) {
	defer x.hangUp()
	period := s.task.Period
	if !sleep(ctx, time.Duration(x.dice.Int64N(int64(period)))) {
		return
	}
	tick := time.NewTicker(period)
	defer tick.Stop()
	s.beat(ctx, x, "ready")
	s.mu.Lock()
	if s.first++; s.first == len(s.all) {
		go s.tell(Event{Kind: "ready"})
	}
	s.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.beat(ctx, x, "ready")
		case what := <-x.orders:
			s.change(ctx, x, what)
		}
	}
}

// change ends one life and begins the next at the same place, as a replacement does.
func (s *searchers) change(ctx context.Context, x *hollowSearcher, what string) {
	if what != "crash" {
		e := Event{Kind: "drained", ID: searcherID(x.no, x.life), Sent: time.Now().UnixNano()}
		if err := s.beat(ctx, x, "draining"); err != nil {
			e.Fault = err.Error()
		}
		if e.Acked = time.Now().UnixNano(); what == "drain" {
			s.tell(e)
		}
		for left := s.task.Drain; left > 0; left -= s.task.Period {
			if !sleep(ctx, min(left, s.task.Period)) {
				return
			}
			s.beat(ctx, x, "draining")
		}
		s.call(ctx, x, http.MethodDelete, nil)
	}
	s.mu.Lock()
	if what == "crash" {
		s.tally.Crashes++
	} else {
		s.tally.Restarts++
	}
	s.mu.Unlock()
	x.hangUp()
	x.life++
	x.calls = 0
	if sleep(ctx, time.Second) {
		s.beat(ctx, x, "ready")
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// beat reports, by the protocol: an address that fails or says nothing for a second is left for the next one.
func (s *searchers) beat(ctx context.Context, x *hollowSearcher, state string) error {
	x.calls++
	body := fmt.Appendf(nil, `{"plant":%q,"address":"10.%d.%d.%d:8080","zone":%q,"config-version":"v1","capacity":3,"state":%q,`+
		`"warmup-left-ms":0,"call-count":%d}`, x.service, 128+x.no/62500, x.no/250%250, x.no%250, x.zone, state, x.calls)
	began := time.Now()
	answer, err := s.call(ctx, x, http.MethodPut, body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.tally.Beats++
	s.took = append(s.took, float64(time.Since(began))/1e6)
	s.mu.Unlock()
	var told struct {
		Target string `json:"beat-target"`
	}
	if json.Unmarshal(answer, &told) == nil && told.Target != "" && told.Target != x.target {
		x.target = told.Target
		x.hangUp()
	}
	if s.task.Fresh {
		x.hangUp()
	}
	return nil
}

func (s *searchers) call(ctx context.Context, x *hollowSearcher, method string, body []byte) ([]byte, error) {
	var last error
	for range 2 * len(s.task.Control) {
		answer, err := s.once(ctx, x, method, body)
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		last = err
		x.hangUp()
		x.target = ""
		x.at = (x.at + 1) % len(s.task.Control)
		s.mu.Lock()
		if s.tally.Failed++; s.tally.First == "" {
			s.tally.First = err.Error()
		}
		s.mu.Unlock()
	}
	return nil, last
}

func (s *searchers) once(ctx context.Context, x *hollowSearcher, method string, body []byte) ([]byte, error) {
	peer := x.target
	if peer == "" {
		peer = s.task.Control[x.at]
	}
	if x.conn == nil {
		d := net.Dialer{Timeout: time.Second}
		c, err := d.DialContext(ctx, "tcp", peer)
		if err != nil {
			return nil, errors.Wrapf(err, "dial, peer %s", peer)
		}
		s.mu.Lock()
		s.tally.Dials++
		s.mu.Unlock()
		x.conn = counted{c, s}
		x.in = bufio.NewReaderSize(x.conn, 512)
	}
	x.conn.SetDeadline(time.Now().Add(time.Second))
	var req bytes.Buffer
	fmt.Fprintf(&req, "%s /searchers/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", method, searcherID(x.no, x.life),
		peer, len(body))
	req.Write(body)
	if _, err := x.conn.Write(req.Bytes()); err != nil {
		return nil, errors.Wrapf(err, "call, peer %s", peer)
	}
	res, err := http.ReadResponse(x.in, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "answer, peer %s", peer)
	}
	answer, err := io.ReadAll(io.LimitReader(res.Body, 4<<10))
	res.Body.Close()
	if err != nil {
		return nil, errors.Wrapf(err, "answer, peer %s", peer)
	}
	if res.StatusCode/100 != 2 {
		return nil, errors.Errorf("answer, peer %s: status %d: %s", peer, res.StatusCode, answer)
	}
	return answer, nil
}

func (x *hollowSearcher) hangUp() {
	if x.conn != nil {
		x.conn.Close()
		x.conn = nil
	}
}
