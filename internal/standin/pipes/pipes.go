// Package pipes provides a net.Listener with in-memory connections, for tests of servers in simulated time. It is used by
// tests only.
package pipes

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Listener is a channel of connections; Accept returns those that are sent to it.
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

// CheckStalledReader checks, in simulated time, that the server disconnects a client that reads none of a response of size bytes
// after bound and not before. The server must be serving the listener.
func (l Listener) CheckStalledReader(t *testing.T, size int64, bound time.Duration) {
	t.Helper()
	for _, pause := range []time.Duration{bound - time.Second, bound + time.Second} {
		client := l.Dial()
		client.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
		time.Sleep(pause)
		n, err := io.Copy(io.Discard, client)
		must.NoError(t, err)
		must.Eq(t, pause < bound, n > size, must.Sprint(pause))
	}
}

// Dial passes the server's end of a new connection to Accept and returns the client's end.
func (l Listener) Dial() net.Conn {
	client, server := net.Pipe()
	l <- server
	return client
}
