package distribution

import (
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"peathollow/manifest"
	"peathollow/registry"
)

// Location is the address at which a controller serves this protocol, with its zone and region.
type Location struct {
	Addr, Zone, Region string
}

// maxEarlierDocuments is how many earlier configurations a replica keeps, so that a client that holds one of them is sent a
// patch instead of the whole configuration.
const maxEarlierDocuments = 8

// Replica is one process's copy of the searcher list, the configuration in force and the list of controllers. Its methods may
// be called from any goroutine.
type Replica struct {
	mu               sync.Mutex
	system           uint64 // see SetSystem
	registry         *registry.Registry
	document         *manifest.Manifest
	packedDocument   []byte // document packed, once a client needed it whole
	earlierDocuments []*manifest.Manifest
	patches          map[uint64]*manifest.Patch // to document, by the version that they start from
	controllers      []Location
	controllersHash  uint64
	mixerCount       int
	slackSpent       bool
	isolated         bool        // as last set or checked
	hasContact       func() bool // whether agents may be given the contents; nil: always
	isolatedSince    time.Time
	persisted        registry.Vector // updates that the disk of this process holds
	persistedNo      uint64          // rises with each change of persisted
	changed          chan struct{}
}

// NewReplica returns a replica that holds a registry and no configuration.
func NewReplica(r *registry.Registry) *Replica {
	return &Replica{registry: r, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change of the replica.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// WithRegistry calls f with the registry while the lock is held; f reports whether there are updates to distribute.
func (r *Replica) WithRegistry(f func(r *registry.Registry) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f(r.registry) {
		r.notifyLocked()
	}
}

func (r *Replica) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Document returns the newest configuration known to be in force, or nil before the first.
func (r *Replica) Document() *manifest.Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document
}

// SetDocument stores a configuration that is in force and reports whether it is newer than the one held. Others are ignored, so
// that the version never goes back within one incarnation of a process.
func (r *Replica) SetDocument(m *manifest.Manifest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.setDocumentLocked(m)
}

func (r *Replica) setDocumentLocked(m *manifest.Manifest) bool {
	if r.document != nil && m.Version <= r.document.Version {
		return false
	}
	if r.document != nil {
		r.earlierDocuments = append(r.earlierDocuments, r.document)
		r.earlierDocuments = r.earlierDocuments[max(0, len(r.earlierDocuments)-maxEarlierDocuments):]
	}
	r.document, r.packedDocument, r.patches = m, nil, map[uint64]*manifest.Patch{}
	r.notifyLocked()
	return true
}

// Controllers returns the newest known list of controllers.
func (r *Replica) Controllers() []Location {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controllers
}

// SetControllers sets the list of controllers; an empty list changes nothing.
func (r *Replica) SetControllers(controllers []Location) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.setControllersLocked(controllers) {
		r.notifyLocked()
	}
}

func (r *Replica) setControllersLocked(controllers []Location) (changed bool) {
	if len(controllers) == 0 || slices.Equal(r.controllers, controllers) {
		return false
	}
	r.controllers, r.controllersHash = slices.Clone(controllers), hashLocations(controllers)
	return true
}

// MixerCount returns the number of running mixers, or 0 while it isn't known. An agent counts them for its proxy.
func (r *Replica) MixerCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mixerCount
}

// SetMixerCount sets the number of running mixers; 0 changes nothing.
func (r *Replica) SetMixerCount(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.setMixerCountLocked(n) {
		r.notifyLocked()
	}
}

func (r *Replica) setMixerCountLocked(n int) (changed bool) {
	if n <= 0 || n == r.mixerCount {
		return false
	}
	r.mixerCount = n
	return true
}

// SetSlackSpent sets whether earlier incarnations of the proxy on this machine have used the machine's share of the retry
// budget's slack. An agent determines this for its proxy.
func (r *Replica) SetSlackSpent(spent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if spent != r.slackSpent {
		r.slackSpent = spent
		r.notifyLocked()
	}
}

// SlackSpent reports whether earlier incarnations of the proxy on this machine have used the machine's share of the retry
// budget's slack.
func (r *Replica) SlackSpent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slackSpent
}

// SetIsolated sets whether this process is isolated: without contact with a quorum of controllers, or not yet informed what is in
// force since contact returned. Clients should then pull from another server. An isolated server sends agents no configuration
// and no list marked as complete, since both may be out of date.
func (r *Replica) SetIsolated(isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isolated != r.isolated {
		r.setIsolatedLocked(isolated)
		r.notifyLocked()
	}
}

func (r *Replica) setIsolatedLocked(isolated bool) {
	if isolated != r.isolated {
		r.isolated, r.isolatedSince = isolated, time.Now()
	}
}

// SetContactCheck sets a function that reports whether this process has contact with a quorum of controllers. It is called under
// the lock for each response to an agent, because the state last set by SetIsolated may be out of date.
func (r *Replica) SetContactCheck(hasContact func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasContact = hasContact
}

// SetPersisted sets the version vector of the updates that the disk of this process holds.
func (r *Replica) SetPersisted(v registry.Vector) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.persisted = v
	r.persistedNo++
	r.notifyLocked()
}

