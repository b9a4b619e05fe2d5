package distribution

import (
	"bufio"
	"context"
	"encoding/gob"
	"maps"
	"net"
	"time"

	"github.com/go-faster/errors"

	"peathollow/failuredetector"
	"peathollow/internal/keepalive"
	"peathollow/manifest"
	"peathollow/registry"
)

const (
	maxEntries       = 500     // in one response; the next response follows without a wait
	maxDocumentBytes = 4 << 20 // of an unpacked configuration

	// maxWait is how long a request waits at a server that has no updates. The response without updates also serves as the
	// heartbeat of the connection.
	maxWait = 800 * time.Millisecond
	// coalesceDelay lets changes made at about the same time travel in one response.
	coalesceDelay = 40 * time.Millisecond
	// responseTimeout is how long a response may take before the connection is closed: well below the limits within which a
	// drain and a configuration must have arrived.
	responseTimeout = maxWait + 900*time.Millisecond
	dialTimeout     = 450 * time.Millisecond
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
)

// PullRequest asks a server for updates. It describes the client and what the client already holds.
type PullRequest struct {
	Node    string // the client's machine
	Life    string // and incarnation
	IP      string // of a controller
	Kind    string // "agent", "proxy" or "controller"
	Want    registry.PullQuery
	Version uint64 // of the configuration that the client holds
	Whole   bool   // a patch could not be applied: the whole configuration is requested
	Core    uint64 // hash of the list of controllers that the client holds
	Mixers  int
	// SlackSpent is the value that a proxy received last.
	SlackSpent bool
	Alone      bool // the last response on this connection came from an isolated server
	Peer       bool // the client is a controller, which learns the list of controllers from consensus
	Mend       *Repair
	Kept       uint64                       // from a controller: the last KeptNo that it received on this connection
	Mixer      *AgentHeartbeat              // from an agent
	Word       *failuredetector.WatchReport // from a controller, about the mixers that pull from it
}

// AgentHeartbeat carries the state of an agent and its reports on the mixers that it watches.
type AgentHeartbeat struct {
	// Addr and Zone are sent with the first request of a connection; the server remembers them for the others.
	Addr, Zone string
	// Calls rises with each request of an incarnation, whichever controller it is sent to.
	Calls        uint64
	Leaving      bool
	Missed, Seen []string // incarnations; see failuredetector
}

// PullResponse carries the updates that the client lacks.
type PullResponse struct {
	System  uint64 // of the server
	News    registry.Delta
	Version uint64
	Whole   []byte          // a configuration, packed
	Patch   *manifest.Patch // or a patch from the client's version to it
	Core    []Location
	Mixers  int
	// SlackSpent is sent by an agent to its proxy; see Replica.SetSlackSpent.
	SlackSpent bool
	Alone      bool // the server has no contact with a quorum of controllers
	Mend       *Repair
	// Kept covers the updates that the disk of the server, a controller, holds; KeptNo rises with each change of it and is 0
	// if nothing has changed.
	Kept   registry.Vector
	KeptNo uint64
}

// Server answers pull requests from a replica.
type Server struct {
	Replica *Replica
	// OnRequest is called with each request before it is answered, OnDisconnect with the last request of a connection when that
	// has ended. Both may be nil.
	OnRequest    func(req *PullRequest)
	OnDisconnect func(req *PullRequest)
}

// Serve accepts and serves connections until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return keepalive.Accept(ctx, ln, func(c net.Conn) { s.serveConn(ctx, c) })
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	decoder, w := gob.NewDecoder(bufio.NewReaderSize(c, 2048)), bufio.NewWriterSize(c, 2048)
	encoder := gob.NewEncoder(w)
	received := false
	have := registry.Vector{}
	addr, zone := "", ""
	var req PullRequest
	defer func() {
		if received && s.OnDisconnect != nil {
			s.OnDisconnect(&req)
		}
	}()
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		var next PullRequest
		if err := decoder.Decode(&next); err != nil {
			return // OnDisconnect is called with the last complete request
		}
		req = next
		// A request carries only the components that have risen since the one before.
		for source, no := range req.Want.Have {
			have[source] = no
		}
		req.Want.Have = maps.Clone(have)
		if req.Mixer != nil {
			if req.Mixer.Addr != "" {
				addr, zone = req.Mixer.Addr, req.Mixer.Zone
			}
			req.Mixer.Addr, req.Mixer.Zone = addr, zone
		}
		if received = true; s.OnRequest != nil {
			s.OnRequest(&req)
		}
		resp := s.longPoll(ctx, &req)
		c.SetWriteDeadline(time.Now().Add(3 * time.Second))
		if encoder.Encode(&resp) != nil || w.Flush() != nil {
			return
		}
	}
}

