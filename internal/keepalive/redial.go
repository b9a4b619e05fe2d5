package keepalive

import (
	"context"
	"net"
	"time"
)

// minDialTime is how long a dial lasts before a sign of life from the peer restarts it. A SYN that was sent while the
// peer had no power is retransmitted only after a second.
const minDialTime = 100 * time.Millisecond

// DialAgain dials as network does, and restarts the dial when alive reports a sign of life from the peer and the dial
// has lasted for minDialTime: most likely the peer was down when it began.
func DialAgain(ctx context.Context, network Network, address string, connectTimeout, userTimeout time.Duration,
	alive <-chan struct{}) (net.Conn, error) {
	deadline := time.Now().Add(connectTimeout)
	for {
		dialCtx, stop := context.WithCancel(ctx)
		restarted := make(chan bool, 1)
		go func() { restarted <- awaitAlive(dialCtx, alive, stop) }()
		conn, err := network.Dial(dialCtx, address, max(time.Until(deadline), time.Millisecond), userTimeout)
		stop()
		if restart := <-restarted; err == nil || !restart || ctx.Err() != nil || !time.Now().Before(deadline) {
			return conn, err
		}
	}
}

// awaitAlive stops a dial at the first sign of life after minDialTime, and reports whether it did.
func awaitAlive(dialCtx context.Context, alive <-chan struct{}, stop func()) bool {
	timer := time.NewTimer(minDialTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-dialCtx.Done():
		return false
	}
	select {
	case <-alive:
		stop()
		return true
	case <-dialCtx.Done():
		return false
	}
}
