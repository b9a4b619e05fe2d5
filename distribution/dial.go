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
	// stagger is after how long the next address is tried beside one that says nothing yet. Machines without power say
	// nothing at all, and after a loss of all power a proxy has nothing to serve by until one controller answers.
	stagger = 150 * time.Millisecond
	atOnce  = 3 // addresses
)

// errUnreachable is told after each address's own fault.
var errUnreachable = errors.New("dial: nobody answers")

type dialled struct {
	conn net.Conn
	addr string
	no   int // of those tried beside each other
	err  error
}

// connect gives a connection to the first of the next addresses that takes one.
func (p *Puller) connect(ctx context.Context, tried int) (dialled, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var network keepalive.Network = keepalive.TCP{}
	if p.Network != nil {
		network = p.Network
	}
	came := make(chan dialled, atOnce)
	var begun []string
	out := 0
	begin := func() {
		addr := p.Choose(tried + len(begun))
		no := len(begun)
		begun = append(begun, addr)
		if addr == "" || slices.Contains(begun[:no], addr) {
			return
		}
		out++
		go func() {
			c, err := keepalive.DialAgain(ctx, network, addr, dialMost, silenceMost, p.Alive)
			came <- dialled{c, addr, no, err}
		}()
	}
	begin()
	t := time.NewTimer(stagger)
	defer t.Stop()
	var last dialled
	for out > 0 {
		select {
		case last = <-came:
			out--
			if last.err == nil {
				go closeRest(came, out)
				return last, nil
			}
			if p.Fault != nil && ctx.Err() == nil {
				p.Fault(last.addr, errors.Wrapf(last.err, "dial, peer %s", last.addr))
			}
		case <-t.C:
		}
		if len(begun) < atOnce {
			begin()
			t.Reset(stagger)
		}
	}
	return dialled{no: len(begun) - 1}, errUnreachable
}

// closeRest ends those that came up beside the first.
func closeRest(came <-chan dialled, n int) {
	for range n {
		if d := <-came; d.err == nil {
			d.conn.Close()
		}
	}
}
