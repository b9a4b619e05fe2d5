package retrybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/retrybudget"
)

// trail is what a mixer tells its book of the dispatches of one request.
type trail struct{ retrybudget.Trail }

func (t *trail) sent(b *retrybudget.Book, now time.Duration) { b.Sent(now, service, &t.Trail) }

func (t *trail) ended(b *retrybudget.Book, now time.Duration, answered bool) {
	if answered {
		b.Read(now, service, &t.Trail)
	} else {
		b.Lost(now, service, &t.Trail)
	}
}

func (t *trail) room(b *retrybudget.Book, now, until time.Duration) bool {
	return b.Room(now, service, until)
}

// TestTrail: what of a request's dispatches is charged, and for how long: all that may be read but one, until a window after they
// were read, or two after they were given up.
func TestTrail(t *testing.T) {
	const (
		at  = time.Second
		end = at + span // from then on what was read at that time counts no more
	)
	type step func(b *retrybudget.Book, t *retrybudget.Trail)
	sent := func(b *retrybudget.Book, t *retrybudget.Trail) { b.Sent(at, service, t) }
	read := func(b *retrybudget.Book, t *retrybudget.Trail) { b.Read(at, service, t) }
	lost := func(b *retrybudget.Book, t *retrybudget.Trail) { b.Lost(at, service, t) }
	unsent := func(b *retrybudget.Book, t *retrybudget.Trail) { b.Unsent(at, service, t) }
	for name, c := range map[string]struct {
		steps                        []step
		now, afterWindow, afterTwice int
	}{
		"one":                           {[]step{sent}, 0, 0, 0},
		"one, read":                     {[]step{sent, read}, 0, 0, 0},
		"one, given up":                 {[]step{sent, lost}, 0, 0, 0},
		"two under way":                 {[]step{sent, sent}, 1, 1, 1},
		"both read":                     {[]step{sent, sent, read, read}, 1, 0, 0},
		"one of two read":               {[]step{sent, sent, read}, 1, 1, 1},
		"one given up, one read":        {[]step{sent, sent, lost, read}, 1, 1, 0},
		"one read, one given up":        {[]step{sent, sent, read, lost}, 1, 1, 0},
		"both given up":                 {[]step{sent, sent, lost, lost}, 1, 1, 0},
		"one given up, one under way":   {[]step{sent, sent, lost}, 1, 1, 1},
		"the first never went out":      {[]step{sent, unsent, sent, read}, 0, 0, 0},
		"one of two never went out":     {[]step{sent, sent, unsent}, 0, 0, 0},
		"neither went out":              {[]step{sent, sent, unsent, unsent}, 0, 0, 0},
		"three, two read, one given up": {[]step{sent, sent, sent, read, lost, read}, 2, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := retrybudget.New(terms)
			var trail retrybudget.Trail
			for _, do := range c.steps {
				do(b, &trail)
			}
			const slice = span / 16 // windows count in slices, and never less than what fell into them
			for _, want := range []struct {
				at       time.Duration
				counting int
			}{{at, c.now}, {end - time.Millisecond, c.now}, {end + slice, c.afterWindow}, {end + span - time.Millisecond, c.afterWindow}, {end + span + 2*slice, c.afterTwice}} {
				must.Eq(t, want.counting, b.Figures(want.at)[0].Counting, must.Sprint(want.at))
			}
		})
	}
}

// TestStrayCountsEverywhere: a dispatch that was read by a searcher of some other service counts for every service, as it may be any.
func TestStrayCountsEverywhere(t *testing.T) {
	b := retrybudget.New(retrybudget.Terms{Slack: 4, Window: span})
	b.Mixers(1) // two further dispatches in each life
	room := func(now time.Duration) bool { return b.Room(now, "a", now) && b.Room(now, "b", now) }
	must.True(t, room(0))
	b.Stray(0)
	must.True(t, room(0))
	b.Stray(0)
	must.False(t, b.Room(0, "a", 0))
	must.False(t, b.Room(0, "b", 0))
	must.True(t, room(span*5/4))
}

// TestRoomLater: what may be read only in a window to come is held against the requests that this one is sure of.
func TestRoomLater(t *testing.T) {
	b := retrybudget.New(retrybudget.Terms{Ratio: 1, Window: span})
	b.Mixers(1)
	const now = 2 * span
	for i := range 200 {
		b.Asked(now*time.Duration(i)/200, service)
	}
	room := func(until time.Duration) (n int) {
		for ; b.Room(now, service, until); n++ {
			var t retrybudget.Trail
			b.Sent(now, service, &t)
			b.Sent(now, service, &t)
		}
		return n
	}
	must.Eq(t, 0, room(now+2*span)) // no request of now counts then
	far := room(now + span/2)       // the window before that one begins holds two fifths of those of the last window
	must.Between(t, 15, far, 24)
	must.Between(t, 44, room(now)+far, 56) // a second on: nine tenths
}
