package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// otherSystem is the only member of a system founded elsewhere, as it is met when its machine gets an address that one of this
// system had, or comes with the disk of its former life.
func otherSystem(t *testing.T) *Node { return aloneAt(t, "x") }

// TestAnotherSystemIsNotFollowed: epochs and ballots of a system that was founded elsewhere change nothing here, whatever their
// numbers. The code before followed the higher number, and ended where the numbers were alike (soak seed 339 met the first).
func TestAnotherSystemIsNotFollowed(t *testing.T) {
	for name, above := range map[string]uint64{"a higher epoch": 5, "the same number": 0} {
		t.Run(name, func(t *testing.T) {
			n, other := alone(t), otherSystem(t)
			was, epoch := n.Epoch(), other.Epoch()
			epoch.N = was.N + above
			other.send(Member{Addr: "a"}, Message{Kind: Hint, Epoch: &epoch})
			for _, m := range other.Take().Sends {
				n.Receive(n.now, m)
			}
			must.NoError(t, n.Check())
			must.Eq(t, was, n.Epoch())
		})
	}
	t.Run("a ballot", func(t *testing.T) {
		n, other := alone(t), otherSystem(t)
		other.send(Member{Addr: "a"}, Message{Kind: Prepare, Ballot: Ballot{Round: 99, ID: "x"}})
		for _, m := range other.Take().Sends {
			n.Receive(n.now, m)
		}
		drain(n, n.now)
		must.SliceEmpty(t, n.Take().Sends)
		must.Less(t, 99, n.vote.Promised.Round)
	})
	t.Run("a newcomer is taken in", func(t *testing.T) {
		n := alone(t)
		newcomer := New(Config{ID: "b", Addr: "b", Seeds: []string{"a"}, Counts: true}, nil, n.now)
		newcomer.Tick(n.now + time.Second)
		drain(newcomer, n.now)
		newcomer.send(Member{Addr: "a"}, Message{Kind: Join, Member: newcomer.me()})
		for _, m := range newcomer.Take().Sends {
			n.Receive(n.now, m)
		}
		must.MapContainsKey(t, n.lead.peers, ID("b"))
	})
}
