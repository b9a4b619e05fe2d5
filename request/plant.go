package request

// Step is a point at which a test may plant a fault in what decides.
type Step uint8

// The steps.
const (
	StepBegin    Step = iota // a request is about to be split
	StepWoke                 // a timer of the module is due
	StepReturned             // a dispatch has come back
)

// enter notes that the group's module is about to decide: should that fail, the fault is the group's alone; see Contain. The
// caller says when it is done.
func (g *group) enter(s Step) {
	g.l.inside = g
	if g.l.terms.Plant != nil {
		g.l.terms.Plant(s, g.cells)
	}
}

func (g *group) done() { g.l.inside = nil }
