package simwire

import (
	"bytes"
	"encoding/base64"
	"strconv"
	"time"
)

// word starts a line with a word of the protocol and the name of an instance.
func (h *host) word(verb, name string) *bytes.Buffer {
	h.out.WriteString(verb)
	h.out.WriteByte(' ')
	h.out.WriteString(name)
	return &h.out
}

func (h *host) uint(x uint64) *host {
	h.out.WriteByte(' ')
	h.out.Write(strconv.AppendUint(h.number[:0], x, 10))
	return h
}

func (h *host) time(t time.Duration) *host {
	h.out.WriteByte(' ')
	h.out.Write(strconv.AppendFloat(h.number[:0], float64(t/time.Microsecond)/1000, 'f', -1, 64))
	return h
}

func (h *host) flag(b bool) *host {
	if b {
		return h.uint(1)
	}
	return h.uint(0)
}

func (h *host) end() { h.out.WriteByte('\n') }

// startLine starts a line of this instance.
func (in *instance) startLine(verb string) *host {
	in.host.word(verb, in.name)
	return in.host
}

// Dispatch asks the simulator to send a part to a searcher. This and the methods below implement policy.Actions.
func (in *instance) Dispatch(part uint64, searcher int, until time.Duration) {
	in.startLine("CALL_OUT").uint(part).time(in.base + until).out.WriteString(" " + in.addrs[searcher] + "\n")
}

// Renew makes the next dispatch to a searcher use a new connection.
func (in *instance) Renew(searcher int) {
	in.startLine("FREE_LINKS").out.WriteString(" " + in.addrs[searcher] + "\n")
}

// Cancel withdraws one attempt of a part.
func (in *instance) Cancel(part uint64, attempt int) {
	in.startLine("CANCEL").uint(part).uint(uint64(attempt)).end()
}

// Complete ends a scan with a result; whole states whether it includes every part.
func (in *instance) Complete(scan uint64, whole bool) {
	in.startLine("SETTLE_QUERY").uint(scan).flag(whole).end()
}

// Abandon ends a scan without a result.
func (in *instance) Abandon(scan uint64) { in.startLine("SURRENDER").uint(scan).end() }

// Gossip sends a message to all other instances.
func (in *instance) Gossip(message []byte) {
	in.startLine("BROADCAST_TO").out.WriteString(" all " + base64.StdEncoding.EncodeToString(message) + "\n")
}

// Subscribe requests updates of the searcher list.
func (in *instance) Subscribe() { in.startLine("SUBSCRIBE").flag(true).end() }

// Throttle rejects a scan and states when the client may retry.
func (in *instance) Throttle(scan uint64, retryAfter time.Duration) {
	in.startLine("DECLINE").uint(scan).time(retryAfter).end()
}

// Wake requests a timer event with the token at the given time.
func (in *instance) Wake(at time.Duration, token uint64) {
	in.startLine("AFTER").time(in.base + at).uint(token).end()
}
