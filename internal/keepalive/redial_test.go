package keepalive

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// unresponsiveNetwork is a network whose peer accepts no connection before some time: a dial that began earlier hangs.
type unresponsiveNetwork struct{ until time.Time }

func (unresponsiveNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n unresponsiveNetwork) Dial(ctx context.Context, _ string, connectTimeout, _ time.Duration) (net.Conn, error) {
	if time.Now().Before(n.until) {
		dialCtx, stop := context.WithTimeout(ctx, connectTimeout)
		defer stop()
		<-dialCtx.Done()
		return nil, dialCtx.Err()
	}
	local, _ := net.Pipe()
	return local, nil
}

// TestDialAgain checks that a dial that began while the peer had no power is restarted at the first sign of life, and
// not earlier.
func TestDialAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, connectTimeout = 250 * time.Millisecond, 450 * time.Millisecond
		start, alive := time.Now(), make(chan struct{}, 1)
		time.AfterFunc(outage, func() { alive <- struct{}{} })
		conn, err := DialAgain(t.Context(), unresponsiveNetwork{start.Add(outage)}, "a", connectTimeout, time.Second, alive)
		must.NoError(t, err)
		must.Eq(t, outage, time.Since(start))
		conn.Close()

		start = time.Now() // without a sign of life
		_, err = DialAgain(t.Context(), unresponsiveNetwork{start.Add(outage)}, "a", connectTimeout, time.Second, alive)
		must.Error(t, err)
		must.Eq(t, connectTimeout, time.Since(start))
	})
}
