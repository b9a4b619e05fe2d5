package fleetsim

// plants are faults that can be planted into a fleet, by name, with what they do. Each must be told by a check: the
// checks are worth what they find.
var plants = map[string]string{
	plantEcho:    "every word is taken to answer the last that was sent: a way cut in one direction goes unseen",
	plantClock:   "a sleeper's clock stands still, and it believes what it did before",
	plantStale:   "words count for ten times as long at one mixer",
	plantGrant:   "loans are made whatever the view allows",
	plantFigure:  "one mixer takes the fleet's figure for its own",
	plantTwice:   "what others counted is counted again by whoever hears of it",
	plantLife:    "a restart keeps its incarnation",
	plantAnswer:  "a throttled scan is answered twice",
	plantSilence: "every tenth scan that is to be throttled gets no answer",
	plantAfter:   "a part is sent after its scan's final answer",
}

const (
	plantEcho    = "echo"
	plantClock   = "clock"
	plantStale   = "stale"
	plantGrant   = "grant"
	plantFigure  = "figure"
	plantTwice   = "twice"
	plantLife    = "life"
	plantAnswer  = "answer"
	plantSilence = "silence"
	plantAfter   = "after"
)

// Plants are the names of all faults that can be planted.
func Plants() []string {
	var names []string
	for name := range plants {
		names = append(names, name)
	}
	return names
}

func (n *Node) planted(name string) bool { return n.w.set.Plant == name }
