package request

import (
	"maps"
	"time"
)

// A searcher that is on the list may have ended since its last report, and its address may be another's: what is sent there then reaches
// a service that it was not meant for. The list vouches for an address while nothing speaks against it. Where something does, who is
// at an address is to be made out first, which costs a new connection a round more.

const (
	// doubtFor is how long a searcher that could not be reached speaks against the list.
	doubtFor = 10 * time.Second
	// doubtMany is how many such searchers have the list vouch for no other: many have ended, and addresses are being given away.
	doubtMany = 3
	// pauseDoubt is how long after a pause of the process the list vouches for nobody: it is as old as the pause was long, until
	// the agent, which may have paused too, has pulled what it missed.
	pauseDoubt = 3 * time.Second
)

// doubts are the searchers that lately could not be reached, or fell silent.
type doubts struct {
	at      map[string]time.Duration // when something last spoke against each
	dropped time.Duration            // when what is over was last dropped
}

// dropEvery is how often what is over is dropped: they may be many.
const dropEvery = 100 * time.Millisecond

// note notes that something speaks against a searcher.
func (d *doubts) note(now time.Duration, id string) { d.at[id] = now }

// against tells whether something speaks against a searcher, or against so many that it speaks against all.
func (d *doubts) against(now time.Duration, id string) bool {
	if now-d.dropped >= dropEvery {
		d.dropped = now
		maps.DeleteFunc(d.at, func(_ string, at time.Duration) bool { return now-at >= doubtFor })
	}
	_, doubted := d.at[id]
	return doubted || len(d.at) >= doubtMany
}

// Unreachable tells that no connection to a searcher's address came about.
func (l *Life) Unreachable(h *Host) { l.doubts.note(l.now, h.ID) }

// vouches tells whether the list vouches for a searcher's address.
func (l *Life) vouches(h *Host) bool {
	if l.ranOn > 0 && l.now-l.ranOn < pauseDoubt {
		return false
	}
	return !h.Silent && l.addresses[h.Address] == 1 && !l.doubts.against(l.now, h.ID)
}

// countAddresses counts the searchers that are listed at each address: where there are two, one of them is no more.
func (l *Life) countAddresses() {
	l.addresses = make(map[string]int, len(l.hosts))
	for _, h := range l.hosts {
		l.addresses[h.Address]++
	}
}
