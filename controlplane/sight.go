package controlplane

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"peathollow/distribution"
	"peathollow/internal/figures"
	"peathollow/internal/logbound"
)

// refusalLines is how many refused or unanswered calls a second get a line in the log; the rest are counted.
const refusalLines = 10

// strangerLines is how many lines a second tell of messages from other systems.
const strangerLines = 1

// slowCall is from when on an answered call gets a line as well: its caller has probably turned elsewhere.
const slowCall = time.Second

// sight is what the controller keeps only so that others can see afterwards what it did.
type sight struct {
	lines logbound.Limiter

	mu    sync.Mutex
	calls map[answered]uint64

	syncs, syncFaults atomic.Uint64
	syncNanos         atomic.Int64 // of all syncs together
	lastSync          atomic.Int64 // how long the last one took, in nanoseconds
	epochs            atomic.Uint64
	lapses            atomic.Uint64 // of contact
	elsewhere         atomic.Uint64 // messages of other systems
	strangers         logbound.Limiter
}

// answered is one kind of answer to one kind of call.
type answered struct {
	call   string
	status int
}

// called notes an answer, and logs one that is a refusal or came late.
func (c *Controller) called(pattern string, r *http.Request, answer reply, took time.Duration) {
	s := &c.sight
	s.mu.Lock()
	s.calls[answered{pattern, answer.status}]++
	s.mu.Unlock()
	if answer.status < http.StatusBadRequest && took < slowCall {
		return
	}
	ok, suppressed := s.lines.Allow(time.Now())
	if !ok {
		return
	}
	const most = 300
	c.log.Warn().Str("event", "call-refused").Str("call", pattern).Str("path", r.URL.Path[:min(len(r.URL.Path), most)]).
		Str("from", r.RemoteAddr).Int("status", answer.status).Int64("took-ms", took.Milliseconds()).
		Bytes("answer", answer.body[:min(len(answer.body), most)]).Bool("contact", c.inContact()).Uint64("version", c.version()).
		Int("not-logged", suppressed).Msg("")
}

// synced notes how long a write to the disk took.
func (s *sight) synced(took time.Duration) {
	s.syncs.Add(1)
	s.syncNanos.Add(int64(took))
	s.lastSync.Store(int64(took))
}

// figures tells how the controller stands among the others and what it answered.
func (c *Controller) figures(emit figures.Emit) {
	c.core.mu.Lock()
	epoch, primary := c.core.epoch, c.core.primary
	c.core.mu.Unlock()
	emit("epoch", float64(epoch.N))
	emit("epoch_changes_total", float64(c.sight.epochs.Load()))
	emit("members", float64(len(epoch.Members)))
	emit("messages_of_other_systems_total", float64(c.sight.elsewhere.Load()))
	emit("in_sync", float64(len(epoch.InSync)))
	emit("is_primary", figures.Truth(primary != "" && primary == c.at(c.set.IP, portMail)))
	emit("in_touch", figures.Truth(c.inTouch()))
	emit("in_contact", figures.Truth(c.inContact()))
	emit("contact_lapses_total", float64(c.sight.lapses.Load()))
	emit("configuration_version", float64(c.version()))
	emit("disk_syncs_total", float64(c.sight.syncs.Load()))
	emit("disk_sync_faults_total", float64(c.sight.syncFaults.Load()))
	emit("disk_sync_seconds_total", time.Duration(c.sight.syncNanos.Load()).Seconds())
	emit("disk_sync_last_seconds", time.Duration(c.sight.lastSync.Load()).Seconds())
	mixers, silent := c.mixers()
	emit("mixers_known", float64(mixers))
	emit("mixers_silent", float64(len(silent)))
	c.mu.Lock()
	emit("agents_pulling", float64(len(c.fronts)))
	emit("controllers_pulling", float64(len(c.peers)))
	emit("orders_in_hand", float64(len(c.orders)))
	c.mu.Unlock()
	distribution.EmitListMetrics(c.board, emit)
	c.sight.mu.Lock()
	defer c.sight.mu.Unlock()
	for a, n := range c.sight.calls {
		emit("calls_total", float64(n), figures.Label{Name: "call", Value: a.call}, figures.Label{Name: "status", Value: strconv.Itoa(a.status)})
	}
}
