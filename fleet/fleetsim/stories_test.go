package fleetsim

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cucumber/godog"

	"peathollow/fleet/view"
	"peathollow/lab/reader"
)

// teller plays one scenario. The world is made at the first step that lets time pass: until then it is described.
type teller struct {
	set    Settings
	w      *World
	from   time.Duration // of the present count
	probes map[*Node]float64
	spent  float64
	got    map[string]Got
}

func (s *teller) world() (*World, error) {
	if s.w == nil {
		w, err := New(s.set)
		if err != nil {
			return nil, err
		}
		s.w = w
		s.count()
	}
	return s.w, nil
}

func (s *teller) count() {
	s.from, s.spent, s.probes = s.w.Now(), s.w.probe.spent, map[*Node]float64{}
	for _, n := range s.w.Nodes {
		s.probes[n] = n.Probes
	}
	if s.w.load != nil {
		s.w.Got()
	}
	s.got = nil
}

// pass lets time pass and has the rules checked: a story in which one is broken ends there.
func (s *teller) pass(text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	w, err := s.world()
	if err != nil {
		return err
	}
	w.Run(d)
	return s.rules()
}

func (s *teller) rules() error {
	if s.w != nil && len(s.w.Broken) > 0 {
		return fmt.Errorf("rules are broken: %s", strings.Join(s.w.Broken, "; "))
	}
	return nil
}

// named finds the mixers of a list of names.
func (s *teller) named(list string) ([]*Node, error) {
	w, err := s.world()
	if err != nil || list == "" {
		return w.Nodes, err
	}
	var ns []*Node
	for _, name := range strings.Split(list, ", ") {
		n, err := w.Find(name)
		if err != nil {
			return nil, err
		}
		ns = append(ns, n)
	}
	return ns, nil
}

// each does something to every mixer of a list, all of them for an empty one.
func (s *teller) each(list string, do func(n *Node) error) error {
	ns, err := s.named(list)
	for _, n := range ns {
		if err == nil {
			err = do(n)
		}
	}
	return err
}

func (s *teller) stand(list, standing string) error {
	return s.each(list, func(n *Node) error {
		if got := n.View.Connectivity().String(); got != standing {
			return fmt.Errorf("%s stands %s, not %s", n.Name, got, standing)
		}
		return nil
	})
}

func (s *teller) may(list, right string, want bool) error {
	r, ok := map[string]view.Permission{"keep": view.UseOwnShare, "lower": view.Lower, "count": view.UseReports, "grant": view.Grant, "raise": view.Raise}[right]
	if !ok {
		return fmt.Errorf("no right %q", right)
	}
	return s.each(list, func(n *Node) error {
		if n.View.Allows(r) != want {
			return fmt.Errorf("%s stands %v: may %s is %v", n.Name, n.View.Connectivity(), right, !want)
		}
		return nil
	})
}

func (s *teller) split(lists ...string) error {
	var groups [][]*Node
	for _, l := range lists {
		g, err := s.named(l)
		if err != nil {
			return err
		}
		groups = append(groups, g)
	}
	s.w.Split(groups...)
	return nil
}

func (s *teller) deaf(list string, hears bool) error {
	return s.each(list, func(n *Node) error {
		for _, o := range s.w.Nodes {
			if o != n && hears {
				s.w.Cut(o, n, true)
			} else if o != n {
				s.w.Cut(n, o, true)
			}
		}
		return nil
	})
}

func (s *teller) flap(every, total string) error {
	step, err := time.ParseDuration(every)
	if err != nil {
		return err
	}
	all, err := time.ParseDuration(total)
	if err != nil {
		return err
	}
	for i := 0; time.Duration(i)*step < all; i++ {
		if i%2 == 0 {
			s.w.Split(s.w.Nodes[:2], s.w.Nodes[2:])
		} else {
			s.w.Split()
		}
		if err := s.pass(every); err != nil {
			return err
		}
	}
	return nil
}

func (s *teller) rate(spent, low, high float64) error {
	if r := spent / (s.w.Now() - s.from).Seconds(); r < low || r > high+1e-9 {
		return fmt.Errorf("%.2f probes a second, not %g to %g", r, low, high)
	}
	return nil
}

