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

// searcherSet runs the simulated searchers of one process. They send heartbeats and answer no queries.
type searcherSet struct {
	task Task
	emit func(Event)
	all  []*simulatedSearcher

	mu        sync.Mutex
	totals    Totals
	latencies []float64 // of the heartbeats since the last tally, in milliseconds
	reported  int       // searchers whose first heartbeat call has ended
}

// simulatedSearcher is one slot of the fleet, which holds one searcher incarnation after another.
type simulatedSearcher struct {
	index, incarnation, callCount int
	service, zone                 string
	rng                           *rand.Rand
	controlIndex                  int    // index of the control address that receives heartbeats
	target                        string // address that a controller named for later heartbeats; takes precedence
	conn                          net.Conn
	reader                        *bufio.Reader
	actions                       chan string // drain, restart or crash
}

// countingConn counts the bytes of a connection at the caller's side.
type countingConn struct {
	net.Conn
	set *searcherSet
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.set.mu.Lock()
	c.set.totals.BytesReceived += int64(n)
	c.set.mu.Unlock()
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.set.mu.Lock()
	c.set.totals.BytesSent += int64(n)
	c.set.mu.Unlock()
	return n, err
}

// startSearchers starts the task's searchers and returns the handler of the parent's commands.
func startSearchers(ctx context.Context, task Task, emit func(Event)) func(Command) {
	set := &searcherSet{task: task, emit: emit}
	rng := rand.New(rand.NewPCG(task.Seed, 2))
	for i := range task.Count {
		searcher := &simulatedSearcher{index: i, service: fmt.Sprintf("huvo%04da", i%task.Services), zone: zones[rng.IntN(len(zones))],
			rng: rand.New(rand.NewPCG(task.Seed, uint64(i)+16)), actions: make(chan string, 1)}
		searcher.controlIndex = searcher.rng.IntN(len(task.ControlAddrs))
		set.all = append(set.all, searcher)
		go set.runSearcher(ctx, searcher)
	}
	go set.injectFailures(ctx)
	return set.handle
}

func searcherID(index, incarnation int) string { return fmt.Sprintf("i-%05d-%d", index, incarnation) }

func (s *searcherSet) handle(command Command) {
	switch command.Action {
	case "drain":
		s.all[command.Index].actions <- "drain"
	case "tally":
		s.mu.Lock()
		totals := s.totals
		latency := summarize(s.latencies)
		totals.HeartbeatLatency, s.latencies = &latency, nil
		s.mu.Unlock()
		s.emit(Event{Kind: "tally", Totals: &totals})
	}
}

// injectFailures restarts and crashes searchers at the task's rates. It spares those that are reserved for measured drains.
func (s *searcherSet) injectFailures(ctx context.Context) {
	reserved := min(maxDrains, len(s.all)/2)
	rate := s.task.Restart + s.task.Crash
	rng := rand.New(rand.NewPCG(s.task.Seed, 3))
	for rate > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Minute))):
		}
		action := "restart"
		if rng.Float64()*rate < s.task.Crash {
			action = "crash"
		}
		select {
		case s.all[reserved+rng.IntN(len(s.all)-reserved)].actions <- action:
		default: // a restart or crash is already pending
		}
	}
}

// runSearcher sends a searcher's heartbeats and performs its drains, restarts and crashes until the context ends.
func (s *searcherSet) runSearcher(ctx context.Context, searcher *simulatedSearcher) {
	defer searcher.disconnect()
	period := s.task.HeartbeatPeriod
	if !sleep(ctx, time.Duration(searcher.rng.Int64N(int64(period)))) {
		return
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	s.heartbeat(ctx, searcher, "ready")
	s.mu.Lock()
	if s.reported++; s.reported == len(s.all) {
		go s.emit(Event{Kind: "ready"})
	}
	s.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.heartbeat(ctx, searcher, "ready")
		case action := <-searcher.actions:
			s.replace(ctx, searcher, action)
		}
	}
}

