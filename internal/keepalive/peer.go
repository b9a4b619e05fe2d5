package keepalive

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer of a connection has closed or reset it, even behind unread bytes. It reports false for a
// connection that is closed on this side, or has no socket.
func PeerClosed(conn net.Conn) bool {
	return poll(conn, unix.POLLRDHUP, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
}

// Readable reports whether unread bytes have arrived on a connection, or its end. It reports false for a connection that is closed
// on this side, or has no socket.
func Readable(conn net.Conn) bool { return poll(conn, unix.POLLIN, unix.POLLIN) }

// Pending reports whether a connection waits to be accepted by a listener. It reports false for a listener that is closed, or has no
// socket.
func Pending(ln net.Listener) bool { return poll(ln, unix.POLLIN, unix.POLLIN) }

// poll asks for events of the socket of a connection or listener, and reports whether one of those wanted has occurred.
func poll(owner any, ask, want int16) (occurred bool) {
	socket, ok := owner.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: ask}}
		n, err := unix.Poll(polled, 0)
		occurred = err == nil && n > 0 && polled[0].Revents&want != 0
	})
	return occurred
}
