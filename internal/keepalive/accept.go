package keepalive

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// acceptRetryDelay is the delay after a temporary error, such as running out of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Accept serves each connection in its own goroutine until ctx ends, which closes the listener and all open connections. A
// connection is closed when serve returns. Accept returns nil if ctx has ended.
func Accept(ctx context.Context, ln net.Listener, serve func(net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			go func() {
				defer conn.Close()
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				defer stop()
				serve(conn)
			}()
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept")
		default:
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
		}
	}
}
