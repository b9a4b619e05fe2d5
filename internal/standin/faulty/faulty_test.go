package faulty_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/upstream"
)

// TestSlots guards the admission of requests: with one slot and one queue place, a third request is refused. A request whose
// deadline passes in the queue is refused as not executed, one whose deadline passes while it runs counts as run.
func TestSlots(t *testing.T) {
	hold, scriptCalled := make(chan struct{}), make(chan struct{}, 9)
	server, err := faulty.Start(faulty.Options{Capacity: 1, Queue: 1, ReportLoad: true, Script: func(c faulty.Call) faulty.Reply {
		scriptCalled <- struct{}{}
		return faulty.Reply{Hold: hold}
	}})
	must.NoError(t, err)
	defer server.Close()
	pool := upstream.NewPool(server.Addr(), upstream.Options{})
	defer pool.Close()
	do := func(id string, deadline time.Duration) upstream.Response {
		return pool.Do(&upstream.Exchange{Request: upstream.Request{Method: "GET", Path: "/x", AttemptID: id},
			AdvertisedDeadline: time.Now().Add(deadline), Deadline: time.Now().Add(20 * time.Second)})
	}
	response := do("late", 100*time.Millisecond)
	must.Eq(t, upstream.Answered, response.Outcome)
	must.Eq(t, 504, response.Status)
	<-scriptCalled
	works := make(chan upstream.Response)
	go func() { works <- do("works", time.Minute) }()
	<-scriptCalled
	must.Eq(t, upstream.NotExecuted, do("queued", 100*time.Millisecond).Outcome)
	<-scriptCalled
	waits := &upstream.Exchange{Request: upstream.Request{Method: "GET", Path: "/x", AttemptID: "waits"}}
	waited := make(chan upstream.Response)
	go func() { waited <- pool.Do(waits) }()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { _, n := server.Load(); return n == 1 }),
		wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	response = do("full", time.Minute)
	must.Eq(t, upstream.NotExecuted, response.Outcome)
	must.Eq(t, upstream.Load{Running: 1, Waiting: 1, Slots: 1}, response.Load)
	close(hold)
	must.Eq(t, upstream.Answered, (<-works).Outcome)
	must.Eq(t, upstream.Answered, (<-waited).Outcome)
	for id, ran := range map[string]int{"late": 1, "works": 1, "queued": 0, "full": 0, "waits": 1} {
		must.Eq(t, ran, server.Ledger().Ran(id), must.Sprint(id))
	}
	must.SliceEmpty(t, server.Ledger().RanTwice(nil))
}

// TestDroppedCopiesAreNotSent guards against a late copy that is sent when the searcher has long been well again: the soak
// then took the wrong answer in its calm for a violation.
func TestDroppedCopiesAreNotSent(t *testing.T) {
	copies := func(faulty.Call) faulty.Reply { return faulty.Reply{SecondCopy: faulty.CopyLate} }
	for _, dropped := range []bool{false, true} {
		server, err := faulty.Start(faulty.Options{Script: copies})
		must.NoError(t, err)
		defer server.Close()
		pool := upstream.NewPool(server.Addr(), upstream.Options{})
		defer pool.Close()
		do := func(id string) upstream.Outcome {
			return pool.Do(&upstream.Exchange{Request: upstream.Request{Method: "GET", Path: "/x", AttemptID: id}}).Outcome
		}
		must.Eq(t, upstream.Answered, do("first"))
		want := upstream.InvalidResponse
		if dropped {
			server.DropLateCopies()
			want = upstream.Answered
		}
		must.Eq(t, want, do("second"))
	}
}
