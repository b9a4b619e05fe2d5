package request

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// TestStopEndsAllRequests guards against requests that still wait at a searcher when their process is stopped: they got no
// answer at all (review/4). In simulations with random faults each request has its final answer by the time of Stop, and
// nothing is sent afterwards.
func TestStopEndsAllRequests(t *testing.T) {
	var kinds [Failed + 1]int
	for seed := range uint64(40) {
		sim := newSimulation(seed, "")
		sim.configure()
		const span = 2 * time.Second
		sim.every(300*ms, span, sim.configure)
		sim.every(100*ms, span, sim.churn)
		sim.every(4*ms, span, sim.beginRequest)
		stopAt := span - time.Duration(sim.rng.IntN(1000))*ms
		within := time.Duration(sim.rng.IntN(300)) * ms
		var sent int
		sim.schedule(stopAt-within, func() { sim.coordinator.Stop(within) })
		sim.schedule(stopAt-time.Nanosecond, func() { clear(sim.finalKinds[:]) })
		sim.schedule(stopAt, func() {
			must.Eq(t, 0, sim.coordinator.InFlight(), must.Sprint("seed ", seed))
			sent = sim.coordinator.Counts.Sent
			for kind, n := range sim.finalKinds {
				kinds[kind] += n
			}
			clear(sim.finalKinds[:])
		})
		sim.run(span + time.Second)
		must.Eq(t, "", strings.Join(sim.violations, "; "), must.Sprint("seed ", seed))
		must.Eq(t, sent, sim.coordinator.Counts.Sent, must.Sprint("dispatches after the stop, seed ", seed))
		must.Eq(t, 0, len(sim.coordinator.parts))
		must.Eq(t, 0, sim.finalKinds[Relayed]+sim.finalKinds[Gathered]+sim.finalKinds[Failed])
		for _, req := range sim.requests {
			must.True(t, req.answers == 1 || req.clientLeft, must.Sprint("seed ", seed, ", request ", req.no))
		}
	}
	for kind, n := range kinds { // otherwise the load does not exercise this kind
		must.Positive(t, n, must.Sprint("kind ", kind, " of ", kinds))
	}
}

// TestAnswerAtStop checks what a client is told when its request has to end: that it has not run only where this is certain,
// and the parts of a fanned-out request if they suffice.
func TestAnswerAtStop(t *testing.T) {
	single := &manifest.Route{Plant: "s1", Horizon: time.Minute, Setpoint: time.Second, Retries: 1}
	fanOut := &manifest.Route{FanOut: []string{"s1", "s2"}, Idempotent: true, Horizon: time.Minute, Setpoint: time.Minute, Retries: 1, MinCoverage: 0.5}
	whole := *fanOut
	whole.MinCoverage = 1
	for name, example := range map[string]struct {
		route *manifest.Route
		first policy.Outcome // of the first dispatch, if there is a reply or it is Overloaded
		reply *Reply
		want  Kind
	}{
		"waits at a searcher":         {single, policy.Succeeded, nil, Failed},
		"was rejected":                {single, policy.Overloaded, nil, Refused},
		"enough parts are in":         {fanOut, policy.Succeeded, &Reply{Status: 200, Seal: "seal"}, Gathered},
		"too few parts are in":        {&whole, policy.Succeeded, &Reply{Status: 200, Seal: "seal"}, Failed},
		"no part is in":               {fanOut, policy.Succeeded, nil, Failed},
		"a part was rejected":         {fanOut, policy.Overloaded, nil, Failed},
		"its searcher failed":         {single, policy.Failed, &Reply{Status: 500}, Relayed},
		"taken when it is too late":   {single, policy.Succeeded, nil, Refused},
		"a fault replaced everything": {single, policy.Succeeded, nil, Refused},
	} {
		c := New(Config{Budget: retrybudget.Config{Window: 10 * time.Second, Slack: 100}}, 0)
		c.SetMixerCount(1)
		searchers := []Searcher{{ID: "i1", Address: "a", Service: "s1", State: policy.Ready}, {ID: "i2", Address: "b", Service: "s2", State: policy.Ready}}
		c.SetSearchers(searchers)
		c.Stop(100 * ms)
		switch name {
		case "taken when it is too late":
			c.Advance(100 * ms)
		case "a fault replaced everything":
			c = New(Config{Previous: c}, 0)
			c.SetSearchers(searchers)
			c.Advance(100 * ms)
		}
		var finals []Final
		c.Begin(&Request{Route: example.route, Deadline: time.Minute, Done: func(f Final) { finals = append(finals, f) }})
		sent := c.TakeActions(nil)
		if example.reply != nil || example.first == policy.Overloaded {
			c.Returned(sent[0].Dispatch, example.first, WasRead, example.reply)
		}
		if len(finals) == 0 {
			next, ok := c.NextTimer()
			must.True(t, ok && next <= 100*ms, must.Sprint(name))
		}
		c.Advance(100 * ms)
		must.Len(t, 1, finals, must.Sprint(name))
		must.Eq(t, example.want, finals[0].Kind, must.Sprint(name))
		if example.want == Refused {
			must.Positive(t, finals[0].RetryAfter, must.Sprint(name))
		}
		for _, action := range c.TakeActions(nil) { // what is queued at a searcher need not run
			must.True(t, action.Cancel, must.Sprint(name))
			c.Returned(action.Dispatch, policy.Cancelled, MaybeRead, nil)
		}
		must.MapEmpty(t, c.parts, must.Sprint(name))
	}
}
