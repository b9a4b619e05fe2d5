package settings

import "time"

// A process that was told to end (SIGTERM) works on until shortly before its grace is over (SIGKILL). What it keeps back is a
// share of the grace, for its last answers to go out, and no more than a fixed time of a long one.
const (
	reserveShare = 8
	reserveMost  = 800 * time.Millisecond
	// aheadShare is the part of the proxy's reserve by which the agent beside it ends later: until then it feeds it.
	aheadShare = 8
	// listenShare and listenMost bound how long a proxy keeps taking requests: the platform sends new connections elsewhere
	// some 2 s after the first answer that says so, and what is sent more than 3 s after SIGTERM has to be finished whole.
	listenShare = 2
	listenMost  = 3 * time.Second
)

// ProxyListensFor is for how long after SIGTERM a proxy takes requests, whether or not it has any in hand.
func (s *Settings) ProxyListensFor() time.Duration { return min(s.Grace/listenShare, listenMost) }

// ProxyEndsAfter is when a proxy ends at the latest, after SIGTERM.
func (s *Settings) ProxyEndsAfter() time.Duration { return s.Grace - s.reserve() }

// AgentEndsAfter is when an agent ends: after its proxy.
func (s *Settings) AgentEndsAfter() time.Duration {
	return s.Grace - s.reserve() + s.reserve()/aheadShare
}

func (s *Settings) reserve() time.Duration { return min(s.Grace/reserveShare, reserveMost) }
