package keepalive

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// Network is how a process reaches others: TCP in service, a simulated network in tests.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dial gives up after connect; the connection ends once the peer has acknowledged nothing for the time of silence.
	Dial(ctx context.Context, address string, connect, silence time.Duration) (net.Conn, error)
}

// TCP is the network of the machine. With a Relay, connections go through one that a test puts between processes, to cut
// and slow their links: it is told who calls whom, and answers with a byte once the callee is connected.
type TCP struct{ Relay, From string }

// relayAnswer is what a relay says once the callee is connected.
const relayAnswer = '+'

// ErrRelayed is why a connection through a relay came to nothing.
var ErrRelayed = errors.New("relay: not connected")

// Listen listens on an address of this machine.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial connects to an address.
func (t TCP) Dial(ctx context.Context, address string, connect, silence time.Duration) (net.Conn, error) {
	d := Dialer(connect, silence)
	if t.Relay == "" {
		return d.DialContext(ctx, "tcp", address)
	}
	c, err := d.DialContext(ctx, "tcp", t.Relay)
	if err != nil {
		return nil, err
	}
	if err := t.call(ctx, c, address, connect); err != nil {
		c.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err} // as without a relay
	}
	return c, nil
}

// call has the relay connect to an address.
func (t TCP) call(ctx context.Context, c net.Conn, address string, within time.Duration) error {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintf(c, "%s %s\n", t.From, address); err != nil {
		return err
	}
	var b [1]byte
	if _, err := io.ReadFull(c, b[:]); err != nil {
		return err
	}
	if b[0] != relayAnswer {
		return ErrRelayed
	}
	return c.SetDeadline(time.Time{})
}
