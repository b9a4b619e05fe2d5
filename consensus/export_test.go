package consensus

// InjectedFaults maps the names of the faults that tests of the simulation inject.
var InjectedFaults = map[string]func(*Node){
	"ack before the backups":         func(n *Node) { n.faults.ackEarly = true },
	"backup answers before its disk": func(n *Node) { n.faults.ackUnsynced = true },
	"promise before the disk":        func(n *Node) { n.faults.forgetPromise = true },
	"vote for a lost disk":           func(n *Node) { n.faults.voteForLost = true },
	"take over from outside":         func(n *Node) { n.faults.takeOutside = true },
	"read without asking":            func(n *Node) { n.faults.blindRead = true },
	"members changed in one step":    func(n *Node) { n.faults.skipJoint = true },
	"drop below the copies":          func(n *Node) { n.faults.dropBelow = true },
	"own copy taken for committed":   func(n *Node) { n.faults.trustOwn = true },
	"recruit without the document":   func(n *Node) { n.faults.recruitEarly = true },
	"commit without those coming in": func(n *Node) { n.faults.forgetNext = true },
	"store what older epochs send":   func(n *Node) { n.faults.oldEpochs = true },
	"ballot sent before the disk":    func(n *Node) { n.faults.reuseBallots = true },
	"two bodies under one version":   func(n *Node) { n.faults.anyBody = true },
	"lost members stay":              func(n *Node) { n.faults.keepLost = true },
	"no new stamp at a take-over":    func(n *Node) { n.faults.noStamp = true },
}
