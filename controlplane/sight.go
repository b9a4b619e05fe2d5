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
func (h *Controller) called(pattern string, r *http.Request, answer reply, took time.Duration) {
	s := &h.sight
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
	h.log.Warn().Str("event", "call-refused").Str("call", pattern).Str("path", r.URL.Path[:min(len(r.URL.Path), most)]).
		Str("from", r.RemoteAddr).Int("status", answer.status).Int64("took-ms", took.Milliseconds()).
		Bytes("answer", answer.body[:min(len(answer.body), most)]).Bool("contact", h.inContact()).Uint64("version", h.version()).
		Int("not-logged", suppressed).Msg("")
}

// synced notes how long a write to the disk took.
func (s *sight) synced(took time.Duration) {
	s.syncs.Add(1)
	s.syncNanos.Add(int64(took))
	s.lastSync.Store(int64(took))
}

// figures tells how the controller stands among the others and what it answered.
func (h *Controller) figures(emit figures.Emit) {
	h.core.mu.Lock()
	epoch, primary := h.core.epoch, h.core.primary
	h.core.mu.Unlock()
	emit("epoch", float64(epoch.N))
	emit("epoch_changes_total", float64(h.sight.epochs.Load()))
	emit("members", float64(len(epoch.Members)))
	emit("messages_of_other_systems_total", float64(h.sight.elsewhere.Load()))
	emit("in_sync", float64(len(epoch.InSync)))
	emit("is_primary", figures.Truth(primary != "" && primary == h.at(h.set.IP, portMail)))
	emit("in_touch", figures.Truth(h.inTouch()))
	emit("in_contact", figures.Truth(h.inContact()))
	emit("contact_lapses_total", float64(h.sight.lapses.Load()))
	emit("configuration_version", float64(h.version()))
	emit("disk_syncs_total", float64(h.sight.syncs.Load()))
	emit("disk_sync_faults_total", float64(h.sight.syncFaults.Load()))
	emit("disk_sync_seconds_total", time.Duration(h.sight.syncNanos.Load()).Seconds())
	emit("disk_sync_last_seconds", time.Duration(h.sight.lastSync.Load()).Seconds())
	mixers, silent := h.mixers()
	emit("mixers_known", float64(mixers))
	emit("mixers_silent", float64(len(silent)))
	h.mu.Lock()
	emit("agents_pulling", float64(len(h.fronts)))
	emit("controllers_pulling", float64(len(h.peers)))
	emit("orders_in_hand", float64(len(h.orders)))
	h.mu.Unlock()
	distribution.EmitList(h.board, emit)
	h.sight.mu.Lock()
	defer h.sight.mu.Unlock()
	for a, n := range h.sight.calls {
		emit("calls_total", float64(n), figures.Label{Name: "call", Value: a.call}, figures.Label{Name: "status", Value: strconv.Itoa(a.status)})
	}
}
