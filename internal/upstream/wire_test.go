package upstream

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
)

// TestWire: nothing goes out that need not, and nothing that would change the request.
func TestWire(t *testing.T) {
	calls := make(chan faulty.Call, 1)
	s, p := setup(t, faulty.Options{ID: "i-9", ScriptProbes: true, Script: func(c faulty.Call) faulty.Reply { calls <- c; return faulty.Reply{} }}, Options{})
	a := p.Do(get("a1"))
	got := <-calls
	must.Eq(t, Answered, a.Outcome)
	must.Eq(t, string(faulty.Records("i-9", "/p/a1", 4)), string(a.Body))
	must.Eq(t, faulty.Seal("i-9", "a1"), a.Seal)
	must.Eq(t, "GET /p/a1 HTTP/1.1\nHost: h.example\nAttempt-Id: a1\n", got.Head)
	must.True(t, a.Fresh && a.Wrote && a.Idle == 0)

	c := get("a2")
	c.Method, c.Target, c.ToldDeadline = "POST", "i-9", time.Now().Add(5*time.Second)
	c.Headers = []Header{{"X-A", "1"}, {"content-length", "7"}, {"Transfer-Encoding", "chunked"}, {"HOST", "x"}, {"Connection", "x"},
		{"attempt-id", "z"}, {"Deadline-MS", "9"}, {"Target-Searcher", "q"}, {"Expect", "100-continue"}, {"TE", "x"}, {"X-B", ""}}
	a = p.Do(c)
	got = <-calls
	must.Eq(t, Answered, a.Outcome)
	must.Eq(t, fmt.Sprintf("POST /p/a2 HTTP/1.1\nHost: h.example\nX-A: 1\nX-B: \nAttempt-Id: a2\nTarget-Searcher: i-9\n"+
		"Content-Length: 0\nDeadline-Ms: %d\n", got.DeadlineMs), got.Head)
	must.Between(t, 1, got.DeadlineMs, 5000)
	must.True(t, !a.Fresh && a.Idle > 0)

	for _, size := range []int{5, 300_000} { // in the head's write, and beside it
		c = get("a3")
		c.Method, c.Body = "PUT", bytes.Repeat([]byte("0123\r\n\r\n9"), size)[:size]
		must.Eq(t, Answered, p.Do(c).Outcome)
		got = <-calls
		must.True(t, bytes.Equal(c.Body, got.Body))
	}
	a = p.Do(&Call{Request: Request{Method: "GET", Path: "/health"}}) // a probe
	got = <-calls
	must.Eq(t, Answered, a.Outcome)
	must.Eq(t, "i-9", a.SearcherID)
	must.Eq(t, "GET /health HTTP/1.1\nHost: "+s.Addr()+"\n", got.Head)
	must.Eq(t, 1, s.Accepted())
}

func TestUnsendable(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	for _, change := range []func(c *Call){
		func(c *Call) { c.Path = "/a\r\nX: y" },
		func(c *Call) { c.Path = "/a HTTP/1.1" },
		func(c *Call) { c.Path = "" },
		func(c *Call) { c.Method = "GET /" },
		func(c *Call) { c.Method = "" },
		func(c *Call) { c.Host = "h\nX: y" },
		func(c *Call) { c.AttemptID = "a\r\n\r\nGET /" },
		func(c *Call) { c.Target = "\x00" },
		func(c *Call) { c.Headers = []Header{{"X", "y\rz"}} },
		func(c *Call) { c.Headers = []Header{{"X: y", "z"}} },
		func(c *Call) { c.Headers = []Header{{"", "z"}} },
	} {
		c := get("a1")
		change(c)
		a := p.Do(c)
		must.Eq(t, Unsendable, a.Outcome)
		must.True(t, a.NeverRan())
		must.StrContains(t, a.Err.Error(), s.Addr())
	}
	must.Eq(t, 0, s.Accepted())
}

