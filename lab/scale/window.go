package scale

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// measureWindow reads all counters before and after it calls during, and adds the differences to the report as a window.
func (r *run) measureWindow(ctx context.Context, name string, during func(context.Context) error) error {
	window := Window{Name: name}
	totals := func(c *child) Totals {
		if c == nil {
			return Totals{}
		}
		t, err := r.queryTotals(c)
		if err != nil {
			r.recordFault("%v", err)
			return Totals{}
		}
		return *t
	}
	agentsBefore, searchersBefore := totals(r.agentProcess), totals(r.searcherProcess)
	meter := newTrafficMeter(r)
	if err := meter.sample(); err != nil {
		return err
	}
	before, err := r.readUsages()
	if err != nil {
		return err
	}
	start := time.Now()
	sampling, stopSampling := context.WithCancel(ctx)
	sampled := make(chan error, 1)
	go func() { sampled <- meter.sampleEverySecond(sampling) }()
	err = during(ctx)
	after, usageErr := r.readUsages()
	window.Seconds = time.Since(start).Seconds()
	stopSampling()
	if err := errors.Join(err, usageErr, <-sampled, context.Cause(ctx)); err != nil {
		return err
	}
	for i, c := range r.children {
		cpu := (after[i].cpu - before[i].cpu).Seconds()
		window.Processes = append(window.Processes, ProcessUsage{c.name, c.role, cpu, cpu / window.Seconds,
			float64(after[i].peakMemory) / (1 << 20), float64(after[i].memory) / (1 << 20)})
	}
	window.Traffic, window.LoadAverage = meter.traffic(window.Seconds), loadAverage()
	agentsAfter, searchersAfter := totals(r.agentProcess), totals(r.searcherProcess)
	window.HeartbeatRate, window.ConnectionRate = float64(searchersAfter.Heartbeats-searchersBefore.Heartbeats)/window.Seconds,
		float64(searchersAfter.Dials-searchersBefore.Dials)/window.Seconds
	window.BytesPerHeartbeat = float64(searchersAfter.BytesSent+searchersAfter.BytesReceived-
		searchersBefore.BytesSent-searchersBefore.BytesReceived) / float64(max(1, searchersAfter.Heartbeats-searchersBefore.Heartbeats))
	if searchersAfter.HeartbeatLatency != nil {
		window.HeartbeatLatency = *searchersAfter.HeartbeatLatency
	}
	window.MergeRate = float64(agentsAfter.Merges-agentsBefore.Merges) / window.Seconds / float64(max(1, r.Mixers-1))
	r.report.Windows, r.report.Simulated = append(r.report.Windows, window), []Totals{agentsAfter, searchersAfter}
	r.progress("%s: measured", name)
	return nil
}

func (r *run) readUsages() ([]usage, error) {
	usages := make([]usage, len(r.children))
	for i, c := range r.children {
		u, err := readUsage(c.cmd.Process.Pid)
		if err != nil {
			return nil, errors.Wrapf(err, "usage of %s", c.name)
		}
		usages[i] = u
	}
	return usages, nil
}

// trafficMeter sums the traffic of connections to the controllers. It reads each connection at its caller's end, which identifies
// the calling process, once a second, so that little of the traffic of a connection that ends is missed.
type trafficMeter struct {
	run             *run
	portNames       map[uint16]string
	controllerAddrs map[netip.Addr]bool
	baseline        map[uint64]socket // by cookie: counters at the first sample; missing (zero) for later connections
	latest          map[uint64]socket // by cookie: the last counters seen
	callers         map[uint64]string // by cookie: role of the calling process
	started         bool              // the first sample was taken
}

func newTrafficMeter(r *run) *trafficMeter {
	m := &trafficMeter{run: r, controllerAddrs: map[netip.Addr]bool{}, baseline: map[uint64]socket{}, latest: map[uint64]socket{},
		callers: map[uint64]string{}, portNames: map[uint16]string{}}
	for port, name := range map[int]string{portConsensus: "mail", portDistribution: "news", portCalls: "calls", portControl: "control"} {
		m.portNames[uint16(r.net.basePort+port)] = name
	}
	for i := range r.Controllers {
		m.controllerAddrs[netip.MustParseAddr(r.net.ip(i))] = true
	}
	return m
}

func (m *trafficMeter) sampleEverySecond(ctx context.Context) error {
	for sleep(ctx, time.Second) {
		if err := m.sample(); err != nil {
			return err
		}
	}
	return m.sample()
}

func (m *trafficMeter) sample() error {
	all, err := sockets()
	if err != nil {
		return err
	}
	var unseen []socket
	for _, s := range all {
		if m.portNames[s.remote.Port()] == "" || !m.controllerAddrs[s.remote.Addr()] {
			continue
		}
		if _, known := m.callers[s.cookie]; !known {
			unseen = append(unseen, s)
		}
		m.latest[s.cookie] = s
	}
	if len(unseen) > 0 {
		owners := map[uint32]string{}
		for _, c := range m.run.children {
			for inode := range socketInodes(c.cmd.Process.Pid) {
				owners[inode] = c.role
			}
		}
		for _, s := range unseen {
			m.callers[s.cookie] = cmp.Or(owners[s.inode], "operator")
			if !m.started {
				m.baseline[s.cookie] = s
			}
		}
	}
	m.started = true
	return nil
}

func (m *trafficMeter) traffic(seconds float64) []Traffic {
	sums := map[[2]string]*Traffic{}
	for cookie, s := range m.latest {
		key := [2]string{m.callers[cookie], m.portNames[s.remote.Port()]}
		traffic := sums[key]
		if traffic == nil {
			traffic = &Traffic{From: key[0], To: key[1]}
			sums[key] = traffic
		}
		base := m.baseline[cookie]
		traffic.Connections++
		traffic.BytesUp += float64(s.bytesSent-base.bytesSent) / seconds
		traffic.BytesDown += float64(s.bytesReceived-base.bytesReceived) / seconds
		traffic.SegmentsUp += float64(s.segmentsOut-base.segmentsOut) / seconds
		traffic.SegmentsDown += float64(s.segmentsIn-base.segmentsIn) / seconds
	}
	var list []Traffic
	for _, key := range slices.SortedFunc(maps.Keys(sums), func(a, b [2]string) int {
		return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
	}) {
		list = append(list, *sums[key])
	}
	return list
}

// parsePIDs parses a whitespace-separated list of process IDs.
func parsePIDs(b []byte) (list []int) {
	for field := range bytes.FieldsSeq(b) {
		if pid, err := strconv.Atoi(string(field)); err == nil {
			list = append(list, pid)
		}
	}
	return list
}
