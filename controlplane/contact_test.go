package controlplane

import (
	"encoding/gob"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/distribution"
	"peathollow/manifest"
)

// inContactSince returns a stopped controller that was in contact until the given time and did nothing since.
func inContactSince(t *testing.T, at time.Time) *Controller {
	t.Helper()
	c := stopped(t, 3)
	c.contact = contact{reachable: true, confirmed: true}
	for _, ip := range []string{"10.0.0.2", "10.0.0.3"} {
		c.lastResponse[c.distributionAddr(ip)] = at
		c.peers["node of "+ip] = peer{incarnation: "controller/" + ip, ip: ip, lastPull: at}
	}
	m, err := manifest.Parse([]byte(`{"config-version":7,"routes":[],"plants":[]}`))
	must.NoError(t, err)
	c.replica.SetDocument(m)
	c.replica.SetIsolated(false)
	return c
}

// pullAsAgent sends a pull request as an agent does.
func pullAsAgent(t *testing.T, c *Controller) distribution.PullResponse {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go (&distribution.Server{Replica: c.replica, OnRequest: c.handlePull}).Serve(t.Context(), ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, gob.NewEncoder(conn).Encode(&distribution.PullRequest{Node: "front-0", Life: "agent/front-0/0", Kind: "agent"}))
	var response distribution.PullResponse
	must.NoError(t, gob.NewDecoder(conn).Decode(&response))
	return response
}

// A controller that did not run for a while, frozen or starved of CPU, is out of contact as soon as it runs again, and hands
// out no configuration before it has read the one in force. Earlier code relied on a flag that only its next tick updated.
func TestContactIsOverWithoutATick(t *testing.T) {
	c := inContactSince(t, time.Now().Add(-30*time.Second))
	must.False(t, c.inContact())
	response := pullAsAgent(t, c)
	must.True(t, response.Alone)
	must.Nil(t, response.Whole)
	must.Nil(t, response.Patch)

	c = inContactSince(t, time.Now())
	must.True(t, c.inContact())
	must.NotNil(t, pullAsAgent(t, c).Whole)
}

// A response to a pull that was sent before a freeze, or a peer's pull that arrived during it, is read when the process runs
// again. It must not renew contact, which was lost in between, so the configuration in force has to be read again. Earlier
// code counted a response from when it was read.
func TestOldAnswersRenewNoContact(t *testing.T) {
	frozen := time.Now().Add(-30 * time.Second)
	c := inContactSince(t, frozen)
	for _, ip := range []string{"10.0.0.2", "10.0.0.3"} {
		c.handlePull(&distribution.PullRequest{Node: "node of " + ip, Life: "controller/" + ip, IP: ip, Kind: "controller", Peer: true})
		c.recordResponse(c.distributionAddr(ip), frozen)
	}
	must.False(t, c.quorumReachable())
	must.False(t, c.inContact())

	for _, ip := range []string{"10.0.0.2", "10.0.0.3"} { // new responses make the majority reachable, but there is no contact yet
		c.recordResponse(c.distributionAddr(ip), time.Now())
	}
	must.True(t, c.quorumReachable())
	must.False(t, c.inContact())
	must.True(t, pullAsAgent(t, c).Alone)
}
