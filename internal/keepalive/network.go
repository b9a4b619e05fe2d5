package keepalive

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// Network connects a process with others: over TCP in production, over a simulated network in tests.
type Network interface {
	Listen(address string) (net.Listener, error)
	// Dial gives up after connectTimeout. The connection ends once the peer has acknowledged nothing for userTimeout.
	Dial(ctx context.Context, address string, connectTimeout, userTimeout time.Duration) (net.Conn, error)
}

// TCP is the network of the machine. If Relay is set, connections go through a relay that tests put between processes
// to cut or slow their connections. The relay is sent the name of the caller, From, and the address of the
// callee, and replies with one byte once it is connected.
type TCP struct{ Relay, From string }

// relayConnected is the reply of a relay once it is connected to the callee.
const relayConnected = '+'

// ErrRelay is returned when a relay could not connect.
var ErrRelay = errors.New("relay: not connected")

// Listen listens on an address of this machine.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial connects to an address, through the relay if one is set.
func (t TCP) Dial(ctx context.Context, address string, connectTimeout, userTimeout time.Duration) (net.Conn, error) {
	dialer := Dialer(connectTimeout, userTimeout)
	if t.Relay == "" {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialer.DialContext(ctx, "tcp", t.Relay)
	if err != nil {
		return nil, err
	}
	if err := t.requestRelay(ctx, conn, address, connectTimeout); err != nil {
		conn.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err} // same error type as without a relay
	}
	return conn, nil
}

// requestRelay makes the relay connect to an address.
func (t TCP) requestRelay(ctx context.Context, conn net.Conn, address string, timeout time.Duration) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, "%s %s\n", t.From, address); err != nil {
		return err
	}
	var reply [1]byte
	if _, err := io.ReadFull(conn, reply[:]); err != nil {
		return err
	}
	if reply[0] != relayConnected {
		return ErrRelay
	}
	return conn.SetDeadline(time.Time{})
}
