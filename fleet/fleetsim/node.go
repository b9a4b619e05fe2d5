package fleetsim

import (
	"encoding/json"
	"errors"
	"time"

	"peathollow/fleet"
	"peathollow/fleet/factstore"
	"peathollow/fleet/overload"
	"peathollow/fleet/view"
)

// Node is one mixer: its deciding pieces, and the life that the script gives it.
type Node struct {
	w    *World
	i    int
	Name string
	Inc  uint64
	life int

	up     bool
	asleep time.Duration // till then
	held   []func()      // what came for it in its sleep
	born   time.Duration // its clock's zero
	jumped time.Duration // what its clock has jumped

	*fleet.Mind
	Probe *overload.Budget
	mix   *mixer

	wants  map[string]float64 // probes a second that it would make
	owing  float64            // wished for and not spent yet
	Probes float64            // spent
	Mood   overload.Condition
	lost   time.Duration // since when it has not heard a majority, in truth; -1 if it does
	sums   map[string]uint64
	said   uint64 // the number of its last word
}

// start begins a new life of the mixer.
func (n *Node) start() {
	if !n.planted(plantLife) || n.Inc == 0 {
		n.Inc++
	}
	n.life++
	n.up, n.asleep, n.held, n.born, n.jumped = true, 0, nil, n.w.now, 0
	n.owing, n.sums = 0, map[string]uint64{}
	n.w.truth()
	set, terms := n.w.mind(), n.w.terms()
	set.Me, set.Inc = n.Name, n.Inc
	if n.planted(plantFigure) && n.i == 0 {
		terms.Instances = 1
	}
	if n.planted(plantStale) && n.i == 0 {
		set.Beat *= 10
	}
	var err error
	if n.Mind, err = fleet.New(set, 0); err != nil {
		panic(err) // the world's settings are checked before
	}
	if n.Probe, err = overload.NewBudget(terms, n.Name, n.Inc, 0); err != nil {
		panic(err)
	}
	n.Mood = overload.Calm
	if n.w.load != nil {
		n.mix = newMixer(n)
	}
	if !n.w.set.Mute {
		n.beat(n.life)
		n.tick(n.life)
	}
}

// do has the mixer do something now, or when it wakes.
func (n *Node) do(f func()) {
	if n.w.now < n.asleep {
		n.held = append(n.held, f)
		return
	}
	n.clock()
	f()
	n.check()
}

// clock sets its pieces' time.
func (n *Node) clock() {
	at := n.w.now - n.born + n.jumped
	n.Mind.At(at)
	n.Probe.Advance(at)
}

// beat tells all others what there is to tell, and goes on doing so while this life lasts.
func (n *Node) beat(life int) {
	if !n.up || n.life != life {
		return
	}
	n.w.after(n.w.set.Beat, func() { n.beat(life) })
	n.do(func() { n.speak(false) })
}

func (n *Node) speak(leaves bool) {
	n.Store.SetFact("spare", number(n.Probe.Spare()))
	if n.mix != nil {
		n.report()
	}
	var names []string
	var others []*Node
	for _, o := range n.w.Nodes {
		if o != n {
			names, others = append(names, o.Name), append(others, o)
		}
	}
	for i, msg := range n.Speak(leaves, names) {
		n.said = msg.Word.No
		n.w.send(n, others[i], len(msg.Append(nil)), func() { others[i].heard(msg) })
	}
}

// heard takes a message. Words late, doubled or from an earlier life are not believed, and that is as it should be.
func (n *Node) heard(msg fleet.Message) {
	if n.planted(plantEcho) {
		msg.Word.Echo = view.Echo{Inc: n.Inc, No: n.said}
	}
	if err := n.Heard(msg); errors.Is(err, fleet.ErrPiece) {
		n.w.broke("%s can't read what %s tells: %v", n.Name, msg.Word.From, err)
	}
	if n.planted(plantTwice) && n.w.probe.truth["seen"] > 0 {
		n.Store.Add("seen", 0, 1)
	}
}

// tick spends what may be spent, and looks for more where it lacks.
func (n *Node) tick(life int) {
	if !n.up || n.life != life {
		return
	}
	const step = 100 * time.Millisecond
	n.w.after(step, func() { n.tick(life) })
	n.do(func() {
		n.spend(step)
		if n.mix != nil {
			n.mix.advise()
		}
	})
}

func (n *Node) spend(step time.Duration) {
	want := 0.0
	for _, x := range n.wants {
		want += x
	}
	for n.owing = min(n.owing+want*step.Seconds(), want+1); n.owing >= 1 && n.Probe.Spend(1); n.owing-- {
		n.Probes++
		n.w.probe.take(n.w, 1)
	}
	if !n.View.Allows(view.UseReports) {
		return
	}
	spare := map[string]overload.PeerSpare{}
	n.Store.EachFact("spare", func(f factstore.Fact) {
		var x float64
		if inc, ok := n.View.ConfirmedIncarnation(f.Owner); ok && inc == f.Inc && json.Unmarshal(f.Body, &x) == nil {
			spare[f.Owner] = overload.PeerSpare{Inc: inc, Rate: x}
		}
	})
	for _, a := range n.Probe.LoanRequests(spare) {
		if o, err := n.w.Find(a.To); err == nil {
			n.w.send(n, o, len(encode(a)), func() { o.asked(a, n) })
		}
	}
}

func (n *Node) asked(a overload.LoanRequest, from *Node) {
	may := n.View.Allows(view.Grant) || n.planted(plantGrant)
	l, ok := n.Probe.HandleRequest(a, may)
	if !ok {
		return
	}
	if l.Rate > 0 {
		n.granted()
	}
	n.w.send(n, from, len(encode(l)), func() { from.Probe.HandleLoan(l) })
}

// Kill ends it outright; Restart begins a new life, with nothing of the old one.
func (n *Node) Kill() {
	n.up = false
	n.w.truth()
	if n.mix != nil {
		n.mix.die()
	}
}

func (n *Node) Restart() {
	if n.up {
		n.Kill()
	}
	n.start()
}

// Leave has it say goodbye and end.
func (n *Node) Leave() {
	n.do(func() { n.speak(true) })
	n.Kill()
}

// Sleep stops it for a time; its clock goes on, and what comes for it waits.
func (n *Node) Sleep(d time.Duration) {
	n.asleep = n.w.now + d
	if n.planted(plantClock) {
		n.jumped -= d
	}
	life := n.life
	n.w.truth()
	n.w.after(d, func() {
		if !n.up || n.life != life || n.w.now < n.asleep {
			return
		}
		n.w.truth()
		held := n.held
		n.held = nil
		for _, f := range held {
			n.do(f)
		}
	})
}

// Jump moves its clock.
func (n *Node) Jump(d time.Duration) { n.jumped += d }

// Want has it make so many probes a second, as far as it may.
func (n *Node) Want(perSecond float64) { n.wants["story"] = perSecond }

// Up tells whether it runs.
func (n *Node) Up() bool { return n.up }

// Count adds under a topic; what it counted is known to the world, which checks what others make of it.
func (n *Node) Count(topic string, k uint64) {
	n.do(func() {
		if n.Store.Add(topic, 0, k) {
			n.w.probe.counted(topic, k)
		}
	})
}

func number(x float64) []byte { return encode(x) }

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain figures and names
	}
	return b
}
