package keepalive

import (
	"context"
	"net"
	"time"
)

// dialPatience is how long a dial goes on before a sign of life from the other end makes it begin anew: an opening packet
// that was sent while a machine was without power is sent again only after a second.
const dialPatience = 100 * time.Millisecond

// DialAgain dials as network does, and begins anew when alive says that the other end lives and the dial has lasted for a
// while: most likely the other end was not there when it began.
func DialAgain(ctx context.Context, network Network, address string, connect, silence time.Duration, alive <-chan struct{}) (net.Conn, error) {
	end := time.Now().Add(connect)
	for {
		dialling, stop := context.WithCancel(ctx)
		anew := make(chan bool, 1)
		go func() { anew <- awaitSign(dialling, alive, stop) }()
		c, err := network.Dial(dialling, address, max(time.Until(end), time.Millisecond), silence)
		stop()
		if again := <-anew; err == nil || !again || ctx.Err() != nil || !time.Now().Before(end) {
			return c, err
		}
	}
}

// awaitSign stops a dial at the first sign of life once it has lasted for a while, and tells whether it did.
func awaitSign(dialling context.Context, alive <-chan struct{}, stop func()) bool {
	patience := time.NewTimer(dialPatience)
	defer patience.Stop()
	select {
	case <-patience.C:
	case <-dialling.Done():
		return false
	}
	select {
	case <-alive:
		stop()
		return true
	case <-dialling.Done():
		return false
	}
}
