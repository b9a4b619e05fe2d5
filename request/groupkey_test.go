package request

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/manifest"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// TestServicesWithSeparatorsInTheirNames guards against a service that shares a group, and so the searchers, with another list of
// services because its name is the join of theirs (review/5). A request for it ran at a searcher of another service.
func TestServicesWithSeparatorsInTheirNames(t *testing.T) {
	for _, separator := range []string{",", ", ", "\x00", "\n", "/", " ", "%2C", `","`, ""} {
		joined := strings.Join([]string{"s1", "s2"}, separator)
		c := New(Config{Budget: retrybudget.Config{Window: 10 * time.Second}}, 0)
		c.SetSearchers([]Searcher{{ID: "i1", Address: "a", Service: "s1", State: policy.Ready}, {ID: "i2", Address: "b", Service: "s2", State: policy.Ready},
			{ID: "joined", Address: "c", Service: joined, State: policy.Ready}})
		for _, services := range [][]string{{"s1", "s2"}, {joined}, {"s2", "s1"}, {"s1"}} {
			route := &manifest.Route{FanOut: services, Idempotent: true, Horizon: time.Second, Setpoint: time.Second, Retries: 1, MinCoverage: 1}
			c.Begin(&Request{Route: route, Deadline: time.Second, Done: func(Final) {}})
			var sentTo []string
			for _, action := range c.TakeActions(nil) {
				sentTo = append(sentTo, action.Dispatch.Searcher.Service)
			}
			slices.Sort(sentTo)
			must.Eq(t, slices.Sorted(slices.Values(services)), sentTo, must.Sprintf("separator %q", separator))
		}
	}
}

// FuzzGroupKey checks that lists of services have the same key only if they are equal, whatever the names hold.
func FuzzGroupKey(f *testing.F) {
	f.Add("a,b", "a", "b")
	f.Add("\x01a", "a", "")
	f.Add("ab", "a", "b")
	f.Add("\xff", "é", "%2C")
	f.Fuzz(func(t *testing.T, a, b, c string) {
		lists := [][]string{{}, {a}, {b}, {a, b}, {b, a}, {a, b, c}, {a + b}, {a + "," + b, c}, {a, b + "," + c}, {a + "\x01" + b}, {string(rune(len(a))) + a}}
		for _, x := range lists {
			for _, y := range lists {
				sameKey := string(appendGroupKey(nil, x)) == string(appendGroupKey(nil, y))
				must.Eq(t, slices.Equal(x, y), sameKey, must.Sprintf("%q, %q", x, y))
			}
		}
	})
}
