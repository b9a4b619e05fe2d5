package fleetsim

// faults describes the faults that can be injected into a fleet, by name. A check must detect each of them, which shows
// that the checks are effective.
var faults = map[string]string{
	faultEcho:    "every heartbeat is taken as an echo of the last one sent: a one-way partition goes unnoticed",
	faultClock:   "the clock of a paused process stands still, and the process keeps its old view",
	faultStale:   "heartbeats count for ten times as long at one mixer",
	faultGrant:   "loans are granted whatever the view allows",
	faultFigure:  "one mixer takes the fleet's rate as its own",
	faultTwice:   "what others counted is counted again by each mixer that receives it",
	faultLife:    "a restart keeps the incarnation",
	faultAnswer:  "a throttled scan is answered twice",
	faultSilence: "every tenth scan that is to be throttled gets no answer",
	faultAfter:   "a part is sent after its scan's final answer",
}

const (
	faultEcho    = "echo"
	faultClock   = "clock"
	faultStale   = "stale"
	faultGrant   = "grant"
	faultFigure  = "figure"
	faultTwice   = "twice"
	faultLife    = "life"
	faultAnswer  = "answer"
	faultSilence = "silence"
	faultAfter   = "after"
)

// Faults returns the names of all faults that can be injected.
func Faults() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	return names
}

func (n *Node) hasFault(name string) bool { return n.sim.settings.Fault == name }
