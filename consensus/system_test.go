package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// otherSystem returns the only member of a system founded elsewhere. It is encountered when its machine gets an address that
// a machine of this system had, or when a machine joins with the disk of its former system.
func otherSystem(t *testing.T) *Node { return singleNodeAt(t, "x") }

// TestAnotherSystemIsNotFollowed checks that epochs and ballots of a system founded elsewhere change nothing here, whatever
// their numbers. An earlier version followed the higher number and stopped if the numbers were equal (soak seed 339 found
// the first case).
func TestAnotherSystemIsNotFollowed(t *testing.T) {
	for name, above := range map[string]uint64{"a higher epoch": 5, "the same number": 0} {
		t.Run(name, func(t *testing.T) {
			n, other := singleNode(t), otherSystem(t)
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
		n, other := singleNode(t), otherSystem(t)
		other.send(Member{Addr: "a"}, Message{Kind: Prepare, Ballot: Ballot{Round: 99, ID: "x"}})
		for _, m := range other.Take().Sends {
			n.Receive(n.now, m)
		}
		drainAnswers(n, n.now)
		must.SliceEmpty(t, n.Take().Sends)
		must.Less(t, 99, n.vote.Promised.Round)
	})
	t.Run("a newcomer is taken in", func(t *testing.T) {
		n := singleNode(t)
		newcomer := New(Config{ID: "b", Addr: "b", Seeds: []string{"a"}, Counts: true}, nil, n.now)
		newcomer.Tick(n.now + time.Second)
		drainAnswers(newcomer, n.now)
		newcomer.send(Member{Addr: "a"}, Message{Kind: Join, Member: newcomer.self()})
		for _, m := range newcomer.Take().Sends {
			n.Receive(n.now, m)
		}
		must.MapContainsKey(t, n.primary.peers, ID("b"))
	})
}
