package faulty

import (
	"time"
)

// answer handles a request as the reply says and reports whether the connection stays open.
func (s *Server) answer(p *peer, c *Call, r *Reply) bool {
	e := &Entry{At: time.Now(), ID: c.AttemptID, Method: c.Method, Path: c.Path, Host: c.Host, Searcher: s.ID(), Target: c.Target, Conn: c.Conn,
		DeadlineMs: c.DeadlineMs}
	probe := s.isProbe(c)
	if !probe { // a probe waits for a slot like a request, but is not recorded
		s.ledger.add(e)
	}
	switch {
	case r.Fault == ResetBeforeRun:
		p.end(true)
		return false
	case r.RawResponse == nil && r.Fault != WrongID && c.Target != "" && c.Target != s.ID():
		return s.respond(p, c, &Reply{Fault: Misdirected, SecondCopy: r.SecondCopy})
	case c.AttemptID == "" && !probe && r.RawResponse == nil:
		return s.respond(p, c, &Reply{Status: 400, Header: []string{"Not-Executed: 1"}, Body: []byte{}, SecondCopy: r.SecondCopy})
	case r.Fault == Refuse, r.Fault == RefuseNoID, r.Fault == Misdirected:
		return s.respond(p, c, r)
	}

	var closed <-chan struct{} // closed when the client closes the connection
	stop := func() {}
	watch := func() {
		if closed == nil {
			closed, stop = p.watch()
		}
	}
	defer func() { stop() }()
	var deadline <-chan time.Time
	if c.DeadlineMs >= 0 {
		t := time.NewTimer(time.Duration(c.DeadlineMs) * time.Millisecond)
		defer t.Stop()
		deadline = t.C
	}

	select {
	case s.slots <- struct{}{}:
	default:
		if !s.enqueue() {
			return s.respond(p, c, &Reply{Fault: Refuse, SecondCopy: r.SecondCopy})
		}
		watch()
		var acquired, disconnected bool
		select {
		case s.slots <- struct{}{}:
			acquired = true
		case <-deadline:
		case <-closed:
			disconnected = true
		case <-s.done:
			disconnected = true
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if disconnected {
			return false
		}
		if !acquired {
			stop()
			return s.respond(p, c, &Reply{Fault: Refuse, SecondCopy: r.SecondCopy})
		}
	}
	s.ledger.set(e, func(e *Entry) { e.Ran = true })
	done, disconnected := s.work(r, watch, &closed, deadline)
	<-s.slots
	stop()
	s.ledger.set(e, func(e *Entry) { e.Ended, e.Dropped = time.Now(), disconnected })
	if disconnected {
		if r.OnDisconnect != nil {
			r.OnDisconnect()
		}
		return false
	}
	if !done {
		return s.respond(p, c, &Reply{Status: 504, Body: []byte{}, SecondCopy: r.SecondCopy})
	}
	return s.send(p, c, r)
}

// enqueue takes a place in the queue and reports whether one was free.
func (s *Server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.opts.Queue {
		return false
	}
	s.waiting++
	return true
}

// work runs a request for as long as the reply says. done is false if the deadline passed first; disconnected reports
// that the connection or the server was closed first.
func (s *Server) work(r *Reply, watch func(), closed *<-chan struct{}, deadline <-chan time.Time) (done, disconnected bool) {
	if r.Hold == nil && r.Work == 0 && r.Fault != Hang {
		return true, false
	}
	watch()
	hold := r.Hold
	if r.Work > 0 {
		elapsed := make(chan struct{})
		t := time.AfterFunc(r.Work, func() { close(elapsed) })
		defer t.Stop()
		hold = elapsed
	}
	if r.Fault == Hang {
		hold, deadline = nil, nil // no response, not even at the deadline
	}
	select {
	case <-hold:
		return true, false
	case <-deadline:
		return false, false
	case <-*closed:
	case <-s.done:
	}
	return false, true
}

// watch detects that the connection ends while a request is queued or running, and then closes the channel it returns.
// stop ends the watch and must be called before the next read.
func (p *peer) watch() (closed <-chan struct{}, stop func()) {
	ended, finished := make(chan struct{}), make(chan struct{})
	p.SetReadDeadline(time.Time{})
	go func() {
		defer close(finished)
		if _, err := p.in.Peek(1); err != nil {
			close(ended)
		}
	}()
	return ended, func() {
		p.SetReadDeadline(time.Unix(1, 0)) // unblocks Peek
		<-finished
		p.SetReadDeadline(time.Time{})
	}
}

// send writes the response to a request that has run.
func (s *Server) send(p *peer, c *Call, r *Reply) bool {
	if r.RawResponse != nil {
		return s.write(p, r.RawResponse)
	}
	b := s.render(c, r)
	switch r.Fault {
	case ResetAfterRun:
		p.end(true)
		return false
	case CloseAfterRun:
		return false
	case TruncateHead, TruncateBody, UntilClose, CloseAnnounced, CloseUnannounced:
		s.write(p, b)
		return false
	case Trickle:
		for i := range b {
			if !s.write(p, b[i:i+1:i+1]) {
				return false
			}
		}
		return true
	}
	return s.writeCopies(p, b, r.SecondCopy)
}

// respond writes a response and its second copy, if there is one.
func (s *Server) respond(p *peer, c *Call, r *Reply) bool {
	return s.writeCopies(p, s.render(c, r), r.SecondCopy)
}

func (s *Server) writeCopies(p *peer, b []byte, second SecondCopy) bool {
	switch second {
	case CopyNow:
		b = append(b, b...)
	case CopyLate:
		p.lateCopy = b
	}
	return s.write(p, b)
}
