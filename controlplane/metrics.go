package controlplane

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"peathollow/distribution"
	"peathollow/internal/exporter"
	"peathollow/internal/logbound"
)

// refusedCallLines is how many refused or unanswered calls are logged per second. The others are counted.
const refusedCallLines = 10

// foreignMessageLines is how many lines per second are logged about messages from other systems.
const foreignMessageLines = 1

// slowCall is the duration from which an answered call is logged as well, since its caller has probably turned to another
// machine.
const slowCall = time.Second

// metrics holds counters and log limits. It has no effect on what the controller does.
type metrics struct {
	callLog logbound.Limiter

	mu    sync.Mutex
	calls map[callOutcome]uint64

	syncs, syncFaults atomic.Uint64
	syncNanos         atomic.Int64 // total of all syncs
	lastSync          atomic.Int64 // duration of the last sync, in nanoseconds
	epochChanges      atomic.Uint64
	contactLapses     atomic.Uint64 // times that contact was lost
	foreignMessages   atomic.Uint64 // messages of other systems
	foreignLog        logbound.Limiter
}

// callOutcome identifies the answers of one status to one kind of call.
type callOutcome struct {
	call   string
	status int
}

// recordCall counts an answer, and logs it if it is a refusal or was slow.
func (c *Controller) recordCall(pattern string, r *http.Request, answer reply, took time.Duration) {
	m := &c.metrics
	m.mu.Lock()
	m.calls[callOutcome{pattern, answer.status}]++
	m.mu.Unlock()
	if answer.status < http.StatusBadRequest && took < slowCall {
		return
	}
	ok, suppressed := m.callLog.Allow(time.Now())
	if !ok {
		return
	}
	const maxLoggedBytes = 300
	c.log.Warn().Str("event", "call-refused").Str("call", pattern).Str("path", r.URL.Path[:min(len(r.URL.Path), maxLoggedBytes)]).
		Str("from", r.RemoteAddr).Int("status", answer.status).Int64("took-ms", took.Milliseconds()).
		Bytes("answer", answer.body[:min(len(answer.body), maxLoggedBytes)]).Bool("contact", c.inContact()).Uint64("version", c.version()).
		Int("not-logged", suppressed).Msg("")
}

// recordSync records the duration of a write to disk.
func (m *metrics) recordSync(took time.Duration) {
	m.syncs.Add(1)
	m.syncNanos.Add(int64(took))
	m.lastSync.Store(int64(took))
}

// emitMetrics emits the metrics of the controller.
func (c *Controller) emitMetrics(emit exporter.Emit) {
	c.driver.mu.Lock()
	epoch, primary := c.driver.epoch, c.driver.primary
	c.driver.mu.Unlock()
	emit("epoch", float64(epoch.N))
	emit("epoch_changes_total", float64(c.metrics.epochChanges.Load()))
	emit("members", float64(len(epoch.Members)))
	emit("messages_of_other_systems_total", float64(c.metrics.foreignMessages.Load()))
	emit("in_sync", float64(len(epoch.InSync)))
	emit("is_primary", exporter.BoolValue(primary != "" && primary == c.internalAddr(c.settings.IP, portConsensus)))
	emit("in_touch", exporter.BoolValue(c.quorumReachable()))
	emit("in_contact", exporter.BoolValue(c.inContact()))
	emit("contact_lapses_total", float64(c.metrics.contactLapses.Load()))
	emit("configuration_version", float64(c.version()))
	emit("disk_syncs_total", float64(c.metrics.syncs.Load()))
	emit("disk_sync_faults_total", float64(c.metrics.syncFaults.Load()))
	emit("disk_sync_seconds_total", time.Duration(c.metrics.syncNanos.Load()).Seconds())
	emit("disk_sync_last_seconds", time.Duration(c.metrics.lastSync.Load()).Seconds())
	mixers, silent := c.mixerCounts()
	emit("mixers_known", float64(mixers))
	emit("mixers_silent", float64(len(silent)))
	c.mu.Lock()
	emit("agents_pulling", float64(len(c.agents)))
	emit("controllers_pulling", float64(len(c.peers)))
	emit("orders_in_hand", float64(len(c.configSlots)))
	c.mu.Unlock()
	distribution.EmitListMetrics(c.replica, emit)
	c.metrics.mu.Lock()
	defer c.metrics.mu.Unlock()
	for a, n := range c.metrics.calls {
		emit("calls_total", float64(n), exporter.Label{Name: "call", Value: a.call}, exporter.Label{Name: "status", Value: strconv.Itoa(a.status)})
	}
}
