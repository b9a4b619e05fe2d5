package controlplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"peathollow/internal/settings"
	"peathollow/registry"
)

// These tests run real controllers on loopback addresses of their own, with the same ports on each.

type testCluster struct {
	t           *testing.T
	ports       int // first of the internal ports; the control port is the last
	seeds       []string
	controllers []*testController
}

type testController struct {
	settings *settings.Settings
	c        *Controller
	stop     func()
	done     chan struct{}
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	first := ln.Addr().(*net.TCPAddr).Port
	ln.Close()
	cluster := &testCluster{t: t, ports: min(first, 60_000)}
	for i := range n {
		cluster.seeds = append(cluster.seeds, fmt.Sprintf("127.0.7.%d:%d", i+1, cluster.ports+9))
	}
	for i := range n {
		cluster.start(i, t.TempDir(), true)
	}
	t.Cleanup(func() {
		for _, b := range cluster.controllers {
			b.shutDown()
		}
	})
	return cluster
}

func (cluster *testCluster) start(i int, dir string, cold bool) *testController {
	cluster.t.Helper()
	ip := fmt.Sprintf("127.0.7.%d", i+1)
	s := &settings.Settings{Node: fmt.Sprint("core-", i), IP: ip, Zone: fmt.Sprint("z", i), Region: "r", Zones: map[string]string{fmt.Sprint("z", i): "r"},
		Control: fmt.Sprintf("%s:%d", ip, cluster.ports+9), PortFirst: cluster.ports, PortLast: cluster.ports + 8,
		Seeds: cluster.seeds, ColdStart: cold, CountsLoss: true,
		DataDir: dir, BeatPeriod: time.Second, MachineLosses: 1, RetryWindow: 10 * time.Second}
	ctx, stop := context.WithCancel(context.Background())
	c, err := New(s, fmt.Sprintf("controller/%s/%d", s.Node, len(cluster.controllers)), &log.Logger{Level: log.PanicLevel})
	must.NoError(cluster.t, err)
	b := &testController{settings: s, c: c, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(b.done)
		c.Run(ctx)
	}()
	if i < len(cluster.controllers) {
		cluster.controllers[i] = b
	} else {
		cluster.controllers = append(cluster.controllers, b)
	}
	return b
}

// shutDown stops a controller and closes its store.
func (b *testController) shutDown() {
	select {
	case <-b.done:
		return
	default:
	}
	b.stop()
	<-b.done
	b.c.Close()
}

// call sends a request to an endpoint. Status 0 means that there was no answer.
func (cluster *testCluster) call(i int, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+cluster.controllers[i].settings.Control+path, strings.NewReader(body))
	must.NoError(cluster.t, err)
	c := http.Client{Timeout: 5 * time.Second}
	a, err := c.Do(r)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	got, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(got)
}

// until polls until f returns true.
func (cluster *testCluster) until(what string, f func() bool) {
	cluster.t.Helper()
	timeout := time.After(40 * time.Second)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !f() {
		select {
		case <-timeout:
			cluster.t.Fatalf("not in time: %s", what)
		case <-ticker.C:
		}
	}
}

func document(version int) string {
	return fmt.Sprintf(`{"config-version":%d,"routes":[{"name":"a","host":"h","path-prefix":"/","mode":"idempotent","horizon-ms":900,"plant":"p"}],"plants":[{"name":"p"}],"limits":{}}`, version)
}

func heartbeatBody(state string, calls int) string {
	return fmt.Sprintf(`{"plant":"p","address":"10.0.0.9:80","zone":"z0","config-version":"v1","capacity":3,"state":"%s","warmup-left-ms":0,"call-count":%d}`, state, calls)
}

func TestConfigurationOutlivesItsLeader(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.until("the first configuration is acknowledged", func() bool {
		code, _ := cluster.call(1, "PUT", "/config", document(4))
		return code == 200
	})
	for _, bad := range []string{"{", `{"config-version":9}`, strings.Replace(document(9), `"plant":"p"`, `"plant":"q"`, 1)} {
		code, problem := cluster.call(2, "PUT", "/config", bad)
		must.Eq(t, 400, code, must.Sprint(problem))
	}
	code, _ := cluster.call(0, "PUT", "/config", document(3)) // not above the version held
	must.Eq(t, 200, code)
	// Of two bodies under one version only one is accepted, on every controller and also when it is sent again.
	for i := range cluster.controllers {
		code, problem := cluster.call(i, "PUT", "/config", strings.Replace(document(4), `"h"`, `"other"`, 1))
		must.Eq(t, 409, code)
		must.StrContains(t, problem, `"config-version":4`)
		code, _ = cluster.call(i, "PUT", "/config", document(4))
		must.Eq(t, 200, code)
	}
	cluster.until("every controller returns it, whole", func() bool {
		for i := range cluster.controllers {
			if code, got := cluster.call(i, "GET", "/config", ""); code != 200 || got != document(4) {
				return false
			}
		}
		return true
	})

	// The primary loses its disk and returns as a new member. What was acknowledged is still there.
	primary := 0
	for i, b := range cluster.controllers {
		b.c.driver.mu.Lock()
		at := b.c.driver.primary
		b.c.driver.mu.Unlock()
		if strings.HasPrefix(at, b.settings.IP+":") {
			primary = i
		}
	}
	cluster.controllers[primary].shutDown()
	other := (primary + 1) % 3
	cluster.until("a change is acknowledged without the former primary", func() bool {
		code, _ := cluster.call(other, "PUT", "/config", document(5))
		return code == 200
	})
	b := cluster.start(primary, t.TempDir(), false)
	cluster.until("the wiped machine is a member again", func() bool {
		b.c.driver.mu.Lock()
		defer b.c.driver.mu.Unlock()
		for _, m := range b.c.driver.epoch.Members {
			if m.ID == b.c.driver.node.ID() {
				return true
			}
		}
		return false
	})
	cluster.until("it returns what was acknowledged meanwhile", func() bool {
		code, got := cluster.call(primary, "GET", "/config", "")
		return code == 200 && got == document(5)
	})
}

func TestADrainIsAcknowledgedOnceMostOfTheCoreKnows(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.until("a heartbeat is accepted", func() bool {
		code, _ := cluster.call(0, "PUT", "/searchers/i-1", heartbeatBody("ready", 1))
		return code == 200
	})
	for _, bad := range []string{"", "[]", heartbeatBody("asleep", 2), `{"plant":"p","state":"ready"}`} {
		code, _ := cluster.call(0, "PUT", "/searchers/i-2", bad)
		must.Eq(t, 400, code)
	}
	cluster.until("the drain is acknowledged", func() bool {
		code, _ := cluster.call(0, "PUT", "/searchers/i-1", heartbeatBody("draining", 2))
		return code == 200
	})
	holders := 0
	for _, b := range cluster.controllers {
		for _, e := range b.c.replica.Entries() {
			if e.ID == "i-1" && e.State == registry.Draining {
				holders++
			}
		}
	}
	must.GreaterEq(t, 2, holders)

	// A controller on its own can't know whether another one has persisted anything.
	cluster.controllers[1].shutDown()
	cluster.controllers[2].shutDown()
	cluster.until("a drain that no other controller can persist is refused", func() bool {
		code, _ := cluster.call(0, "PUT", "/searchers/i-3", heartbeatBody("draining", 1))
		return code == 503
	})
	code, _ := cluster.call(0, "PUT", "/config", document(7))
	must.Eq(t, 503, code)
}
