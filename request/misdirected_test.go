package request

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// TestMisdirectedSearcherStaysRemoved guards against dispatches to a searcher whose address belongs to another (421)
// while lists without a newer report of it arrive. Earlier code used it again after the next change of any searcher or
// mixer.
func TestMisdirectedSearcherStaysRemoved(t *testing.T) {
	c := New(Config{Seed: 1, Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
	c.SetMixerCount(1)
	route := &manifest.Route{Plant: "s", Idempotent: true, Horizon: time.Second, Setpoint: 200 * ms, Retries: 1}
	misdirected, other := Searcher{ID: "i1", Address: "a", Service: "s", State: policy.Ready}, Searcher{ID: "i2", Address: "b", Service: "s", State: policy.Ready}
	c.SetSearchers([]Searcher{misdirected, other})
	c.ReportMisdirected(&misdirected, false)
	now := time.Duration(0)
	sent := func() (ids []string) {
		for range 20 {
			now += 10 * ms
			c.Advance(now)
			c.Begin(&Request{Route: route, Deadline: now + route.Horizon, Done: func(Final) {}})
			for _, a := range c.TakeActions(nil) {
				ids = append(ids, a.Dispatch.Searcher.ID)
				now += ms
				c.Advance(now)
				c.Returned(a.Dispatch, policy.Succeeded, WasRead, &Reply{Status: 200, Seal: "seal"})
			}
		}
		must.NoError(t, c.Check())
		return ids
	}
	silent := misdirected
	silent.Silent = true
	newcomer := Searcher{ID: "i3", Address: "c", Service: "t", State: policy.Ready}
	for _, tc := range []struct {
		what string
		list []Searcher
	}{
		{"the same", []Searcher{misdirected, other}},
		{"it is silent", []Searcher{silent, other}},
		{"another came", []Searcher{silent, other, newcomer}},
		{"it is heard of no more than before", []Searcher{misdirected, other, newcomer}},
		{"another has left", []Searcher{misdirected, other}},
	} {
		c.SetSearchers(tc.list)
		must.SliceNotContains(t, sent(), misdirected.ID, must.Sprint(tc.what))
	}
}
