package client

// Status is a controller's report on itself and on the group of controllers as it knows it.
type Status struct {
	Node      string   `json:"node"`
	ID        string   `json:"id"`
	Zone      string   `json:"zone"`
	Epoch     uint64   `json:"epoch"`
	Primary   string   `json:"primary"` // address as in Members
	InSync    []string `json:"in-sync"` // IDs
	Members   []Member `json:"members"`
	Version   uint64   `json:"config-version"`
	Searchers int      `json:"searchers"`
	Mixers    int      `json:"mixers"` // the count that retry budgets use; 0 while it isn't known
	// SilentMixers are front machines that send no pull requests and from which their watchers receive no heartbeats.
	SilentMixers []string `json:"silent-mixers,omitempty"`
	Isolated     bool     `json:"alone"` // has no contact with a majority of the controllers
}

// Member is a controller as listed in an epoch.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Control string `json:"control"` // address of its HTTP interface for operators; all controllers use the same ports
}

// Roles of a node.
const (
	Controller = "controller"
	Front      = "front"
)

// Node is a machine of the system as reported by a controller.
type Node struct {
	Node          string `json:"node"`
	Role          string `json:"role"`
	Version       uint64 `json:"config-version"` // in force on the node; 0 if it has none or hasn't reported it
	LastContactMs int64  `json:"heard-ms"`       // time since the last contact
	Via           string `json:"via,omitempty"`  // the controller that reports the node
	Fault         string `json:"fault,omitempty"`
}

// Searcher is an entry of the list of searchers.
type Searcher struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	State         string `json:"state"` // ready, draining or silent
	Capacity      int    `json:"capacity"`
	WarmupLeftMs  int64  `json:"warmup-left-ms"`
	ConfigVersion string `json:"config-version"` // version of the searcher's software
	Source        string `json:"source"`         // the controller that receives its heartbeats
}
