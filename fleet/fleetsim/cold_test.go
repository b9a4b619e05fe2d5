package fleetsim

import (
	"sync"
	"testing"
	"time"
)

// coldCase is a fleet of mixers that say nothing to each other, and searchers replaced in it.
type coldCase struct {
	name    string
	mixers  int
	asks    float64 // scans a second; 480 is what all searchers can do warm
	uneven  bool
	late    time.Duration // till the last mixer is told of a start
	replace int           // searchers, of 24
	restart bool          // all mixers start anew as the searchers are back: they know nothing but the list
	mult    float64
}

// The sum of all mixers' shares of what a cold searcher stands is kept under what pushes it over, whatever each knows:
// just told or not yet, half of the load at one of them, just started, in an overload, at 20 to 300 mixers. The list's
// word reaches mixers evenly over the time told. The worst share of the fall is logged.
func TestTheSumOfMixersSparesTheCold(t *testing.T) {
	cases := []coldCase{
		{"calm, all told at once", 60, 240, false, 0, 2, false, 3},
		{"calm, 300 mixers", 300, 240, false, 0, 2, false, 3},
		{"told over 6 s", 60, 240, false, 6 * s, 4, false, 3},
		{"half of the load at one mixer", 60, 240, true, s, 4, false, 3},
		{"half of the load at one mixer, told late", 20, 240, true, 6 * s, 4, false, 3},
		{"half of the searchers at once", 60, 240, false, 2 * s, 12, false, 3},
		{"half of the searchers at once, 300 mixers, told late", 300, 240, false, 6 * s, 12, false, 3},
		{"more than can be done", 60, 700, false, 2 * s, 6, false, 3},
		{"all mixers start anew", 60, 240, false, 0, 4, true, 3},
		{"a fall at twice what can be done", 60, 240, false, 2 * s, 6, false, 2},
		{"a fall at 1.2 times, more asked than can be done, half of the searchers", 60, 700, false, 2 * s, 12, false, 1.2},
		{"the same with 300 mixers", 300, 700, false, 2 * s, 12, false, 1.2},
	}
	var all sync.WaitGroup
	for _, c := range cases {
		all.Go(func() {
			w := c.play(t, false)
			t.Logf("| %s | %d | %.2f |", c.name, c.mixers, w.load.worst)
			if len(w.Broken) > 0 {
				t.Errorf("%s: %q", c.name, w.Broken[0])
			}
		})
	}
	all.Wait()
	// And the check is worth what it finds: mixers that know nothing of cold starts push searchers over.
	if w := cases[10].play(t, true); len(w.Broken) == 0 {
		t.Errorf("nobody spares the cold, and the most they are sent is %.2f of a fall", w.load.worst)
	}
}

func (c *coldCase) play(t *testing.T, unknown bool) *World {
	set := Default(c.mixers, 5)
	set.Mute, set.Shared = true, false
	set.Load = Load{Readers: 24, Pace: 40, Obey: 0.5, Retries: 2, Uneven: c.uneven,
		Tenants: []Tenant{{Name: "acme", Share: 400, Asks: c.asks}},
		Cold:    Cold{For: 10 * s, Share: 0.3, Multiple: c.mult, Span: 1500 * time.Millisecond, Unknown: unknown}}
	w, err := New(set)
	if err != nil {
		t.Error(err)
	}
	w.Run(8 * s)
	for i := range c.replace {
		w.Replace(i*2, func() time.Duration { return time.Duration(w.dice.Float64() * float64(c.late)) })
	}
	w.Run(restart + s/10)
	if c.restart {
		for _, n := range w.Nodes {
			n.Restart()
		}
	}
	w.Run(12 * s)
	return w
}