// Persisted returns the version vector of the updates that the disk of this process holds.
func (r *Replica) Persisted() registry.Vector {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.persisted
}

// Entries returns a copy of the listed searchers.
func (r *Replica) Entries() []registry.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Collect(r.registry.All()), func(e registry.Entry) bool { return Reserved(e.Plant) })
}

// Complete reports whether the list of searchers may be taken as complete.
func (r *Replica) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Complete()
}

// response returns what the client lacks, whether that is anything at all, and a channel that is closed at the next change.
func (r *Replica) response(req *PullRequest) (PullResponse, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !req.Peer && r.hasContact != nil && !r.hasContact() {
		r.setIsolatedLocked(true)
	}
	if r.isolated && !req.Peer {
		return r.isolatedResponseLocked(req)
	}
	resp := PullResponse{System: r.system, News: r.registry.Since(req.Want, maxEntries)}
	hasUpdates := !resp.News.Empty()
	if req.Mend != nil {
		resp.Mend, hasUpdates = r.repairLocked(req.Mend, time.Now()), true
	}
	if req.Peer && req.Kept != r.persistedNo {
		resp.Kept, resp.KeptNo, hasUpdates = r.persisted.Clone(), r.persistedNo, true
	}
	if !req.Peer {
		resp.Alone, resp.Mixers, resp.SlackSpent = r.isolated, r.mixerCount, r.slackSpent
		// A replica that doesn't count mixers has no update of their number.
		hasUpdates = hasUpdates || r.isolated != req.Alone || r.slackSpent != req.SlackSpent || r.mixerCount > 0 && r.mixerCount != req.Mixers
		if r.hasControllersForLocked(req) {
			resp.Core, hasUpdates = r.controllers, true
		}
	}
	if req.Peer {
		return resp, hasUpdates, r.changed // controllers learn the configuration in force from consensus alone
	}
	if r.document != nil && r.document.Version > req.Version {
		hasUpdates = true
		resp.Version = r.document.Version
		if i := slices.IndexFunc(r.earlierDocuments, func(m *manifest.Manifest) bool { return m.Version == req.Version }); i >= 0 && !req.Whole {
			if r.patches[req.Version] == nil {
				p := manifest.Delta(r.earlierDocuments[i], r.document)
				r.patches[req.Version] = &p
			}
			resp.Patch = r.patches[req.Version]
		} else {
			if r.packedDocument == nil {
				r.packedDocument = manifest.Pack(r.document.Raw)
			}
			resp.Whole = r.packedDocument
		}
	}
	return resp, hasUpdates, r.changed
}

// isolatedUpdatesDelay is how long a server is isolated before it sends the searchers that it knows to the clients that wait
// there, since there may be no other source. Before that it sends nothing large: while all controllers start, all agents
// connect to each of them.
const isolatedUpdatesDelay = 3 * time.Second

// isolatedResponseLocked is response for an agent while the server is isolated. The caller holds r.mu.
func (r *Replica) isolatedResponseLocked(req *PullRequest) (PullResponse, bool, <-chan struct{}) {
	resp := PullResponse{System: r.system, Alone: true, News: registry.Delta{By: r.registry.Name()}}
	hasUpdates := !req.Alone
	if r.hasControllersForLocked(req) {
		resp.Core, hasUpdates = r.controllers, true
	}
	if req.Alone && time.Since(r.isolatedSince) > isolatedUpdatesDelay {
		resp.News = r.registry.Since(req.Want, maxEntries)
		resp.News.Whole = false
		hasUpdates = hasUpdates || !resp.News.Empty()
	}
	return resp, hasUpdates, r.changed
}

// hasControllersForLocked reports whether the client holds another list of controllers. A replica that holds none has no update for
// it. The caller holds r.mu.
func (r *Replica) hasControllersForLocked(req *PullRequest) bool {
	return len(r.controllers) > 0 && req.Core != r.controllersHash
}

// merge applies a response. It returns an error if the configuration or patch in it can't be used, so that the client requests
// the whole configuration; all other updates are applied nevertheless.
func (r *Replica) merge(resp *PullResponse, peer bool, now time.Time) error {
	var m *manifest.Manifest
	var err error
	if resp.Whole != nil {
		raw, e := manifest.Unpack(resp.Whole, maxDocumentBytes)
		if e == nil {
			m, e = manifest.Parse(raw)
		}
		err = e
	} else if resp.Patch != nil {
		if base := r.Document(); base != nil {
			m, err = resp.Patch.Apply(base)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.registry.Merge(now, resp.News)
	if m != nil && err == nil {
		r.setDocumentLocked(m)
	}
	if !peer {
		changed = r.setControllersLocked(resp.Core) || changed
		changed = r.setMixerCountLocked(resp.Mixers) || changed
	}
	if changed || !resp.News.Empty() {
		r.notifyLocked()
	}
	return err
}

func hashLocations(locations []Location) uint64 {
	var h xxh3.Hasher
	for _, p := range locations {
		h.WriteString(p.Addr + "," + p.Zone + "," + p.Region + ";")
	}
	return h.Sum64()
}
