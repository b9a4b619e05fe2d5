package controlplane

// InjectedFaults are faults that tests enable to check that the control plane simulation detects them. Nothing else sets
// them.
type InjectedFaults struct {
	ServeBeforeContact bool // hand out what was restored from disk before a majority was reached
	DrainsInMemory     bool // acknowledge a drain before any other machine has persisted it
	AckUnsynced        bool // report a write as synced before it is
}
