package faulty_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"peathollow/internal/standin/faulty"
	"peathollow/internal/upstream"
)

// TestSlots: one at work, one in the queue, the next refused; a deadline in the queue is a refusal, one at work a run.
func TestSlots(t *testing.T) {
	hold, at := make(chan struct{}), make(chan struct{}, 9)
	s, err := faulty.Start(faulty.Options{Capacity: 1, Queue: 1, TellLoad: true, Script: func(c faulty.Call) faulty.Reply {
		at <- struct{}{}
		return faulty.Reply{Hold: hold}
	}})
	must.NoError(t, err)
	defer s.Close()
	p := upstream.NewPool(s.Addr(), upstream.Options{})
	defer p.Close()
	do := func(id string, told time.Duration) upstream.Response {
		return p.Do(&upstream.Exchange{Request: upstream.Request{Method: "GET", Path: "/x", AttemptID: id},
			AdvertisedDeadline: time.Now().Add(told), Deadline: time.Now().Add(20 * time.Second)})
	}
	a := do("late", 100*time.Millisecond)
	must.Eq(t, upstream.Answered, a.Outcome)
	must.Eq(t, 504, a.Status)
	<-at
	works := make(chan upstream.Response)
	go func() { works <- do("works", time.Minute) }()
	<-at
	must.Eq(t, upstream.NotExecuted, do("queued", 100*time.Millisecond).Outcome)
	<-at
	waits := &upstream.Exchange{Request: upstream.Request{Method: "GET", Path: "/x", AttemptID: "waits"}}
	waited := make(chan upstream.Response)
	go func() { waited <- p.Do(waits) }()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { _, n := s.Load(); return n == 1 }),
		wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	a = do("full", time.Minute)
	must.Eq(t, upstream.NotExecuted, a.Outcome)
	must.Eq(t, upstream.Load{Running: 1, Waiting: 1, Slots: 1}, a.Load)
	close(hold)
	must.Eq(t, upstream.Answered, (<-works).Outcome)
	must.Eq(t, upstream.Answered, (<-waited).Outcome)
	for id, ran := range map[string]int{"late": 1, "works": 1, "queued": 0, "full": 0, "waits": 1} {
		must.Eq(t, ran, s.Ledger().Ran(id), must.Sprint(id))
	}
	must.SliceEmpty(t, s.Ledger().Twice(nil))
}
