package scale

import (
	"encoding/binary"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
)

// What the kernel counts for each connection. The processes measured are left as they are: no counting in their way.

const (
	netlinkInetDiag = 4
	diagByFamily    = 20
	diagInfo        = 2 // both the extension's number and its attribute
	requestLen      = 16 + 56
	diagLen         = 72
	allStates       = 0xffffffff &^ (1 << 10) // but listening
)

// socket is one end of a connection.
type socket struct {
	inode          uint32
	local, remote  netip.AddrPort
	cookie         uint64 // names it for good; an inode may come again
	sent, received uint64 // bytes; sent are those that the peer acknowledged
	out, in        uint64 // segments that carried any
}

// sockets lists the machine's TCP connections over IPv4.
func sockets() ([]socket, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkInetDiag)
	if err != nil {
		return nil, errors.Wrap(err, "socket statistics")
	}
	defer syscall.Close(fd)
	req := make([]byte, requestLen)
	binary.NativeEndian.PutUint32(req, requestLen)
	binary.NativeEndian.PutUint16(req[4:], diagByFamily)
	binary.NativeEndian.PutUint16(req[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	req[16], req[17], req[18] = syscall.AF_INET, syscall.IPPROTO_TCP, 1<<(diagInfo-1)
	binary.NativeEndian.PutUint32(req[20:], allStates)
	if err := syscall.Sendto(fd, req, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, errors.Wrap(err, "ask for socket statistics")
	}
	var list []socket
	buf := make([]byte, 64<<10)
	for {
		n, _, err := syscall.Recvfrom(fd, buf, 0)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "read socket statistics")
		}
		msgs, err := syscall.ParseNetlinkMessage(buf[:n])
		if err != nil {
			return nil, errors.Wrap(err, "read socket statistics")
		}
		for _, m := range msgs {
			switch m.Header.Type {
			case syscall.NLMSG_DONE:
				return list, nil
			case syscall.NLMSG_ERROR:
				return nil, errors.New("the kernel refuses socket statistics")
			}
			if s, ok := parseSocket(m.Data); ok {
				list = append(list, s)
			}
		}
	}
}

// parseSocket reads an inet_diag_msg and the TCP_INFO behind it.
func parseSocket(b []byte) (s socket, ok bool) {
	if len(b) < diagLen {
		return s, false
	}
	port := func(at int) uint16 { return binary.BigEndian.Uint16(b[at:]) }
	addr := func(at int) netip.Addr { return netip.AddrFrom4([4]byte(b[at : at+4])) }
	s.local, s.remote = netip.AddrPortFrom(addr(8), port(4)), netip.AddrPortFrom(addr(24), port(6))
	s.cookie = binary.NativeEndian.Uint64(b[44:])
	s.inode = binary.NativeEndian.Uint32(b[68:])
	for rest := b[diagLen:]; len(rest) >= 4; {
		n, kind := int(binary.NativeEndian.Uint16(rest)), binary.NativeEndian.Uint16(rest[2:])
		if n < 4 || n > len(rest) {
			return s, false
		}
		if info := rest[4:n]; kind == diagInfo && len(info) >= 160 {
			s.sent, s.received = binary.NativeEndian.Uint64(info[120:]), binary.NativeEndian.Uint64(info[128:])
			s.in, s.out = uint64(binary.NativeEndian.Uint32(info[152:])), uint64(binary.NativeEndian.Uint32(info[156:]))
			return s, true
		}
		rest = rest[min(len(rest), (n+3)&^3):]
	}
	return s, false
}