func (s *teller) served() map[string]Got {
	if s.got == nil {
		s.got = s.w.Got()
	}
	return s.got
}

func (s *teller) moods(list, mood string, want bool) error {
	return s.each(list, func(n *Node) error {
		if (n.Mood.String() == mood) != want {
			return fmt.Errorf("the mood of %s is %v", n.Name, n.Mood)
		}
		return nil
	})
}

func scenario(sc *godog.ScenarioContext) {
	s := &teller{}
	seconds := `(-?\d+m?s)`
	names := `"([^"]*)"`
	sc.Step(`^a fleet of (\d+) mixers$`, func(n int) { s.set = Default(n, 7) })
	sc.Step(`^(\d+) searchers that do (\d+) parts a second each$`, func(n int, pace float64) {
		s.set.Load = Load{Readers: n, Pace: pace, Obey: 0.5, Retries: 3}
	})
	sc.Step(`^the tenant `+names+` with a share of (\d+) asks for (\d+) scans a second$`, func(name string, share, asks float64) {
		s.set.Load.Tenants = append(s.set.Load.Tenants, Tenant{name, share, asks})
	})
	sc.Step(`^half of the clients meet "m1"$`, func() { s.w.load.set.Uneven = true })
	sc.Step(`^`+seconds+` pass$`, s.pass)
	sc.Step(`^a new count begins$`, s.count)

	sc.Step(`^`+names+` (?:is|are) cut off from `+names+`$`, func(a, b string) error { return s.split(a, b) })
	sc.Step(`^the fleet is cut into `+names+` and `+names+` and `+names+`$`, func(a, b, c string) error { return s.split(a, b, c) })
	sc.Step(`^all ways are whole again$`, func() error { return s.split() })
	sc.Step(`^nobody hears `+names+` any more$`, func(a string) error { return s.deaf(a, false) })
	sc.Step(`^`+names+` hears nobody any more$`, func(a string) error { return s.deaf(a, true) })
	sc.Step(`^`+names+` no longer hears `+names+`$`, func(a, b string) error {
		from, err := s.w.Find(b)
		if err != nil {
			return err
		}
		return s.each(a, func(n *Node) error { s.w.Cut(from, n, true); return nil })
	})
	sc.Step(`^(\d+) percent of the words are lost, (\d+) come twice and (\d+) are late by up to `+seconds+`$`,
		func(lost, twice, late float64, by string) error {
			d, err := time.ParseDuration(by)
			s.w.Words(lost/100, twice/100, late/100, d)
			return err
		})
	sc.Step(`^the fleet is cut in two and healed every `+seconds+` for `+seconds+`$`, s.flap)
	sc.Step(`^`+names+` is killed$`, func(a string) error { return s.each(a, func(n *Node) error { n.Kill(); return nil }) })
	sc.Step(`^`+names+` is restarted$`, func(a string) error { return s.each(a, func(n *Node) error { n.Restart(); return nil }) })
	sc.Step(`^`+names+` leaves$`, func(a string) error { return s.each(a, func(n *Node) error { n.Leave(); return nil }) })
	sc.Step(`^`+names+` sleeps for `+seconds+`$`, func(a, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		return s.each(a, func(n *Node) error { n.Sleep(d); return nil })
	})
	sc.Step(`^the clock of `+names+` jumps by `+seconds+`$`, func(a, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		return s.each(a, func(n *Node) error { n.Jump(d); return nil })
	})

	sc.Step(`^`+names+` stands? `+names+`$`, s.stand)
	sc.Step(`^every mixer stands `+names+`$`, func(x string) error { return s.stand("", x) })
	sc.Step(`^`+names+` may `+names+`$`, func(a, x string) error { return s.may(a, x, true) })
	sc.Step(`^`+names+` may not `+names+`$`, func(a, x string) error { return s.may(a, x, false) })
	sc.Step(`^every mixer may `+names+`$`, func(x string) error { return s.may("", x, true) })
	sc.Step(`^no mixer may `+names+`$`, func(x string) error { return s.may("", x, false) })
	sc.Step(`^`+names+` believes `+names+` `+names+`$`, func(a, b, state string) error {
		return s.each(a, func(n *Node) error {
			if got := n.View.State(b).String(); got != state {
				return fmt.Errorf("%s believes %s %s", a, b, got)
			}
			return nil
		})
	})

	sc.Step(`^`+names+` counts (\d+) under `+names+`$`, func(a string, n int, topic string) error {
		return s.each(a, func(x *Node) error { x.Count(topic, uint64(n)); return nil })
	})
	sums := func(a, topic string, want int) error {
		return s.each(a, func(n *Node) error {
			if got := n.Store.Sum(topic, 0); got != uint64(want) {
				return fmt.Errorf("%s sums %q up to %d", n.Name, topic, got)
			}
			return nil
		})
	}
	sc.Step(`^`+names+` sums? `+names+` up to (\d+)$`, sums)
	sc.Step(`^every mixer sums `+names+` up to (\d+)$`, func(topic string, n int) error { return sums("", topic, n) })

	want := func(a string, rate float64) error { return s.each(a, func(n *Node) error { n.Want(rate); return nil }) }
	sc.Step(`^`+names+` wants? (\d+) probes a second$`, want)
	sc.Step(`^every mixer wants (\d+) probes a second$`, func(rate float64) error { return want("", rate) })
	sc.Step(`^`+names+` made ([\d.]+) to ([\d.]+) probes a second$`, func(a string, low, high float64) error {
		return s.each(a, func(n *Node) error { return s.rate(n.Probes-s.probes[n], low, high) })
	})
	sc.Step(`^all together made ([\d.]+) to ([\d.]+) probes a second$`, func(low, high float64) error {
		return s.rate(s.w.probe.spent-s.spent, low, high)
	})

	sc.Step(`^`+names+` asks for (\d+) scans a second$`, func(t string, rate float64) error { return s.w.Ask(t, rate) })
	sc.Step(`^the fleet's mood is `+names+`$`, func(m string) error { return s.moods("", m, true) })
	sc.Step(`^the fleet's mood is not `+names+`$`, func(m string) error { return s.moods("", m, false) })
	sc.Step(`^the mood of `+names+` is `+names+`$`, func(a, m string) error { return s.moods(a, m, true) })
	sc.Step(`^`+names+` got at least (\d+) percent$`, func(t string, percent float64) error {
		if g := s.served()[t]; g.Asked == 0 || g.Done < percent/100*g.Asked {
			return fmt.Errorf("%s got %.0f of %.0f", t, g.Done, g.Asked)
		}
		return nil
	})
	sc.Step(`^all together got at least (\d+) scans a second$`, func(rate float64) error {
		all := 0.0
		for _, g := range s.served() {
			all += g.Done
		}
		if all < rate*(s.w.Now()-s.from).Seconds() {
			return fmt.Errorf("%.1f a second", all/(s.w.Now()-s.from).Seconds())
		}
		return nil
	})
	sc.Step(`^all mixers let in the same to (\d+) percent$`, func(percent float64) error {
		low, high := math.Inf(1), 0.0
		for _, n := range s.w.Nodes {
			low, high = min(low, n.mix.room), max(high, n.mix.room)
		}
		if math.IsInf(high, 1) || high-low > percent/100*high {
			return fmt.Errorf("room for %.0f to %.0f", low, high)
		}
		return nil
	})
	sc.Step(`^all searchers crash$`, func() {
		for i := range s.w.load.readers {
			s.w.Crash(i)
		}
	})
	sc.Step(`^all searchers take twice as long$`, func() { s.w.Readers(func(_ int, r *reader.Reader) { r.SetSlowdown(2) }) })

	// Each story is followed by the rules, whether it says so or not.
	sc.After(func(ctx context.Context, _ *godog.Scenario, err error) (context.Context, error) {
		if err == nil {
			err = s.rules()
		}
		return ctx, err
	})
}

// The stories are plain text for operators to read, under stories/.
func TestStories(t *testing.T) {
	suite := godog.TestSuite{ScenarioInitializer: scenario,
		Options: &godog.Options{Format: "progress", Paths: []string{"stories"}, Strict: true, NoColors: true, TestingT: t}}
	if suite.Run() != 0 {
		t.Error("a story is not true")
	}
}
