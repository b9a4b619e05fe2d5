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

// Call is an operator's request on its way to the primary.
type Call struct {
	Read  bool
	Doc   consensus.Document
	Hops  int
	Until time.Duration // remaining time
}

const (
	maxHops = 2
	// isolatedCallTimeout bounds a call on a controller that is not in contact with a majority of the members, so that the
	// caller turns to another one soon.
	isolatedCallTimeout = 300 * time.Millisecond
)

// callPrimary executes a call on this node, or on the primary as far as it is known. It retries until ctx ends, and so
// follows a change of the primary.
func (c *Controller) callPrimary(ctx context.Context, x Call) (consensus.Answer, error) {
	if !c.quorumReachable() {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, isolatedCallTimeout)
		defer stop()
	}
	var last error
	for ctx.Err() == nil {
		a, err := c.driver.submit(ctx, localCall{read: x.Read, doc: x.Doc})
		if err == nil && a.Result != consensus.Refused {
			return a, nil
		}
		if last = err; err == nil && a.Primary != "" && x.Hops < maxHops {
			if host, _, e := net.SplitHostPort(a.Primary); e == nil && host != c.settings.IP {
				if a, err = c.forward(ctx, net.JoinHostPort(host, strconv.Itoa(c.settings.PortFirst+portCalls)), x); err == nil &&
					a.Result != consensus.Refused {
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

// forward passes a call to another controller.
func (c *Controller) forward(ctx context.Context, addr string, x Call) (consensus.Answer, error) {
	var a consensus.Answer
	conn, err := c.network.Dial(ctx, addr, 400*time.Millisecond, userTimeout)
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

// serveCalls executes calls that other controllers forward.
func (c *Controller) serveCalls(ctx context.Context, ln net.Listener) {
	keepalive.Accept(ctx, ln, func(conn net.Conn) {
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		var x Call
		if gob.NewDecoder(conn).Decode(&x) != nil {
			return
		}
		callCtx, stop := context.WithTimeout(ctx, min(max(x.Until-20*time.Millisecond, time.Millisecond), callTimeout))
		defer stop()
		a, err := c.driver.submit(callCtx, localCall{read: x.Read, doc: x.Doc})
		if err == nil {
			gob.NewEncoder(conn).Encode(&a)
		}
	})
}
