package controlplane

import (
	"context"
	"encoding/gob"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"peathollow/consensus"
	"peathollow/internal/keepalive"
)

// Call is an operator's order on its way to the primary.
type Call struct {
	Read  bool
	Doc   consensus.Document
	Hops  int
	Until time.Duration // what is left of its time
}

const (
	hopsMost = 2
	// aloneCallMost bounds a call on a machine that is out of touch with most members: the caller is to turn to another.
	aloneCallMost = 300 * time.Millisecond
)

// call has a call done here, or by the primary as far as known; it moves on as take-overs show.
func (c *Controller) call(ctx context.Context, x Call) (consensus.Answer, error) {
	if !c.inTouch() {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, aloneCallMost)
		defer stop()
	}
	var last error
	for ctx.Err() == nil {
		a, err := c.core.ask(ctx, call{read: x.Read, doc: x.Doc})
		if err == nil && a.Result != consensus.Refused {
			return a, nil
		}
		if last = err; err == nil && a.Primary != "" && x.Hops < hopsMost {
			if host, _, e := net.SplitHostPort(a.Primary); e == nil && host != c.set.IP {
				if a, err = c.pass(ctx, net.JoinHostPort(host, strconv.Itoa(c.set.PortFirst+portCalls)), x); err == nil && a.Result != consensus.Refused {
					return a, nil
				}
				last = err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(60 * time.Millisecond):
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return consensus.Answer{}, last
}

// pass hands a call to another controller.
func (c *Controller) pass(ctx context.Context, addr string, x Call) (consensus.Answer, error) {
	var a consensus.Answer
	conn, err := c.network.Dial(ctx, addr, 400*time.Millisecond, unackedMost)
	if err != nil {
		return a, errors.Wrapf(err, "dial, peer %s", addr)
	}
	defer conn.Close()
	until, _ := ctx.Deadline()
	conn.SetDeadline(until)
	x.Hops, x.Until = x.Hops+1, time.Until(until)
	if err := gob.NewEncoder(conn).Encode(&x); err != nil {
		return a, errors.Wrapf(err, "call, peer %s", addr)
	}
	if err := gob.NewDecoder(conn).Decode(&a); err != nil {
		return a, errors.Wrapf(err, "answer, peer %s", addr)
	}
	return a, nil
}

// serveCalls does what other controllers pass on.
func (c *Controller) serveCalls(ctx context.Context, ln net.Listener) {
	keepalive.Accept(ctx, ln, func(conn net.Conn) {
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		var x Call
		if gob.NewDecoder(conn).Decode(&x) != nil {
			return
		}
		in, stop := context.WithTimeout(ctx, min(max(x.Until-20*time.Millisecond, time.Millisecond), callMost))
		defer stop()
		a, err := c.core.ask(in, call{read: x.Read, doc: x.Doc})
		if err == nil {
			gob.NewEncoder(conn).Encode(&a)
		}
	})
}
