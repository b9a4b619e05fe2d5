package request

// Step is a point at which a test may inject a fault into the decisions.
type Step uint8

// Values of Step.
const (
	StepBegin    Step = iota // a request is about to be passed to the engine
	StepTimer                // a timer of the engine is due
	StepReturned             // a dispatch has ended
)

// enterEngine records that the group's engine is about to run, so that a panic in it affects only this group; see
// Contain. The caller calls leaveEngine afterwards.
func (g *group) enterEngine(step Step) {
	g.coordinator.deciding = g
	if g.coordinator.config.InjectFault != nil {
		g.coordinator.config.InjectFault(step, g.services)
	}
}

func (g *group) leaveEngine() { g.coordinator.deciding = nil }