// longPoll returns a response as soon as there are updates, or after maxWait.
func (s *Server) longPoll(ctx context.Context, req *PullRequest) PullResponse {
	resp, hasUpdates, changed := s.Replica.response(req)
	if hasUpdates {
		return resp
	}
	end := time.NewTimer(maxWait) // never reset: the response is the heartbeat of the connection
	defer end.Stop()
	for {
		select {
		case <-changed:
		case <-end.C:
			return resp
		case <-ctx.Done():
			return resp
		}
		select {
		case <-time.After(coalesceDelay):
		case <-ctx.Done():
		}
		if resp, hasUpdates, changed = s.Replica.response(req); hasUpdates {
			return resp
		}
	}
}

// Puller keeps a replica up to date by pulling from one server at a time.
type Puller struct {
	Replica                     *Replica
	Node, Incarnation, IP, Kind string
	// Choose returns the address to pull from, or "" to wait; failures counts the failed attempts since the last response.
	Choose func(failures int) string
	// OnMerge is called after each response that was applied; may be nil.
	OnMerge func()
	// OnResponse is called with each response and the time at which its request was sent; may be nil.
	OnResponse func(peer string, resp *PullResponse, requested time.Time)
	// OnError is called with the error that ended a dial or a connection; may be nil.
	OnError func(peer string, err error)
	// Peer states that one controller pulls from another.
	Peer bool
	// OnPersisted is called with the version vector of the updates that the server's disk holds; may be nil.
	OnPersisted func(addr string, v registry.Vector)
	// PrepareRequest adds the fields that only this kind of process sends to a request; first marks the first request of a
	// connection. May be nil.
	PrepareRequest func(req *PullRequest, first bool)
	// HasBetter reports whether another address is preferable to the present one; may be nil.
	HasBetter func(addr string) bool
	// Network dials the connections; nil stands for TCP.
	Network keepalive.Network
	// Alive receives a value when the server has been heard from, which ends any backoff and restarts a dial that has lasted
	// for a while; may be nil.
	Alive <-chan struct{}
	// LeaveIsolated makes the puller leave an isolated server for another one.
	LeaveIsolated bool

	peerNames map[string]string // the names that servers gave, by address
}

// maxPeerNames bounds Puller.peerNames.
const maxPeerNames = 64

// Run pulls until ctx ends.
func (p *Puller) Run(ctx context.Context) {
	p.peerNames = map[string]string{}
	failures := 0
	for ctx.Err() == nil {
		d, err := p.connect(ctx, failures)
		failures += d.index
		answered := false
		if err == nil {
			answered, err = p.pull(ctx, d.conn, d.addr, failures)
		}
		if answered {
			failures = 0
			if err == nil {
				continue // with a better address
			}
		}
		if err != nil && p.OnError != nil && ctx.Err() == nil && !errors.Is(err, errUnreachable) {
			p.OnError(d.addr, err)
		}
		failures++
		select {
		case <-ctx.Done():
		case <-p.Alive:
		case <-time.After(min(maxBackoff, minBackoff<<min(failures-1, 4))):
		}
	}
}

var errIsolated = errors.New("peer has no contact with a quorum of controllers")

// stayAfterFailures is the number of failures in a row after which the puller waits at an isolated server. By then most likely
// all servers are just starting, and a client that waits on a connection is notified as soon as its server has contact.
const stayAfterFailures = 2

