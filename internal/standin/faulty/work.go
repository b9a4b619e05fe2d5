package faulty

import (
	"time"
)

// answer does with a request what the reply says, and tells whether the connection goes on.
func (s *Server) answer(p *peer, c *Call, r *Reply) bool {
	e := &Entry{At: time.Now(), ID: c.AttemptID, Method: c.Method, Path: c.Path, Host: c.Host, Searcher: s.ID(), Target: c.Target, Conn: c.Conn,
		DeadlineMs: c.DeadlineMs}
	probe := s.isProbe(c)
	if !probe { // a probe is no request, and waits for a slot like one
		s.ledger.add(e)
	}
	switch {
	case r.Way == ResetUnrun:
		p.end(true)
		return false
	case r.RawBack == nil && r.Way != WrongID && c.Target != "" && c.Target != s.ID():
		return s.write(p, s.render(c, &Reply{Way: Wrong421}))
	case c.AttemptID == "" && !probe && r.RawBack == nil:
		return s.write(p, s.render(c, &Reply{Status: 400, Header: []string{"Not-Executed: 1"}, Body: []byte{}}))
	case r.Way == Refuse, r.Way == RefuseNoID, r.Way == Wrong421:
		return s.write(p, s.render(c, r))
	}

	var closed <-chan struct{} // the client's end of the connection did
	stop := func() {}
	watch := func() {
		if closed == nil {
			closed, stop = p.watch()
		}
	}
	defer func() { stop() }()
	var late <-chan time.Time
	if c.DeadlineMs >= 0 {
		t := time.NewTimer(time.Duration(c.DeadlineMs) * time.Millisecond)
		defer t.Stop()
		late = t.C
	}

	select {
	case s.slots <- struct{}{}:
	default:
		if !s.enqueue() {
			return s.write(p, s.render(c, &Reply{Way: Refuse}))
		}
		watch()
		var in, gone bool
		select {
		case s.slots <- struct{}{}:
			in = true
		case <-late:
		case <-closed:
			gone = true
		case <-s.done:
			gone = true
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if gone {
			return false
		}
		if !in {
			stop()
			return s.write(p, s.render(c, &Reply{Way: Refuse}))
		}
	}
	s.ledger.set(e, func(e *Entry) { e.Ran = true })
	done, gone := s.work(r, watch, &closed, late)
	<-s.slots
	stop()
	s.ledger.set(e, func(e *Entry) { e.Ended, e.Dropped = time.Now(), gone })
	if gone {
		if r.OnDrop != nil {
			r.OnDrop()
		}
		return false
	}
	if !done {
		return s.write(p, s.render(c, &Reply{Status: 504, Body: []byte{}}))
	}
	return s.send(p, c, r)
}

// enqueue takes a place in the queue if there is one.
func (s *Server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.opts.Queue {
		return false
	}
	s.waiting++
	return true
}

// work keeps a slot for as long as the reply says; done is false at the deadline, gone tells that the client left.
func (s *Server) work(r *Reply, watch func(), closed *<-chan struct{}, late <-chan time.Time) (done, gone bool) {
	if r.Hold == nil && r.Work == 0 && r.Way != Hang {
		return true, false
	}
	watch()
	hold := r.Hold
	if r.Work > 0 {
		worked := make(chan struct{})
		t := time.AfterFunc(r.Work, func() { close(worked) })
		defer t.Stop()
		hold = worked
	}
	if r.Way == Hang {
		hold, late = nil, nil // not even its own deadline makes it speak
	}
	select {
	case <-hold:
		return true, false
	case <-late:
		return false, false
	case <-*closed:
	case <-s.done:
	}
	return false, true
}

// watch notices the end of the connection while a request is at work; stop ends the watch and must come before the
// next read.
func (p *peer) watch() (closed <-chan struct{}, stop func()) {
	ended, left := make(chan struct{}), make(chan struct{})
	p.SetReadDeadline(time.Time{})
	go func() {
		defer close(left)
		if _, err := p.in.Peek(1); err != nil {
			close(ended)
		}
	}()
	return ended, func() {
		p.SetReadDeadline(time.Unix(1, 0)) // wakes the watch up
		<-left
		p.SetReadDeadline(time.Time{})
	}
}

// send writes the answer to a request that has run.
func (s *Server) send(p *peer, c *Call, r *Reply) bool {
	if r.RawBack != nil {
		return s.write(p, r.RawBack)
	}
	b := s.render(c, r)
	switch r.Way {
	case ResetRun:
		p.end(true)
		return false
	case CloseRun:
		return false
	case CutHead, CutBody, UntilClose, CloseAfter, CloseUnsaid:
		s.write(p, b)
		return false
	case Trickle:
		for i := range b {
			if !s.write(p, b[i:i+1:i+1]) {
				return false
			}
		}
		return true
	case ExtraNow:
		return s.write(p, append(b, b...))
	case ExtraLate:
		ok := s.write(p, b)
		p.owed = b
		return ok
	}
	return s.write(p, b)
}
