package scale

import (
	"encoding/binary"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
)

// Socket statistics come from the kernel (sock_diag over netlink), so that the measured processes need no instrumentation of
// their own. The constants are those of the kernel's interface.
const (
	netlinkInetDiag    = 4
	sockDiagByFamily   = 20
	inetDiagInfo       = 2 // number of both the extension and its attribute
	diagRequestLen     = 16 + 56
	diagMessageLen     = 72
	allStatesButListen = 0xffffffff &^ (1 << 10) // 10 is TCP_LISTEN
)

// socket is one end of a connection.
type socket struct {
	inode                    uint32
	local, remote            netip.AddrPort
	cookie                   uint64 // unique for the machine's uptime, whereas an inode may be reused
	bytesSent, bytesReceived uint64 // bytes; sent counts only those that the peer acknowledged
	segmentsOut, segmentsIn  uint64 // segments that carried data
}

// sockets returns the machine's IPv4 TCP sockets, without listening ones.
func sockets() ([]socket, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkInetDiag)
	if err != nil {
		return nil, errors.Wrap(err, "socket statistics")
	}
	defer syscall.Close(fd)
	req := make([]byte, diagRequestLen)
	binary.NativeEndian.PutUint32(req, diagRequestLen)
	binary.NativeEndian.PutUint16(req[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(req[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	req[16], req[17], req[18] = syscall.AF_INET, syscall.IPPROTO_TCP, 1<<(inetDiagInfo-1)
	binary.NativeEndian.PutUint32(req[20:], allStatesButListen)
	if err := syscall.Sendto(fd, req, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, errors.Wrap(err, "request socket statistics")
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
				return nil, errors.New("the kernel refused the request for socket statistics")
			}
			if s, ok := parseSocket(m.Data); ok {
				list = append(list, s)
			}
		}
	}
}

// parseSocket parses an inet_diag_msg and the tcp_info attribute that follows it.
func parseSocket(b []byte) (s socket, ok bool) {
	if len(b) < diagMessageLen {
		return s, false
	}
	port := func(offset int) uint16 { return binary.BigEndian.Uint16(b[offset:]) }
	addr := func(offset int) netip.Addr { return netip.AddrFrom4([4]byte(b[offset : offset+4])) }
	s.local, s.remote = netip.AddrPortFrom(addr(8), port(4)), netip.AddrPortFrom(addr(24), port(6))
	s.cookie = binary.NativeEndian.Uint64(b[44:])
	s.inode = binary.NativeEndian.Uint32(b[68:])
	for rest := b[diagMessageLen:]; len(rest) >= 4; {
		length, attribute := int(binary.NativeEndian.Uint16(rest)), binary.NativeEndian.Uint16(rest[2:])
		if length < 4 || length > len(rest) {
			return s, false
		}
		if info := rest[4:length]; attribute == inetDiagInfo && len(info) >= 160 {
			s.bytesSent, s.bytesReceived = binary.NativeEndian.Uint64(info[120:]), binary.NativeEndian.Uint64(info[128:])
			s.segmentsIn, s.segmentsOut = uint64(binary.NativeEndian.Uint32(info[152:])), uint64(binary.NativeEndian.Uint32(info[156:]))
			return s, true
		}
		rest = rest[min(len(rest), (length+3)&^3):]
	}
	return s, false
}
