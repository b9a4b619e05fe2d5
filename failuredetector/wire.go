package failuredetector

import (
	"encoding/binary"
)

// A heartbeat is one datagram: its kind, the sender's key and its sequence number. It names neither a list nor a receiver, so
// that it stays small; the list of mixers identifies the sender and the address that it must come from.
const (
	heartbeatKind = 0xB7
	// MaxDatagram is the greatest length of a heartbeat; anything longer is not one.
	MaxDatagram = 1 + 8 + binary.MaxVarintLen64
	minDatagram = 1 + 8 + 1
)

// AppendHeartbeat appends an encoded heartbeat to a buffer.
func AppendHeartbeat(buffer []byte, key, number uint64) []byte {
	buffer = binary.BigEndian.AppendUint64(append(buffer, heartbeatKind), key)
	return binary.AppendUvarint(buffer, number)
}

// ReadHeartbeat decodes a heartbeat. It returns false for anything that AppendHeartbeat doesn't produce.
func ReadHeartbeat(b []byte) (key, number uint64, ok bool) {
	if len(b) < minDatagram || len(b) > MaxDatagram || b[0] != heartbeatKind {
		return 0, 0, false
	}
	number, n := binary.Uvarint(b[9:])
	if n != len(b)-9 || n > 1 && b[len(b)-1] == 0 {
		return 0, 0, false
	}
	return binary.BigEndian.Uint64(b[1:]), number, true
}
