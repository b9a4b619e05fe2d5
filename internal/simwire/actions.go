package simwire

// What instances want done, as lines of the wire.

import (
	"bytes"
	"encoding/base64"
	"strconv"
	"time"
)

func (h *host) word(verb, who string) *bytes.Buffer {
	h.out.WriteString(verb)
	h.out.WriteByte(' ')
	h.out.WriteString(who)
	return &h.out
}

func (h *host) uint(x uint64) *host {
	h.out.WriteByte(' ')
	h.out.Write(strconv.AppendUint(h.num[:0], x, 10))
	return h
}

func (h *host) time(t time.Duration) *host {
	h.out.WriteByte(' ')
	h.out.Write(strconv.AppendFloat(h.num[:0], float64(t/time.Microsecond)/1000, 'f', -1, 64))
	return h
}

func (h *host) flag(b bool) *host {
	if b {
		return h.uint(1)
	}
	return h.uint(0)
}

func (h *host) end() { h.out.WriteByte('\n') }

func (in *inst) say(verb string) *host {
	in.h.word(verb, in.name)
	return in.h
}

// Dispatch and the methods below are the actions that the policy asks for.
func (in *inst) Dispatch(part uint64, srv int, until time.Duration) {
	in.say("CALL_OUT").uint(part).time(in.base + until).out.WriteString(" " + in.addr[srv] + "\n")
}

func (in *inst) Renew(srv int) { in.say("FREE_LINKS").out.WriteString(" " + in.addr[srv] + "\n") }

func (in *inst) Cancel(part uint64, try int)    { in.say("CANCEL").uint(part).uint(uint64(try)).end() }
func (in *inst) Complete(scan uint64, all bool) { in.say("SETTLE_QUERY").uint(scan).flag(all).end() }
func (in *inst) Abandon(scan uint64)            { in.say("SURRENDER").uint(scan).end() }

// Gossip sends to all other instances.
func (in *inst) Gossip(news []byte) {
	in.say("BROADCAST_TO").out.WriteString(" all " + base64.StdEncoding.EncodeToString(news) + "\n")
}

func (in *inst) Subscribe() { in.say("SUBSCRIBE").flag(true).end() }

func (in *inst) Throttle(scan uint64, retryIn time.Duration) {
	in.say("DECLINE").uint(scan).time(retryIn).end()
}

func (in *inst) Wake(at time.Duration, token uint64) {
	in.say("AFTER").time(in.base + at).uint(token).end()
}
