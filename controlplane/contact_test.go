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

// inContactSince makes a stopped controller one that was in contact up to a moment, and did nothing since.
func inContactSince(t *testing.T, at time.Time) *Controller {
	t.Helper()
	h := stopped(t, 3)
	h.contact = contact{touch: true, confirmed: true}
	for _, ip := range []string{"10.0.0.2", "10.0.0.3"} {
		h.answered[h.newsAddr(ip)] = at
		h.peers["node of "+ip] = peer{life: "controller/" + ip, ip: ip, at: at}
	}
	m, err := manifest.Parse([]byte(`{"config-version":7,"routes":[],"plants":[]}`))
	must.NoError(t, err)
	h.board.SetDocument(m)
	h.board.SetIsolated(false)
	return h
}

// asAgent asks a controller as an agent does.
func asAgent(t *testing.T, h *Controller) distribution.PullResponse {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go (&distribution.Server{Replica: h.board, OnRequest: h.met}).Serve(t.Context(), ln)
	c, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, gob.NewEncoder(c).Encode(&distribution.PullRequest{Node: "front-0", Life: "agent/front-0/0", Kind: "agent"}))
	var cargo distribution.PullResponse
	must.NoError(t, gob.NewDecoder(c).Decode(&cargo))
	return cargo
}

// A controller that did not run for a while, frozen or starved, has no contact from the moment it runs again: it hands out
// no configuration before it has learned what is in force. The code before went by a flag that its next tick renewed.
func TestContactIsOverWithoutATick(t *testing.T) {
	h := inContactSince(t, time.Now().Add(-30*time.Second))
	must.False(t, h.inContact())
	cargo := asAgent(t, h)
	must.True(t, cargo.Alone)
	must.Nil(t, cargo.Whole)
	must.Nil(t, cargo.Patch)

	h = inContactSince(t, time.Now())
	must.True(t, h.inContact())
	must.NotNil(t, asAgent(t, h).Whole)
}

// What was asked before a freeze and answered during it, or said by a peer meanwhile, is read when the process runs again. It
// renews nothing: contact was lost in between, and what is in force must be learned anew. The code before counted an answer
// from when it was read.
func TestOldAnswersRenewNoContact(t *testing.T) {
	frozen := time.Now().Add(-30 * time.Second)
	h := inContactSince(t, frozen)
	for _, ip := range []string{"10.0.0.2", "10.0.0.3"} {
		h.met(&distribution.PullRequest{Node: "node of " + ip, Life: "controller/" + ip, IP: ip, Kind: "controller", Peer: true})
		h.answers(h.newsAddr(ip), frozen)
	}
	must.False(t, h.inTouch())
	must.False(t, h.inContact())

	for _, ip := range []string{"10.0.0.2", "10.0.0.3"} { // new ones put it in touch, not yet in contact
		h.answers(h.newsAddr(ip), time.Now())
	}
	must.True(t, h.inTouch())
	must.False(t, h.inContact())
	must.True(t, asAgent(t, h).Alone)
}
