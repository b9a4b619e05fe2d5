package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// TestMisdirectedStaysGone: a searcher whose address is another's (421) gets nothing more, however often the list that still names it is
// told again, with whatever change in it; the code before took it back with the next change of any searcher or mixer.
func TestMisdirectedStaysGone(t *testing.T) {
	l := New(Terms{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	l.Mixers(1)
	route := &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: 200 * ms, Retries: 1}
	gone, other := Host{ID: "i1", Address: "a", Service: "s", State: policy.Ready}, Host{ID: "i2", Address: "b", Service: "s", State: policy.Ready}
	l.List([]Host{gone, other})
	l.Misdirected(&gone, false)
	now := time.Duration(0)
	sent := func() (ids []string) {
		for range 20 {
			now += 10 * ms
			l.At(now)
			l.Begin(&Request{Route: route, Until: now + route.Horizon, Done: func(Final) {}})
			for _, a := range l.Take(nil) {
				ids = append(ids, a.Dispatch.Host.ID)
				now += ms
				l.At(now)
				l.Returned(a.Dispatch, policy.Succeeded, WasRead, &Reply{Status: 200, Seal: "seal"})
			}
		}
		must.NoError(t, l.Check())
		return ids
	}
	silent := gone
	silent.Silent = true
	newcomer := Host{ID: "i3", Address: "c", Service: "t", State: policy.Ready}
	for _, c := range []struct {
		what string
		list []Host
	}{
		{"the same", []Host{gone, other}},
		{"it is silent", []Host{silent, other}},
		{"another came", []Host{silent, other, newcomer}},
		{"it is heard of no more than before", []Host{gone, other, newcomer}},
		{"another has left", []Host{gone, other}},
	} {
		l.List(c.list)
		must.SliceNotContains(t, sent(), gone.ID, must.Sprint(c.what))
	}
}
