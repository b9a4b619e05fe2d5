// Package pipes is a listener whose connections never leave the process, for tests of what serves them in simulated time. It
// serves nothing but tests.
package pipes

import "net"

// Listener gives out the far ends that are sent to it.
type Listener chan net.Conn

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l Listener) Close() error {
	close(l)
	return nil
}

// Addr implements net.Listener.
func (l Listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial gives the near end of a connection.
func (l Listener) Dial() net.Conn {
	near, far := net.Pipe()
	l <- far
	return near
}
