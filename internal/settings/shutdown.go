package settings

import "time"

// A process that gets SIGTERM goes on working until shortly before the end of its grace period (SIGKILL). It reserves a share
// of the grace period for sending its last responses, and no more than a fixed time of a long one.
const (
	reserveShare = 8
	maxReserve   = 800 * time.Millisecond
	// agentLagShare divides the proxy's reserve: the agent on the same machine ends later by this part, since it provides the
	// proxy with data until then.
	agentLagShare = 8
	// flushShare divides the proxy's reserve: the part in which it sends its last answers. The rest is for the end of the process.
	flushShare = 2
	// listenShare and maxListen bound how long a proxy accepts requests: the platform sends new connections elsewhere some
	// 2 s after the first response that reports the shutdown, and a request sent more than 3 s after SIGTERM must be finished
	// completely.
	listenShare = 2
	maxListen   = 3 * time.Second
)

// ProxyListenTime returns how long after SIGTERM a proxy accepts requests, whether or not any are in flight.
func (s *Settings) ProxyListenTime() time.Duration { return min(s.Grace/listenShare, maxListen) }

// ProxyAnswerTime returns the time after SIGTERM by which a proxy has decided the final answer to each request.
func (s *Settings) ProxyAnswerTime() time.Duration { return s.Grace - s.reserve() }

// ProxyExitTime returns the time after SIGTERM by which a proxy ends at the latest, whether or not its answers were read.
func (s *Settings) ProxyExitTime() time.Duration {
	return s.ProxyAnswerTime() + s.reserve()/flushShare
}

// AgentExitTime returns the time after SIGTERM at which an agent ends, which is later than its proxy.
func (s *Settings) AgentExitTime() time.Duration {
	return s.ProxyExitTime() + s.reserve()/agentLagShare
}

func (s *Settings) reserve() time.Duration { return min(s.Grace/reserveShare, maxReserve) }
