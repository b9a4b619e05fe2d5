package scale

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"peathollow/agent"
	"peathollow/controlplane"
	"peathollow/internal/settings"
	"peathollow/manifest"
	"peathollow/proxy"
)

const childProgramEnv = "PEATHOLLOW_SCALE_TEST_PROGRAM"

// TestMain also runs the child processes of a run, which use the test binary as their program.
func TestMain(m *testing.M) {
	if os.Getenv(childProgramEnv) == "" {
		os.Exit(m.Run())
	}
	if err := runProgram(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runProgram(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if args[0] == "lab" {
		return RunSimulated(ctx, args[2], os.Stdin, os.Stdout)
	}
	s, err := settings.Read(settings.PathFromEnvironment(os.Getenv))
	if err != nil {
		return err
	}
	logger := &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: os.Stderr}}
	incarnation := fmt.Sprintf("%s/%s/%d", args[0], s.Node, os.Getpid())
	switch args[0] {
	case "controller":
		controller, err := controlplane.New(s, incarnation, logger)
		if err != nil {
			return err
		}
		return controller.Run(ctx)
	case "agent":
		return agent.New(s, incarnation, logger).Run(ctx)
	default:
		return proxy.New(s, incarnation, logger).Run(ctx)
	}
}

// A short run passes through every step. The test checks that each figure is present but not its value, since two seconds on a
// busy machine yield no meaningful measurement.
func TestSmoke(t *testing.T) {
	tempDir := t.TempDir()
	t.Setenv("TMPDIR", tempDir)
	options := DefaultOptions()
	options.Program, options.Env = []string{os.Args[0]}, []string{childProgramEnv + "=1"}
	options.Mixers, options.Searchers, options.Controllers, options.Duration = 4, 4, 2, 2*time.Second
	options.HeartbeatPeriod, options.ChangeInterval, options.RestartsPerMinute, options.CrashesPerMinute,
		options.StartTimeout = 200*time.Millisecond, 500*time.Millisecond, 120, 60, 40*time.Second
	options.SettleTime = 0
	start := time.Now()
	options.Progress = func(s string) { t.Log(time.Since(start).Round(time.Millisecond), s) }
	r, err := Run(t.Context(), options)
	must.NoError(t, err)
	must.SliceEmpty(t, r.Faults)
	must.Len(t, 2, r.Windows)
	for _, w := range r.Windows {
		must.Len(t, 2+1+2+1, w.Processes) // controllers, searchers, agent and proxy, agents
		must.Greater(t, 5, w.HeartbeatRate)
		traffic := map[string]Traffic{}
		for _, l := range w.Traffic {
			traffic[l.From+" "+l.To] = l
		}
		for _, name := range []string{"searchers control", "agent news", "agents news", "controller mail", "controller news"} {
			must.Greater(t, 0, traffic[name].BytesUp, must.Sprint(w.Name, name))
		}
		for _, p := range w.Processes {
			must.Greater(t, 0, p.CPUSeconds, must.Sprint(p.Name))
			must.Greater(t, 1, p.PeakMemoryMB, must.Sprint(p.Name))
		}
	}
	must.SliceNotEmpty(t, r.Changes)
	must.SliceNotEmpty(t, r.Drains)
	for _, propagation := range append(r.Changes, r.Drains...) {
		must.Eq(t, "", propagation.Fault)
		must.Eq(t, 3, propagation.Latency.Count)
		must.Greater(t, 0, propagation.Latency.P50)
		must.GreaterEq(t, propagation.Latency.P99, propagation.Latency.Max)
	}
	var table bytes.Buffer
	must.NoError(t, r.Print(&table))
	must.StrContains(t, table.String(), "searchers to control")
	encoded, err := json.Marshal(r)
	must.NoError(t, err)
	must.StrContains(t, string(encoded), `"processor-share"`)

	leftover, err := os.ReadDir(tempDir)
	must.NoError(t, err)
	must.SliceEmpty(t, leftover)
	must.SliceEmpty(t, childPIDs(t))
}

// A run that is cancelled midway leaves no files and no processes behind, like one that completes.
func TestCancelledRunLeavesNothing(t *testing.T) {
	tempDir := t.TempDir()
	t.Setenv("TMPDIR", tempDir)
	options := DefaultOptions()
	options.Program, options.Env = []string{os.Args[0]}, []string{childProgramEnv + "=1"}
	options.Mixers, options.Searchers, options.Controllers = 2, 2, 1
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	_, err := Run(ctx, options)
	must.Error(t, err)
	leftover, err := os.ReadDir(tempDir)
	must.NoError(t, err)
	must.SliceEmpty(t, leftover)
	must.SliceEmpty(t, childPIDs(t))
}

func childPIDs(t *testing.T) []int {
	files, err := filepath.Glob("/proc/self/task/*/children")
	must.NoError(t, err)
	var list []int
	for _, f := range files {
		b, err := os.ReadFile(f)
		must.NoError(t, err)
		list = append(list, parsePIDs(b)...)
	}
	return list
}

func TestSummarize(t *testing.T) {
	must.Eq(t, LatencySummary{}, summarize(nil))
	must.Eq(t, LatencySummary{1, 7, 7, 7}, summarize([]float64{7}))
	var ms []float64
	for i := range 200 {
		ms = append(ms, float64(200-i))
	}
	must.Eq(t, LatencySummary{200, 100, 198, 200}, summarize(ms))
	must.Eq(t, []float64{0.5, -1}, elapsedMS(2_000_000, []int64{2_500_000, 1_000_000}))
}

