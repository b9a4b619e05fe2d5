package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/registry"
)

// An answer is the sign of life of a link, so news that the asker has already may not put it off.
func TestNewsForOthersPutsNoAnswerOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBoard(registry.New(registry.Config{Name: "a", Period: time.Second, Start: time.Now()}))
		s := Server{Board: b}
		ended := make(chan struct{})
		k := time.NewTicker(maxWait / 2)
		time.AfterFunc(responseTimeout, k.Stop) // by then the asker has given up
		go func() {
			for {
				select {
				case <-k.C:
					b.With(func(*registry.Registry) bool { return true })
				case <-ended:
					return
				}
			}
		}()
		at := time.Now()
		s.longPoll(t.Context(), &Ask{Peer: true})
		close(ended)
		must.LessEq(t, maxWait+coalesceDelay, time.Since(at))
	})
}
