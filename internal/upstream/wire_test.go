package upstream

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
)

// TestRequestOnWire checks that no unnecessary field is sent, and none that would change the meaning of the request.
func TestRequestOnWire(t *testing.T) {
	calls := make(chan faulty.Call, 1)
	s, p := setup(t, faulty.Options{ID: "i-9", ScriptProbes: true,
		Script: func(c faulty.Call) faulty.Reply { calls <- c; return faulty.Reply{} }}, Options{})
	response := p.Do(newExchange("a1"))
	received := <-calls
	must.Eq(t, Answered, response.Outcome)
	must.Eq(t, string(faulty.Records("i-9", "/p/a1", 4)), string(response.Body))
	must.Eq(t, faulty.Seal("i-9", "a1"), response.Seal)
	must.Eq(t, "GET /p/a1 HTTP/1.1\nHost: h.example\nAttempt-Id: a1\n", received.Head)
	must.True(t, response.NewConnection && response.Wrote && response.IdleTime == 0)

	c := newExchange("a2")
	c.Method, c.Target, c.AdvertisedDeadline = "POST", "i-9", time.Now().Add(5*time.Second)
	c.Headers = []Header{{"X-A", "1"}, {"content-length", "7"}, {"Transfer-Encoding", "chunked"}, {"HOST", "x"}, {"Connection", "x"},
		{"attempt-id", "z"}, {"Deadline-MS", "9"}, {"Target-Searcher", "q"}, {"Expect", "100-continue"}, {"TE", "x"}, {"X-B", ""}}
	response = p.Do(c)
	received = <-calls
	must.Eq(t, Answered, response.Outcome)
	must.Eq(t, fmt.Sprintf("POST /p/a2 HTTP/1.1\nHost: h.example\nX-A: 1\nX-B: \nAttempt-Id: a2\nTarget-Searcher: i-9\n"+
		"Content-Length: 0\nDeadline-Ms: %d\n", received.DeadlineMs), received.Head)
	must.Between(t, 1, received.DeadlineMs, 5000)
	must.True(t, !response.NewConnection && response.IdleTime > 0)

	for _, size := range []int{5, 300_000} { // written together with the head, and separately
		c = newExchange("a3")
		c.Method, c.Body = "PUT", bytes.Repeat([]byte("0123\r\n\r\n9"), size)[:size]
		must.Eq(t, Answered, p.Do(c).Outcome)
		received = <-calls
		must.True(t, bytes.Equal(c.Body, received.Body))
	}
	response = p.Do(&Exchange{Request: Request{Method: "GET", Path: "/health"}}) // a probe
	received = <-calls
	must.Eq(t, Answered, response.Outcome)
	must.Eq(t, "i-9", response.SearcherID)
	must.Eq(t, "GET /health HTTP/1.1\nHost: "+s.Addr()+"\n", received.Head)
	must.Eq(t, 1, s.Accepted())
}

func TestInvalidRequest(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	for _, change := range []func(c *Exchange){
		func(c *Exchange) { c.Path = "/a\r\nX: y" },
		func(c *Exchange) { c.Path = "/a HTTP/1.1" },
		func(c *Exchange) { c.Path = "" },
		func(c *Exchange) { c.Method = "GET /" },
		func(c *Exchange) { c.Method = "" },
		func(c *Exchange) { c.Host = "h\nX: y" },
		func(c *Exchange) { c.AttemptID = "a\r\n\r\nGET /" },
		func(c *Exchange) { c.Target = "\x00" },
		func(c *Exchange) { c.Headers = []Header{{"X", "y\rz"}} },
		func(c *Exchange) { c.Headers = []Header{{"X: y", "z"}} },
		func(c *Exchange) { c.Headers = []Header{{"", "z"}} },
	} {
		c := newExchange("a1")
		change(c)
		response := p.Do(c)
		must.Eq(t, InvalidRequest, response.Outcome)
		must.True(t, response.NeverExecuted())
		must.StrContains(t, response.Err.Error(), s.Addr())
	}
	must.Eq(t, 0, s.Accepted())
}

