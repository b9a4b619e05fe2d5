package proxy

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// net/http notices that a client has left by reading on while its request is answered. A client that has sent more by then, its next
// request, hides its end behind that: the read returns the bytes, and nobody reads on. So a connection whose request lasts is asked itself.

// askEvery is how often a connection is asked whose request is in hand.
const askEvery = 250 * time.Millisecond

type connectionKey struct{}

// withConnection has a request's context know its connection; see http.Server.ConnContext.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// hasLeft tells whether the client of a request has closed or reset its connection, also behind bytes that nobody has read.
func hasLeft(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*limitedConn)
	if !ok {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false // net/http knows
	}
	left := false
	raw.Control(func(fd uintptr) { left = isEnded(fd) })
	return left
}

// isEnded tells whether the other end of a connection has closed or reset it.
func isEnded(fd uintptr) bool {
	asked := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(asked, 0)
	return err == nil && n > 0 && asked[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
