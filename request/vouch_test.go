package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// vouching is a life with four searchers of one service, of which one dispatch each is asked for.
func vouching() (l *Life, hosts []Host) {
	l = New(Terms{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	l.Mixers(1)
	for _, id := range []string{"i1", "i2", "i3", "i4"} {
		hosts = append(hosts, Host{ID: id, Address: "at " + id, Service: "s", State: policy.Ready})
	}
	l.List(hosts)
	return l, hosts
}

// vouched tells for which of the searchers that get dispatches the list vouches.
func vouched(t *testing.T, l *Life) map[string]bool {
	t.Helper()
	route := &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: 200 * ms, Retries: 1}
	got := map[string]bool{}
	for range 5 {
		l.At(l.now + ms)
		for range 8 { // at once, so that each searcher gets some
			l.Begin(&Request{Route: route, Until: l.now + route.Horizon, Done: func(Final) {}})
		}
		acts := l.Take(nil)
		l.At(l.now + ms)
		for _, a := range acts {
			got[a.Dispatch.Host.ID] = a.Dispatch.Vouched
			l.Returned(a.Dispatch, policy.Succeeded, WasRead, &Reply{Status: 200, Seal: "seal"})
		}
	}
	return got
}

// TestListVouches: the list vouches for a searcher's address until something speaks against it, and for nobody's while many have gone.
func TestListVouches(t *testing.T) {
	all := map[string]bool{"i1": true, "i2": true, "i3": true, "i4": true}
	but := func(ids ...string) map[string]bool {
		got := map[string]bool{}
		for id := range all {
			got[id] = true
		}
		for _, id := range ids {
			got[id] = false
		}
		return got
	}
	for name, c := range map[string]struct {
		do   func(l *Life, hosts []Host)
		want map[string]bool
	}{
		"nothing":               {func(*Life, []Host) {}, all},
		"it could not be met":   {func(l *Life, hosts []Host) { l.Unreachable(&hosts[1]) }, but("i2")},
		"it is silent":          {func(l *Life, hosts []Host) { hosts[2].Silent = true; l.List(hosts) }, but("i3")},
		"another has its place": {func(l *Life, hosts []Host) { l.List(append(hosts, Host{ID: "i5", Address: "at i4", Service: "t"})) }, but("i4")},
		"it was silent just now": {func(l *Life, hosts []Host) {
			hosts[0].Silent = true
			l.List(hosts)
			hosts[0].Silent = false
			l.List(hosts)
		}, but("i1")},
		"many have gone": {func(l *Life, hosts []Host) {
			for _, id := range []string{"j1", "j2", "j3"} {
				l.Unreachable(&Host{ID: id})
			}
		}, but("i1", "i2", "i3", "i4")},
		"the process stood still": {func(l *Life, hosts []Host) { l.At(l.now + 4*time.Second) }, but("i1", "i2", "i3", "i4")},
		"that was before a while": {func(l *Life, hosts []Host) {
			l.At(l.now + 4*time.Second)
			for range pauseDoubt / Pulse {
				l.At(l.now + Pulse)
			}
			l.At(l.now + Pulse)
		}, all},
		"that was long ago": {func(l *Life, hosts []Host) {
			for i := range hosts {
				l.Unreachable(&hosts[i])
			}
			for range doubtFor/Pulse + 1 {
				l.At(l.now + Pulse)
			}
		}, all},
	} {
		t.Run(name, func(t *testing.T) {
			l, hosts := vouching()
			c.do(l, hosts)
			must.Eq(t, c.want, vouched(t, l))
		})
	}
}

// TestMisdirectedIsUsedAgain: a searcher that was answered for by another is used again once it reports anew, or after a while.
func TestMisdirectedIsUsedAgain(t *testing.T) {
	for name, again := range map[string]func(l *Life, hosts []Host){
		"it has reported": func(l *Life, hosts []Host) { hosts[0].Calls++ },
		"after some while": func(l *Life, hosts []Host) {
			for range astrayFor/Pulse + 1 {
				l.At(l.now + Pulse)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, hosts := vouching()
			l.Misdirected(&hosts[0], false)
			l.List(hosts)
			must.MapNotContainsKey(t, vouched(t, l), "i1")
			again(l, hosts)
			l.List(hosts)
			must.MapContainsKey(t, vouched(t, l), "i1")
		})
	}
}

// TestFaultForgetsNoStray: a life that follows one with a fault in it knows whose addresses are others' and whom not to vouch for.
func TestFaultForgetsNoStray(t *testing.T) {
	before, hosts := vouching()
	before.Misdirected(&hosts[0], true)
	before.Unreachable(&hosts[1])
	l := New(Terms{Seed: 1, Before: before}, before.now)
	l.List(hosts)
	must.Eq(t, map[string]bool{"i2": false, "i3": true, "i4": true}, vouched(t, l))
}

// TestLateRequestIsToldWhenToComeBack: a request whose time was over when it came is refused with a time to come back, as any other
// (soak seed 54: eleven were not).
func TestLateRequestIsToldWhenToComeBack(t *testing.T) {
	l, _ := vouching()
	l.At(time.Second)
	var final Final
	l.Begin(&Request{Route: &manifest.Route{Plant: "s", Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Until: time.Second, Done: func(f Final) { final = f }})
	must.Eq(t, Refused, final.Kind)
	must.Eq(t, TimeOver, final.Reason)
	must.Positive(t, final.In)
}

// TestRequestsOfAPauseAllowNothing: what is read right after the process did not run was sent in the pause, at a time that is not known.
func TestRequestsOfAPauseAllowNothing(t *testing.T) {
	l, _ := vouching()
	requests := func() uint64 {
		for _, f := range l.book.Stats(l.now) {
			if f.Service == "s" {
				return f.Requests
			}
		}
		return 0
	}
	l.At(10 * ms)
	vouched(t, l)
	must.Eq(t, 40, requests())
	l.At(l.now + 5*time.Second)
	l.Begin(&Request{Route: &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: time.Second, Retries: 1}, Until: l.now + time.Second, Done: func(Final) {}})
	must.Eq(t, 40, requests())
	l.At(l.now + catchUp)
	vouched(t, l)
	must.Eq(t, 80, requests())
}
