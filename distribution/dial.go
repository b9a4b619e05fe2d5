package distribution

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/keepalive"
)

const (
	// dialStagger is the delay after which the next address is dialled in parallel to those that have not answered yet. Machines
	// without power don't answer at all, and after a power loss of all machines a proxy can't serve until it reaches a controller.
	dialStagger      = 150 * time.Millisecond
	maxParallelDials = 3 // addresses that one connect dials
)

// errUnreachable is returned after the error of each address has been reported to Puller.OnError.
var errUnreachable = errors.New("dial: no address answers")

type dialResult struct {
	conn  net.Conn
	addr  string
	index int // in the order of the parallel dials
	err   error
}

// connect dials the next addresses and returns the first connection that is accepted.
func (p *Puller) connect(ctx context.Context, failures int) (dialResult, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var network keepalive.Network = keepalive.TCP{}
	if p.Network != nil {
		network = p.Network
	}
	results := make(chan dialResult, maxParallelDials)
	var started []string
	pending := 0
	start := func() {
		addr := p.Choose(failures + len(started))
		index := len(started)
		started = append(started, addr)
		if addr == "" || slices.Contains(started[:index], addr) {
			return
		}
		pending++
		go func() {
			conn, err := keepalive.DialAgain(ctx, network, addr, dialTimeout, responseTimeout, p.Alive)
			results <- dialResult{conn, addr, index, err}
		}()
	}
	start()
	t := time.NewTimer(dialStagger)
	defer t.Stop()
	var last dialResult
	for pending > 0 {
		select {
		case last = <-results:
			pending--
			if last.err == nil {
				go closeRemaining(results, pending)
				return last, nil
			}
			if p.OnError != nil && ctx.Err() == nil {
				p.OnError(last.addr, errors.Wrapf(last.err, "dial, peer %s", last.addr))
			}
		case <-t.C:
		}
		if len(started) < maxParallelDials {
			start()
			t.Reset(dialStagger)
		}
	}
	return dialResult{index: len(started) - 1}, errUnreachable
}

// closeRemaining closes the connections of the n dials that are still pending.
func closeRemaining(results <-chan dialResult, n int) {
	for range n {
		if d := <-results; d.err == nil {
			d.conn.Close()
		}
	}
}