// replace ends the slot's incarnation and starts the next one. A crash skips the drain and the deregistration.
func (s *searcherSet) replace(ctx context.Context, searcher *simulatedSearcher, action string) {
	if action != "crash" {
		event := Event{Kind: "drained", ID: searcherID(searcher.index, searcher.incarnation), SentAt: time.Now().UnixNano()}
		if err := s.heartbeat(ctx, searcher, "draining"); err != nil {
			event.Fault = err.Error()
		}
		if event.AckedAt = time.Now().UnixNano(); action == "drain" {
			s.emit(event)
		}
		for remaining := s.task.DrainTime; remaining > 0; remaining -= s.task.HeartbeatPeriod {
			if !sleep(ctx, min(remaining, s.task.HeartbeatPeriod)) {
				return
			}
			s.heartbeat(ctx, searcher, "draining")
		}
		s.call(ctx, searcher, http.MethodDelete, nil)
	}
	s.mu.Lock()
	if action == "crash" {
		s.totals.Crashes++
	} else {
		s.totals.Restarts++
	}
	s.mu.Unlock()
	searcher.disconnect()
	searcher.incarnation++
	searcher.callCount = 0
	if sleep(ctx, time.Second) {
		s.heartbeat(ctx, searcher, "ready")
	}
}

// sleep waits for d and reports whether the context was still live.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// heartbeat sends a heartbeat as the searcher protocol prescribes: an address that fails, or doesn't respond within a second, is
// given up for the next one.
func (s *searcherSet) heartbeat(ctx context.Context, searcher *simulatedSearcher, state string) error {
	searcher.callCount++
	body := fmt.Appendf(nil, `{"plant":%q,"address":"10.%d.%d.%d:8080","zone":%q,"config-version":"v1","capacity":3,"state":%q,`+
		`"warmup-left-ms":0,"call-count":%d}`, searcher.service,
		128+searcher.index/62500, searcher.index/250%250, searcher.index%250, searcher.zone, state, searcher.callCount)
	start := time.Now()
	response, err := s.call(ctx, searcher, http.MethodPut, body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.totals.Heartbeats++
	s.latencies = append(s.latencies, float64(time.Since(start))/1e6)
	s.mu.Unlock()
	var reply struct {
		Target string `json:"beat-target"`
	}
	if json.Unmarshal(response, &reply) == nil && reply.Target != "" && reply.Target != searcher.target {
		searcher.target = reply.Target
		searcher.disconnect()
	}
	if s.task.FreshConnections {
		searcher.disconnect()
	}
	return nil
}

// call performs a control request and tries each control address at most twice.
func (s *searcherSet) call(ctx context.Context, searcher *simulatedSearcher, method string, body []byte) ([]byte, error) {
	var lastErr error
	for range 2 * len(s.task.ControlAddrs) {
		response, err := s.callOnce(ctx, searcher, method, body)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		lastErr = err
		searcher.disconnect()
		searcher.target = ""
		searcher.controlIndex = (searcher.controlIndex + 1) % len(s.task.ControlAddrs)
		s.mu.Lock()
		if s.totals.FailedCalls++; s.totals.FirstError == "" {
			s.totals.FirstError = err.Error()
		}
		s.mu.Unlock()
	}
	return nil, lastErr
}

// callOnce performs a control request at the current address and returns the response body.
func (s *searcherSet) callOnce(ctx context.Context, searcher *simulatedSearcher, method string, body []byte) ([]byte, error) {
	peer := searcher.target
	if peer == "" {
		peer = s.task.ControlAddrs[searcher.controlIndex]
	}
	if searcher.conn == nil {
		dialer := net.Dialer{Timeout: time.Second}
		conn, err := dialer.DialContext(ctx, "tcp", peer)
		if err != nil {
			return nil, errors.Wrapf(err, "dial, peer %s", peer)
		}
		s.mu.Lock()
		s.totals.Dials++
		s.mu.Unlock()
		searcher.conn = countingConn{conn, s}
		searcher.reader = bufio.NewReaderSize(searcher.conn, 512)
	}
	searcher.conn.SetDeadline(time.Now().Add(time.Second))
	var req bytes.Buffer
	fmt.Fprintf(&req, "%s /searchers/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		method, searcherID(searcher.index, searcher.incarnation), peer, len(body))
	req.Write(body)
	if _, err := searcher.conn.Write(req.Bytes()); err != nil {
		return nil, errors.Wrapf(err, "call, peer %s", peer)
	}
	response, err := http.ReadResponse(searcher.reader, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "answer, peer %s", peer)
	}
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	response.Body.Close()
	if err != nil {
		return nil, errors.Wrapf(err, "answer, peer %s", peer)
	}
	if response.StatusCode/100 != 2 {
		return nil, errors.Errorf("answer, peer %s: status %d: %s", peer, response.StatusCode, responseBody)
	}
	return responseBody, nil
}

func (s *simulatedSearcher) disconnect() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
}
