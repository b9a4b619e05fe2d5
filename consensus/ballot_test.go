package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sentPrepares ticks a node past its takeover delay and returns the ballots that it sends. The writes reach the disk only if
// syncs is set.
func sentPrepares(n *Node, disk *Saved, syncs bool) (ballots []Ballot) {
	take := func(now time.Duration) {
		for {
			actions := n.Take()
			for _, m := range actions.Sends {
				if m.Kind == Prepare {
					ballots = append(ballots, m.Ballot)
				}
			}
			if len(actions.Writes) == 0 || !syncs {
				return
			}
			w := actions.Writes[0]
			disk.ID = w.ID
			if w.Vote != nil {
				disk.Vote = *w.Vote
			}
			n.Saved(now, w.Token)
		}
	}
	for now := n.now; now < n.now+2*time.Second && len(ballots) == 0; now += tick {
		n.Tick(now)
		take(now)
		if now > 4*time.Second {
			break
		}
	}
	return ballots
}

// A process must send a ballot only once its disk holds it, so that an incarnation after a power loss begins above every
// ballot sent before. An earlier version sent its first ballot in both incarnations.
func TestBallotStandsForOneValue(t *testing.T) {
	var disk Saved
	first := New(coldStartConfig("a"), nil, 0)
	for _, w := range first.Take().Writes { // the founding is synced
		disk = Saved{ID: w.ID, Vote: *w.Vote}
		first.Saved(0, w.Token)
	}
	must.SliceEmpty(t, sentPrepares(first, &disk, false)) // the disk never syncs, so no ballot is sent
	must.Eq(t, Ballot{Round: 1}, disk.Vote.Promised)

	second := New(coldStartConfig("a"), &disk, 0)
	sent := sentPrepares(second, &disk, true)
	must.SliceNotEmpty(t, sent)
	must.Eq(t, sent[0], disk.Vote.Promised)

	third := New(coldStartConfig("a"), &disk, 0) // lost power right after sending
	for _, b := range sentPrepares(third, &disk, true) {
		must.True(t, sent[0].Less(b), must.Sprint(sent[0], b))
	}
}