// TestWays: what becomes of a request in the searcher's hands, and of the connection, on a new one and a used one.
func TestWays(t *testing.T) {
	for way, c := range map[faulty.Way]struct {
		want Outcome
		ran  int
		keep bool
	}{
		faulty.Good:        {Answered, 1, true},
		faulty.Chunked:     {Answered, 1, true},
		faulty.Trickle:     {Answered, 1, true},
		faulty.CloseUnsaid: {Answered, 1, true}, // found out by the next call
		faulty.CloseAfter:  {Answered, 1, false},
		faulty.Surplus:     {Answered, 1, false},
		faulty.ExtraNow:    {Answered, 1, false},
		faulty.ShortLength: {Answered, 1, false},
		faulty.Refuse:      {NotExecuted, 0, true},
		faulty.Wrong421:    {NotExecuted, 0, true},
		faulty.ResetUnrun:  {Broken, 0, false},
		faulty.ResetRun:    {Broken, 1, false},
		faulty.CloseRun:    {Broken, 1, false},
		faulty.CutHead:     {Broken, 1, false},
		faulty.CutBody:     {Broken, 1, false},
		faulty.Spoil:       {Garbled, 1, false},
		faulty.WrongID:     {Garbled, 1, false},
		faulty.NoID:        {Garbled, 1, false},
		faulty.NoSeal:      {Garbled, 1, false},
		faulty.BadChunks:   {Garbled, 1, false},
		faulty.BothLengths: {Garbled, 1, false},
		faulty.NoLength:    {Garbled, 1, false},
		faulty.UntilClose:  {Garbled, 1, false},
	} {
		for _, used := range []bool{false, true} {
			s, p := setup(t, faulty.Options{TellLoad: true}, Options{})
			if used {
				must.Eq(t, Answered, p.Do(get("a0")).Outcome)
			}
			s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Way: way} })
			a := p.Do(get("a1"))
			must.Eq(t, c.want, a.Outcome, must.Sprint(way, used, a.Err))
			must.Eq(t, c.want == Answered || c.want == NotExecuted, a.Err == nil)
			must.Eq(t, c.want == NotExecuted, a.NeverRan())
			must.Eq(t, c.ran, s.Ledger().Ran("a1"), must.Sprint(way))
			must.Eq(t, 1, s.Ledger().Arrived("a1")) // never sent again of our own accord
			must.Eq(t, c.keep, p.Idle() == 1, must.Sprint(way, used))
			must.Eq(t, p.Idle(), p.Open())
			must.Eq(t, !used, a.Fresh)
			must.True(t, a.Outcome != Answered || a.HasLoad)
		}
	}
	s, p := setup(t, faulty.Options{}, Options{})
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Way: faulty.RefuseNoID} })
	must.Eq(t, NotExecuted, p.Do(get("a1")).Outcome) // nothing came before it
	must.Eq(t, Garbled, p.Do(get("a2")).Outcome)
	c := get("a3")
	c.Target = "i-other"
	must.Eq(t, NotExecuted, p.Do(c).Outcome)
	s.SetScript(func(faulty.Call) faulty.Reply { return faulty.Reply{Status: 500} })
	a := p.Do(get("a4"))
	must.Eq(t, Answered, a.Outcome)
	must.Eq(t, 500, a.Status)
}

// TestExtraLate: an earlier request's second answer, where the next one is due, is nobody's.
func TestExtraLate(t *testing.T) {
	s, p := setup(t, faulty.Options{}, Options{})
	s.SetScript(func(c faulty.Call) faulty.Reply {
		return faulty.Reply{Way: map[bool]faulty.Way{true: faulty.ExtraLate}[c.AttemptID == "a1"]}
	})
	must.Eq(t, Answered, p.Do(get("a1")).Outcome)
	must.Eq(t, Garbled, p.Do(get("a2")).Outcome)
	must.Eq(t, 0, p.Open())
	must.Eq(t, Answered, p.Do(get("a3")).Outcome)
	must.Eq(t, 2, s.Accepted())
	must.SliceEmpty(t, s.Ledger().Twice(nil))
}