func TestProcfsParsing(t *testing.T) {
	d, err := runTime([]byte("123456 7 8\n"))
	must.NoError(t, err)
	must.Eq(t, 123456, d)
	for _, bad := range []string{"", "1 2", "x 2 3"} {
		_, err := runTime([]byte(bad))
		must.Error(t, err)
	}
	n, err := memoryBytes([]byte("VmPeak:\t 99 kB\nVmHWM:\t   2 kB\n"), "VmHWM")
	must.NoError(t, err)
	must.Eq(t, 2048, n)
	for _, bad := range []string{"", "VmHWM: 2\n", "VmHWM: x kB\n", "VmHWM: 2 MB\n"} {
		_, err := memoryBytes([]byte(bad), "VmHWM")
		must.Error(t, err)
	}
	must.Eq(t, []int{3, 44}, parsePIDs([]byte("3 44 \n")))
	u, err := readUsage(os.Getpid())
	must.NoError(t, err)
	must.Positive(t, u.cpu)
	must.GreaterEq(t, u.memory, u.peakMemory)
	_, err = readUsage(1 << 30)
	must.Error(t, err)
}

// The kernel's counters of a connection match the traffic that went over it.
func TestSocketCountersMatchTraffic(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer dialed.Close()
	accepted, err := ln.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	_, err = dialed.Write(make([]byte, 1000))
	must.NoError(t, err)
	_, err = accepted.Write(make([]byte, 10))
	must.NoError(t, err)
	_, err = dialed.Read(make([]byte, 10))
	must.NoError(t, err)
	_, err = accepted.Read(make([]byte, 1000))
	must.NoError(t, err)
	owned := socketInodes(os.Getpid())
	find := func() *socket {
		all, err := sockets()
		must.NoError(t, err)
		for _, s := range all {
			if s.local.String() == dialed.LocalAddr().String() && s.remote.String() == dialed.RemoteAddr().String() {
				return &s
			}
		}
		return nil
	}
	for deadline := time.Now().Add(2 * time.Second); ; { // the acknowledgement may be delayed
		s := find()
		must.NotNil(t, s)
		if s.bytesSent >= 1000 || time.Now().After(deadline) {
			must.Between(t, 1000, s.bytesSent, 1001) // the SYN counts as one byte
			must.Between(t, 10, s.bytesReceived, 11)
			must.Eq(t, 1, s.segmentsOut)
			must.Eq(t, 1, s.segmentsIn)
			must.True(t, owned[s.inode])
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestParseSocketRejectsMalformedMessages(t *testing.T) {
	b := make([]byte, diagMessageLen+4+160)
	copy(b[4:], []byte{0x1f, 0x90, 0, 80}) // ports are in network byte order
	copy(b[8:], []byte{10, 0, 0, 1})
	copy(b[24:], []byte{10, 0, 0, 2})
	binary.NativeEndian.PutUint16(b[diagMessageLen:], 4+160)
	binary.NativeEndian.PutUint16(b[diagMessageLen+2:], inetDiagInfo)
	binary.NativeEndian.PutUint64(b[diagMessageLen+4+120:], 77)
	s, ok := parseSocket(b)
	must.True(t, ok)
	must.Eq(t, netip.MustParseAddrPort("10.0.0.1:8080"), s.local)
	must.Eq(t, netip.MustParseAddrPort("10.0.0.2:80"), s.remote)
	must.Eq(t, 77, s.bytesSent)
	for n := range b {
		_, ok := parseSocket(b[:n])
		must.False(t, ok)
	}
	binary.NativeEndian.PutUint16(b[diagMessageLen:], 2)
	_, ok = parseSocket(b)
	must.False(t, ok)
}

func TestDocument(t *testing.T) {
	o := DefaultOptions()
	var last []byte
	for version := 1; version < 4; version++ {
		raw, err := document(&o, version)
		must.NoError(t, err)
		m, err := manifest.Parse(raw)
		must.NoError(t, err)
		must.Len(t, o.Routes, m.Routes)
		must.NotEq(t, string(last), string(raw))
		last = raw
	}
}

func TestOptionsAreBounded(t *testing.T) {
	o := DefaultOptions()
	must.NoError(t, o.Check())
	for name, change := range map[string]func(*Options){
		"mixers":       func(o *Options) { o.Mixers = 0 },
		"searchers":    func(o *Options) { o.Searchers = maxSearchers + 1 },
		"core":         func(o *Options) { o.Controllers = 0 },
		"shards":       func(o *Options) { o.Shards = 0 },
		"for":          func(o *Options) { o.Duration = time.Hour },
		"change-every": func(o *Options) { o.ChangeInterval = 0 },
		"beat-period":  func(o *Options) { o.HeartbeatPeriod = 0 },
		"restarts":     func(o *Options) { o.RestartsPerMinute = -1 },
	} {
		o := DefaultOptions()
		change(&o)
		err := o.Check()
		must.Error(t, err)
		must.True(t, strings.Contains(err.Error(), name), must.Sprint(name))
	}
}

func TestControllersSpreadOverZones(t *testing.T) {
	seen := map[string]bool{}
	for i := range 4 {
		seen[regionsByZone()[zoneOf(i, 4)]+zoneOf(i, 4)] = true
	}
	must.MapLen(t, 4, seen)
	must.MapContainsKey(t, seen, "east"+"east-1")
	must.MapContainsKey(t, seen, "west"+"west-1")
}
