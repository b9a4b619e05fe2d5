package keepalive

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// waking is a network whose far end takes nothing before some moment: a dial that began earlier hangs.
type waking struct{ at time.Time }

func (waking) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (w waking) Dial(ctx context.Context, _ string, connect, _ time.Duration) (net.Conn, error) {
	if time.Now().Before(w.at) {
		hang, stop := context.WithTimeout(ctx, connect)
		defer stop()
		<-hang.Done()
		return nil, hang.Err()
	}
	near, _ := net.Pipe()
	return near, nil
}

// TestDialAgain: a dial that began while the other end was without power ends at its first sign of life, and no sooner.
func TestDialAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const off, connect = 250 * time.Millisecond, 450 * time.Millisecond
		began, alive := time.Now(), make(chan struct{}, 1)
		time.AfterFunc(off, func() { alive <- struct{}{} })
		c, err := DialAgain(t.Context(), waking{began.Add(off)}, "a", connect, time.Second, alive)
		must.NoError(t, err)
		must.Eq(t, off, time.Since(began))
		c.Close()

		began = time.Now()
		_, err = DialAgain(t.Context(), waking{began.Add(off)}, "a", connect, time.Second, alive) // no sign
		must.Error(t, err)
		must.Eq(t, connect, time.Since(began))
	})
}
