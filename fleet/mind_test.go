package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"peathollow/fleet/overload"
	"peathollow/fleet/view"
)

const beat = 100 * time.Millisecond

// group is some minds that tell each other all, once a beat.
type group struct {
	minds []*Mind
	names []string
	now   time.Duration
}

func together(t *testing.T, n int, kinds overload.BinLayout) *group {
	g := &group{}
	for i := range n {
		m, err := New(Settings{Me: fmt.Sprint(i), Inc: 1, Instances: n, Beat: beat, Kinds: kinds}, 0)
		if err != nil {
			t.Fatal(err)
		}
		g.minds, g.names = append(g.minds, m), append(g.names, fmt.Sprint(i))
	}
	return g
}

func (g *group) run(t *testing.T, beats int, each func(i int, m *Mind)) {
	t.Helper()
	for range beats {
		g.now += beat
		for i, m := range g.minds {
			m.At(g.now)
			each(i, m)
			for j, msg := range m.Speak(false, g.names) {
				read, err := Read(msg.Append(nil))
				if err != nil {
					t.Fatal(err)
				}
				if j != i {
					g.minds[j].At(g.now)
					if err := g.minds[j].Heard(read); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
}

// All come to the same advice from what each saw alone: one meets all of a tenant's flood, the others the rest.
func TestTheSameAdviceForAll(t *testing.T) {
	k := overload.BinLayout{Benefit: []float64{1}, Quota: []float64{20, 20}}
	g := together(t, 3, k)
	g.run(t, 80, func(i int, m *Mind) {
		if _, ok := m.Due(); !ok {
			return
		}
		r := overload.Report{First: 5, Done: 5, Carried: 5, Pressure: 0.9, Scans: make([]float64, k.Len()), Bins: make([]float64, k.Len())}
		r.Scans[k.Bin(0, 1)], r.Bins[k.Bin(0, 1)] = 5, 5
		if i == 0 && g.now > 3*time.Second {
			r.First, r.Done, r.Turned, r.Carried = 105, 25, 80, 25
			r.Scans[k.Bin(0, 0)], r.Bins[k.Bin(0, 0)] = 100, 100
		}
		if err := m.Report(r); err != nil {
			t.Fatal(err)
		}
		m.Advice()
	})
	for i, m := range g.minds {
		let, mood, room := m.Advice()
		if mood != overload.Overload || len(let) != k.Len() || let[k.Bin(0, 1)] < 0.99 || let[k.Bin(0, 0)] > 0.5 {
			t.Errorf("mixer %d: %v, room %.0f, lets in %v", i, mood, room, let)
		}
	}
	g.minds[0].At(g.now + time.Minute) // it slept
	if let, mood, _ := g.minds[0].Advice(); let != nil || mood != overload.Calm {
		t.Errorf("a sleeper advises %v, %v", let, mood)
	}
}

func TestMessagesNotBelieved(t *testing.T) {
	g := together(t, 2, overload.BinLayout{})
	g.run(t, 3, func(int, *Mind) {})
	m := g.minds[0]
	if _, err := Read([]byte("{")); err == nil {
		t.Error("half a message is read")
	}
	good := g.minds[1].Speak(false, []string{"0"})[0]
	if err := m.Heard(good); err != nil {
		t.Error(err)
	}
	if err := m.Heard(good); !errors.Is(err, ErrWord) {
		t.Errorf("the same again: %v", err)
	}
	bad := g.minds[1].Speak(false, []string{"0"})[0]
	if bad.Piece = []byte(`{"f":[{"o":"0","t":"load","i":1,"s":99}]}`); !errors.Is(m.Heard(bad), ErrPiece) {
		t.Error("what this one never wrote is taken for its own")
	}
	if m.Odd() != 2 || m.View.State("1") != view.Alive {
		t.Errorf("%d odd, %v", m.Odd(), m.View.State("1"))
	}
	for _, set := range []Settings{{}, {Me: "a", Instances: 1}, {Me: "", Instances: 1, Beat: beat}, {Me: "a", Beat: beat}} {
		if _, err := New(set, 0); err == nil {
			t.Errorf("%+v is taken", set)
		}
	}
}
