package consensus

// injectedFaults are switched on only by tests, to check that the simulation detects them.
type injectedFaults struct {
	ackEarly      bool // commit as soon as the primary alone has synced the copy
	ackUnsynced   bool // backups reply before the copy is synced
	forgetPromise bool // witnesses reply before their vote is synced
	voteForLost   bool // a wiped machine replies to messages for the disk that it had
	takeOutside   bool // take over from outside the in-sync set
	blindRead     bool // read without asking the witnesses
	skipJoint     bool // change members in one step
	dropBelow     bool // drop silent backups even if too few copies remain
	trustOwn      bool // a new primary treats its own copy as committed
	recruitEarly  bool // recruit members before they hold the document
	forgetNext    bool // commit without the in-sync members of a proposed change
	oldEpochs     bool // accept copies from older epochs
	noStamp       bool // a new primary does not restamp its copy
	reuseBallots  bool // a round is sent before its ballot is synced
	keepLost      bool // a lost member is never replaced or removed
	anyBody       bool // acknowledge another body for a version in use
}
