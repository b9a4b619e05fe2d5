// Package pipes is a listener whose connections never leave the process, for tests of what serves them in simulated time. It
// serves nothing but tests.
package pipes

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

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

// ReadsNothing checks, in simulated time, that a caller that takes nothing of an answer of so many bytes is left after bound and
// not before. The server has to be serving the listener.
func (l Listener) ReadsNothing(t *testing.T, size int64, bound time.Duration) {
	t.Helper()
	for _, pause := range []time.Duration{bound - time.Second, bound + time.Second} {
		near := l.Dial()
		near.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
		time.Sleep(pause)
		n, err := io.Copy(io.Discard, near)
		must.NoError(t, err)
		must.Eq(t, pause < bound, n > size, must.Sprint(pause))
	}
}

// Dial gives the near end of a connection.
func (l Listener) Dial() net.Conn {
	near, far := net.Pipe()
	l <- far
	return near
}