// pull pulls over one connection until it ends; failures counts the failed attempts before it.
func (p *Puller) pull(ctx context.Context, c net.Conn, addr string, failures int) (answered bool, err error) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	decoder, w := gob.NewDecoder(bufio.NewReaderSize(c, 2048)), bufio.NewWriterSize(c, 2048)
	encoder := gob.NewEncoder(w)
	peerName, first, whole, isolated, waited := p.peerNames[addr], true, false, false, false
	var repair *Repair
	sent, persistedNo := registry.Vector{}, uint64(0)
	lastRepair := time.Now().Add(-repairInterval) // due at the second request, once the updates by version vector have arrived
	for {
		req := p.newRequest(peerName, first, whole, isolated)
		first = false
		req.Mend, req.Want.Have, req.Kept = repair, takeRisen(req.Want.Have, sent), persistedNo
		requested := time.Now()
		c.SetDeadline(requested.Add(responseTimeout))
		if err := encoder.Encode(&req); err != nil {
			return answered, errors.Wrapf(err, "send pull request, peer %s", addr)
		}
		if err := w.Flush(); err != nil {
			return answered, errors.Wrapf(err, "send pull request, peer %s", addr)
		}
		var resp PullResponse
		if err := decoder.Decode(&resp); err != nil {
			return answered, errors.Wrapf(err, "read pull response, peer %s", addr)
		}
		if err := p.Replica.checkSystem(&resp, p.Peer); err != nil {
			return false, errors.Wrapf(err, "check pull response, peer %s", addr)
		}
		answered, peerName, isolated = true, resp.News.By, resp.Alone
		if len(p.peerNames) >= maxPeerNames {
			clear(p.peerNames)
		}
		if p.Kind == "proxy" {
			p.Replica.SetSlackSpent(resp.SlackSpent)
		}
		if p.OnResponse != nil {
			p.OnResponse(addr, &resp, requested)
		}
		p.peerNames[addr] = peerName // so that the next connection continues where this one ends
		mergeErr := p.Replica.merge(&resp, p.Peer, time.Now())
		if mergeErr != nil && resp.Whole != nil {
			// The server would send it again in each response.
			return false, errors.Wrapf(mergeErr, "read configuration, peer %s", addr)
		}
		whole = mergeErr != nil
		if repair = nil; resp.Mend != nil {
			repair = p.Replica.continueRepair(resp.Mend)
		} else if !resp.News.More && time.Since(lastRepair) >= repairInterval {
			lastRepair, repair = time.Now(), p.Replica.startRepair()
		}
		if resp.KeptNo != 0 {
			persistedNo = resp.KeptNo
			if p.OnPersisted != nil {
				p.OnPersisted(addr, resp.Kept)
			}
		}
		if p.OnMerge != nil {
			p.OnMerge()
		}
		if isolated && p.LeaveIsolated {
			if failures < stayAfterFailures || waited {
				return false, errIsolated
			}
			waited = true // for one response
		}
		if p.HasBetter != nil && p.HasBetter(addr) {
			return true, nil
		}
	}
}

// takeRisen removes the components of v that are not above those already sent, and adds the others to sent.
func takeRisen(v, sent registry.Vector) registry.Vector {
	for source, no := range v {
		if sent[source] >= no {
			delete(v, source)
		} else {
			sent[source] = no
		}
	}
	return v
}

func (p *Puller) newRequest(peerName string, first, whole, isolated bool) PullRequest {
	req := PullRequest{Node: p.Node, Life: p.Incarnation, IP: p.IP, Kind: p.Kind, Whole: whole, Alone: isolated, Peer: p.Peer}
	if p.PrepareRequest != nil {
		p.PrepareRequest(&req, first)
	}
	p.Replica.mu.Lock()
	defer p.Replica.mu.Unlock()
	req.Want, req.Core, req.Mixers = p.Replica.registry.PullQuery(peerName), p.Replica.controllersHash, p.Replica.mixerCount
	req.SlackSpent = p.Kind == "proxy" && p.Replica.slackSpent
	if p.Replica.document != nil {
		req.Version = p.Replica.document.Version
	}
	return req
}
