package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"peathollow/fleet/overload"
	"peathollow/fleet/view"
)

const interval = 100 * time.Millisecond

// group is a set of coordinators that exchange messages once per heartbeat interval, without loss.
type group struct {
	coordinators []*Coordinator
	names        []string
	now          time.Duration
}

func newGroup(t *testing.T, n int, layout overload.BinLayout) *group {
	g := &group{}
	for i := range n {
		c, err := New(Settings{Name: fmt.Sprint(i), Inc: 1, Instances: n, HeartbeatInterval: interval, Layout: layout}, 0)
		if err != nil {
			t.Fatal(err)
		}
		g.coordinators, g.names = append(g.coordinators, c), append(g.names, fmt.Sprint(i))
	}
	return g
}

func (g *group) run(t *testing.T, rounds int, each func(i int, c *Coordinator)) {
	t.Helper()
	for range rounds {
		g.now += interval
		for i, c := range g.coordinators {
			c.Advance(g.now)
			each(i, c)
			for j, message := range c.NextMessages(false, g.names) {
				decoded, err := DecodeMessage(message.Append(nil))
				if err != nil {
					t.Fatal(err)
				}
				if j != i {
					g.coordinators[j].Advance(g.now)
					if err := g.coordinators[j].Receive(decoded); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
}

// All instances come to the same advice although each reports only its own traffic: one receives the whole excess of a
// tenant, the others only regular traffic. An instance that was paused gives no advice.
func TestAllInstancesGiveTheSameAdvice(t *testing.T) {
	layout := overload.BinLayout{Benefit: []float64{1}, Quota: []float64{20, 20}}
	g := newGroup(t, 3, layout)
	g.run(t, 80, func(i int, c *Coordinator) {
		if _, ok := c.ReportDue(); !ok {
			return
		}
		r := overload.Report{FirstAttempts: 5, Completed: 5, PartsServed: 5, Pressure: 0.9,
			Scans: make([]float64, layout.Len()), Parts: make([]float64, layout.Len())}
		r.Scans[layout.Bin(0, 1)], r.Parts[layout.Bin(0, 1)] = 5, 5
		if i == 0 && g.now > 3*time.Second {
			r.FirstAttempts, r.Completed, r.Throttled, r.PartsServed = 105, 25, 80, 25
			r.Scans[layout.Bin(0, 0)], r.Parts[layout.Bin(0, 0)] = 100, 100
		}
		if err := c.SetReport(r); err != nil {
			t.Fatal(err)
		}
		c.Advice()
	})
	for i, c := range g.coordinators {
		admitted, condition, capacity := c.Advice()
		if condition != overload.Overload || len(admitted) != layout.Len() || admitted[layout.Bin(0, 1)] < 0.99 ||
			admitted[layout.Bin(0, 0)] > 0.5 {
			t.Errorf("instance %d: %v, capacity %.0f, admitted shares %v", i, condition, capacity, admitted)
		}
	}
	g.coordinators[0].Advance(g.now + time.Minute) // a pause of the process
	if admitted, condition, _ := g.coordinators[0].Advice(); admitted != nil || condition != overload.Calm {
		t.Errorf("after a pause the advice is %v, %v", admitted, condition)
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	g := newGroup(t, 2, overload.BinLayout{})
	g.run(t, 3, func(int, *Coordinator) {})
	c := g.coordinators[0]
	if _, err := DecodeMessage([]byte("{")); err == nil {
		t.Error("a truncated message is decoded")
	}
	valid := g.coordinators[1].NextMessages(false, []string{"0"})[0]
	if err := c.Receive(valid); err != nil {
		t.Error(err)
	}
	if err := c.Receive(valid); !errors.Is(err, ErrHeartbeatRejected) {
		t.Errorf("duplicate message: %v", err)
	}
	forged := g.coordinators[1].NextMessages(false, []string{"0"})[0]
	if forged.Piece = []byte(`{"f":[{"o":"0","t":"load","i":1,"s":99}]}`); !errors.Is(c.Receive(forged), ErrInvalidPiece) {
		t.Error("a fact of this instance that it never wrote is accepted")
	}
	if c.Rejected() != 2 || c.View.State("1") != view.Alive {
		t.Errorf("%d messages rejected, state %v", c.Rejected(), c.View.State("1"))
	}
	for _, settings := range []Settings{{}, {Name: "a", Instances: 1}, {Name: "", Instances: 1, HeartbeatInterval: interval},
		{Name: "a", HeartbeatInterval: interval}} {
		if _, err := New(settings, 0); err == nil {
			t.Errorf("%+v is accepted", settings)
		}
	}
}
