// Package keepalive makes connections detect a peer that has stopped responding: a machine that lost power or is cut
// off from the network neither refuses nor resets connections. The callers choose the timeouts.
package keepalive

import (
	"net"
	"syscall"
	"time"
)

const tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall lacks

// Dialer returns a dialer whose connections end once the peer has acknowledged nothing for userTimeout. This includes the
// SYN.
func Dialer(connectTimeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return SetUserTimeout(raw, userTimeout)
	}}
}

// SetUserTimeout sets TCP_USER_TIMEOUT, which limits how long the kernel waits for a peer that acknowledges nothing.
func SetUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