// TestFaultyResponses checks outcome and connection reuse for each behavior of a searcher, on new and on used connections.
func TestFaultyResponses(t *testing.T) {
	for _, c := range []struct {
		reply faulty.Reply
		want  Outcome
		ran   int
		keep  bool
	}{
		{faulty.Reply{Fault: faulty.NoFault}, Answered, 1, true},
		{faulty.Reply{Fault: faulty.Chunked}, Answered, 1, true},
		{faulty.Reply{Fault: faulty.Trickle}, Answered, 1, true},
		{faulty.Reply{Fault: faulty.CloseUnannounced}, Answered, 1, true}, // detected by the next exchange
		{faulty.Reply{Fault: faulty.CloseAnnounced}, Answered, 1, false},
		{faulty.Reply{Fault: faulty.TrailingBytes}, Answered, 1, false},
		{faulty.Reply{SecondCopy: faulty.CopyNow}, Answered, 1, false},
		{faulty.Reply{Fault: faulty.ShortLength}, Answered, 1, false},
		{faulty.Reply{Fault: faulty.Refuse}, NotExecuted, 0, true},
		{faulty.Reply{Fault: faulty.Misdirected}, NotExecuted, 0, true},
		{faulty.Reply{Fault: faulty.ResetBeforeRun}, ConnectionLost, 0, false},
		{faulty.Reply{Fault: faulty.ResetAfterRun}, ConnectionLost, 1, false},
		{faulty.Reply{Fault: faulty.CloseAfterRun}, ConnectionLost, 1, false},
		{faulty.Reply{Fault: faulty.TruncateHead}, ConnectionLost, 1, false},
		{faulty.Reply{Fault: faulty.TruncateBody}, ConnectionLost, 1, false},
		{faulty.Reply{Fault: faulty.Garbage}, InvalidResponse, 1, false},
		{faulty.Reply{Fault: faulty.WrongID}, InvalidResponse, 1, false},
		{faulty.Reply{Fault: faulty.NoID}, InvalidResponse, 1, false},
		{faulty.Reply{Fault: faulty.NoSeal}, InvalidResponse, 1, false},
		{faulty.Reply{Fault: faulty.InvalidChunkSize}, InvalidResponse, 1, false},
		{faulty.Reply{Fault: faulty.LengthAndChunks}, InvalidResponse, 1, false},
		{faulty.Reply{Fault: faulty.NoLength}, InvalidResponse, 1, false},
		{faulty.Reply{Fault: faulty.UntilClose}, InvalidResponse, 1, false},
	} {
		for _, used := range []bool{false, true} {
			s, p := setup(t, faulty.Options{ReportLoad: true}, Options{})
			if used {
				must.Eq(t, Answered, p.Do(newExchange("a0")).Outcome)
			}
			s.SetScript(func(faulty.Call) faulty.Reply { return c.reply })
			response := p.Do(newExchange("a1"))
			must.Eq(t, c.want, response.Outcome, must.Sprint(c.reply, used, response.Err))
			must.Eq(t, c.want == Answered || c.want == NotExecuted, response.Err == nil)
			must.Eq(t, c.want == NotExecuted, response.NeverExecuted())
			must.Eq(t, c.ran, s.Ledger().Ran("a1"), must.Sprint(c.reply))
			must.Eq(t, 1, s.Ledger().Arrived("a1")) // the pool never repeats it
			must.Eq(t, c.keep, p.IdleConns() == 1, must.Sprint(c.reply, used))
			must.Eq(t, p.IdleConns(), p.OpenConns())
			must.Eq(t, !used, response.NewConnection)
			must.True(t, response.Outcome != Answered || response.HasLoad)
		}
	}
	s, p := setup(t, faulty.Options{}, Options{})
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Fault: faulty.RefuseNoID} })
	must.Eq(t, NotExecuted, p.Do(newExchange("a1")).Outcome) // first request on its connection
	must.Eq(t, InvalidResponse, p.Do(newExchange("a2")).Outcome)
	c := newExchange("a3")
	c.Target = "i-other"
	must.Eq(t, NotExecuted, p.Do(c).Outcome)
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Status: 500} })
	response := p.Do(newExchange("a4"))
	must.Eq(t, Answered, response.Outcome)
	must.Eq(t, 500, response.Status)
}

// TestLateSurplusResponse checks that a second response to an earlier request is not taken for the response to the next one.
func TestLateSurplusResponse(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	s.SetScript(func(c faulty.Call) faulty.Reply {
		return faulty.Reply{SecondCopy: map[bool]faulty.SecondCopy{true: faulty.CopyLate}[c.AttemptID == "a1"]}
	})
	must.Eq(t, Answered, p.Do(newExchange("a1")).Outcome)
	must.Eq(t, InvalidResponse, p.Do(newExchange("a2")).Outcome)
	must.Eq(t, 0, p.OpenConns())
	must.Eq(t, Answered, p.Do(newExchange("a3")).Outcome)
	must.Eq(t, 2, s.Accepted())
	must.SliceEmpty(t, s.Ledger().RanTwice(nil))
}
