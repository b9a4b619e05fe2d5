package quay

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"peathollow/brain"
	"peathollow/internal/mooring"
	"peathollow/passage"
)

// sending is a dispatch under way.
type sending struct {
	call mooring.Call
	pool *mooring.Pool
}

// taken is a client's request as it was read.
type taken struct {
	mooring.Request
	until time.Time // the client's deadline
}

// prepare makes a dispatch ready to be sent; the lock is held.
func (q *Quay) prepare(d *passage.Dispatch) {
	t := d.Request.Data.(*taken)
	s := &sending{pool: q.pool(d.Host)}
	s.call.Request = t.Request
	s.call.Target = d.Host.ID
	s.call.Deadline = q.start.Add(d.Until)
	s.call.ToldDeadline = t.until
	d.Call = s
}

func (q *Quay) pool(h *passage.Host) *mooring.Pool {
	p := q.pools[h.ID]
	if p == nil {
		o := mooring.Options{}
		if m := q.doc.Load(); m != nil {
			if pl := m.Plants[h.Service]; pl != nil && pl.ConnLimit > 0 {
				o.ConnMost = connShare(pl.ConnLimit, q.mixers)
			}
		}
		p = mooring.NewPool(h.Address, o)
		q.pools[h.ID] = p
	}
	return p
}

const (
	connLeast     = 4
	connKept      = 0.9 // the rest is for those that have just started
	mixersUnknown = 16
)

// connShare is how many connections of those that a searcher accepts from all mixers one may open.
func connShare(limit, mixers int) int {
	if mixers <= 0 {
		mixers = mixersUnknown
	}
	return max(connLeast, int(connKept*float64(limit)/float64(mixers)))
}

// send carries a dispatch to its end.
func (q *Quay) send(d *passage.Dispatch) {
	s := d.Call.(*sending)
	a := s.pool.Do(&s.call)
	out := outcome(&a, d)
	if a.Outcome != mooring.Answered {
		q.log.Debug().Str("event", "sent").Str("searcher", s.call.Target).Str("outcome", a.Outcome.String()).Int("status", a.Status).
			Err(a.Err).Msg("")
	}
	q.do(func() {
		if a.Outcome == mooring.NotExecuted && a.Status == http.StatusMisdirectedRequest {
			q.life.Gone(d.Host.ID)
		}
		q.life.Returned(d, out, reply(&a))
	})
}

// outcome says in the module's words what became of a dispatch.
func outcome(a *mooring.Answer, d *passage.Dispatch) brain.Outcome {
	switch a.Outcome {
	case mooring.Answered:
		if promises(a.Status) {
			return brain.Fault
		}
		if a.Status >= 200 && a.Status < 300 || a.Status < 500 && len(d.Request.Route.FanOut) == 0 {
			return brain.Pass
		}
		return brain.Fault
	case mooring.NotExecuted:
		if a.Status == http.StatusMisdirectedRequest {
			return brain.NoRoute
		}
		return brain.NoRoom
	case mooring.NoConnect, mooring.Unsendable:
		if errors.Is(a.Err, mooring.ErrFull) {
			return brain.NoRoom // our own share of its connections is in use: it is there, and busy
		}
		return brain.NoRoute
	case mooring.Broken:
		return brain.Cut
	case mooring.TimedOut:
		return brain.TooSlow
	case mooring.Cancelled:
		if !a.Wrote {
			return brain.Stale
		}
		return brain.Undone
	}
	return brain.Fault
}

// promises tells of the statuses that tell a client that its request has not run and never will. A searcher that gives one
// without proof has run it, and the client must not be told otherwise.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// reply keeps what may reach a client.
func reply(a *mooring.Answer) *passage.Reply {
	if a.Outcome != mooring.Answered || promises(a.Status) {
		return nil
	}
	r := &passage.Reply{Status: a.Status, Seal: a.Seal, Body: a.Body}
	for _, h := range a.Headers {
		r.Headers = append(r.Headers, passage.Header(h))
	}
	return r
}
