package request

// Step is a point at which a test may plant a fault in what decides.
type Step uint8

// The steps.
const (
	StepBegin    Step = iota // a request is about to be split
	StepWoke                 // a timer of the module is due
	StepReturned             // a dispatch has come back
)

func (g *group) step(s Step) {
	if g.l.terms.Plant != nil {
		g.l.terms.Plant(s, g.cells)
	}
}
