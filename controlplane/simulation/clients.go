package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"peathollow/internal/simnet"
)

// caller makes HTTP calls from a host of its own.
type caller struct {
	client http.Client
}

func newCaller(h *simnet.Host) *caller {
	return &caller{http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return h.Dial(ctx, addr, time.Second, 0)
		}}}}
}

// call sends a request once, with the callers' timeout of one second. Status 0 means that there was no answer.
func (c *caller) call(method, addr, path string, body []byte) (status int, answer []byte) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	a, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	answer, err = io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, answer
}

// configChange is a configuration change that an operator submits.
type configChange struct {
	version uint64
	body    []byte
	sent    time.Time // for the first time
}

// operator holds what all operators together have observed.
type operator struct {
	highest  uint64
	latest   *configChange
	pending  map[*configChange]bool
	accepted map[uint64][]byte // acknowledged bodies by version
	rejected map[string]bool   // bodies that were answered with 409
	history  []acknowledgement // in order of time
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

func (op *operator) init() {
	op.pending, op.accepted, op.rejected = map[*configChange]bool{}, map[uint64][]byte{}, map[string]bool{}
}

// newest returns the highest version acknowledged before the given time.
func (op *operator) newest(before time.Time) (version uint64) {
	for _, a := range op.history {
		if a.at.Before(before) {
			version = max(version, a.version)
		}
	}
	return version
}

// serviceName is the name of the only service. A name may hold any character; serviceJSON is its form in a document.
const (
	serviceName = "p,q \"r\"/é%"
	serviceJSON = `"p,q \"r\"/é%"`
)

func document(version uint64, tag string) []byte {
	return fmt.Appendf(nil, `{"config-version":%d,"routes":[{"name":"a","host":"%s","path-prefix":"/","mode":"idempotent","horizon-ms":900,"plant":%s}],"plants":[{"name":%s}],"limits":{}}`, version, tag, serviceJSON, serviceJSON)
}

// runOperator submits changes until the run ends, several of them concurrently.
func (sim *Simulation) runOperator(id int) {
	c := newCaller(sim.net.Start(fmt.Sprintf("10.9.0.%d", id+1)))
	slots := make(chan struct{}, 4)
	for n := 0; sim.pause(sim.randomDuration(100*time.Millisecond, 2500*time.Millisecond)); n++ {
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		change := sim.newChange(id, n)
		sim.clients.Go(func() {
			sim.submit(c, change)
			<-slots
		})
	}
}

// newChange mostly draws a higher version, and sometimes the latest version of the other operator with another body.
func (sim *Simulation) newChange(id, n int) *configChange {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	p := &sim.operator
	change := &configChange{sent: time.Now()}
	if p.latest != nil && sim.rng.Float64() < 0.3 {
		change.version = p.latest.version
	} else {
		change.version = p.highest + 1 + uint64(sim.rng.IntN(3))
		p.highest = change.version
	}
	change.body = document(change.version, fmt.Sprintf("h%d-%d", id, n))
	p.latest = change
	p.pending[change] = true
	sim.result.Orders++
	return change
}

// submit sends a change until it gets a definite answer; answers may be lost. Some changes are sent again later.
func (sim *Simulation) submit(c *caller, change *configChange) {
	sim.sendUntilAnswered(c, change)
	sim.mu.Lock()
	delete(sim.operator.pending, change)
	sim.mu.Unlock()
	if sim.chance(0.3) && sim.pause(sim.randomDuration(0, 20*time.Second)) {
		sim.sendUntilAnswered(c, change)
	}
}

func (sim *Simulation) sendUntilAnswered(c *caller, change *configChange) {
	pause := 50 * time.Millisecond
	for {
		list := sim.controlAddrs()
		status, _ := c.call(http.MethodPut, list[sim.pick(len(list))], "/config", change.body)
		clear := sim.checkResponse(change, status)
		if clear && !sim.chance(0.25) {
			return
		}
		if !sim.pause(sim.randomDuration(pause/2, pause)) {
			return
		}
		pause = min(2*pause, 800*time.Millisecond)
	}
}

// checkResponse checks the answer to a change, and reports whether it is definite.
func (sim *Simulation) checkResponse(change *configChange, status int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	p := &sim.operator
	switch status {
	case http.StatusOK:
		if body, had := p.accepted[change.version]; had && !bytes.Equal(body, change.body) {
			sim.fail("version %d was acknowledged with two bodies", change.version)
		}
		if p.rejected[string(change.body)] {
			sim.fail("a change to version %d was rejected, and is acknowledged now", change.version)
		}
		if p.accepted[change.version] == nil {
			sim.result.Acknowledged++
			p.accepted[change.version] = change.body
			p.history = append(p.history, acknowledgement{change.version, time.Now()})
			sim.record("version %d is acknowledged", change.version)
			sim.triggerFault(ChangeAcknowledged)
		}
		return true
	case http.StatusConflict:
		if bytes.Equal(p.accepted[change.version], change.body) {
			sim.fail("a change to version %d was acknowledged, and is rejected now", change.version)
		}
		if !p.rejected[string(change.body)] {
			sim.result.Refused++
			p.rejected[string(change.body)] = true
		}
		return true
	case 0, http.StatusServiceUnavailable:
	default:
		sim.fail("a change to version %d got status %d", change.version, status)
	}
	return false
}
