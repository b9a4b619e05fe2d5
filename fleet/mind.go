package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"peathollow/fleet/factstore"
	"peathollow/fleet/overload"
	"peathollow/fleet/view"
)

// Settings are what an instance is told at its start. All but Me and Inc must be the same for all.
type Settings struct {
	Me        string
	Inc       uint64        // this start's incarnation, higher than the one before
	Instances int           // how many run at the same time, at most
	Beat      time.Duration // between rounds of words to all others
	Kinds     overload.BinLayout
}

// Times follow from the beat: some words may be lost before an instance counts as unheard, and a clock that was not looked
// at for as long as that was asleep. A report is taken every few beats.
const (
	staleBeats  = 6
	settleBeats = 4
	leapBeats   = 4
	reportBeats = 4
	enterBeats  = 4
	leaveBeats  = 12
	beatLeast   = 20 * time.Millisecond
	beatMost    = 10 * time.Second
)

const (
	pieceMost = 1100 // bytes of a piece of shared state: one datagram, with a word
	pieceTo   = 8    // others that are told one, in each round
	factMost  = 1024
	loadTopic = "load"
)

// Check says what no instance could work with.
func (s *Settings) Check() error {
	if s.Beat < beatLeast || s.Beat > beatMost {
		return fmt.Errorf("beat: %v; %v to %v", s.Beat, beatLeast, beatMost)
	}
	return nil
}

// Stale is how old a word may be, at most, and Leap the step of a clock that is a sleep.
func (s *Settings) Stale() time.Duration { return staleBeats * s.Beat }
func (s *Settings) Leap() time.Duration  { return leapBeats * s.Beat }

// Message is what one instance tells another.
type Message struct {
	Word  view.Heartbeat  `json:"word"`
	Piece json.RawMessage `json:"piece,omitempty"`
}

// Read takes a message from bytes. They begin with a brace, which tells them from others on the same way.
func Read(b []byte) (m Message, err error) {
	if err = json.Unmarshal(b, &m); err != nil {
		return m, fmt.Errorf("fleet message: %w", err)
	}
	return m, nil
}

// Append writes one behind b.
func (m *Message) Append(b []byte) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // names, figures, and what this package wrote itself
	}
	return append(b, text...)
}

// What a message may be at fault with. Words late or doubled are not believed, and mean nothing.
var (
	ErrWord  = errors.New("fleet message: a word not believed")
	ErrPiece = errors.New("fleet message: shared state that can't be")
)

// Mind is one instance's.
type Mind struct {
	View  *view.View
	Store *factstore.Store

	set      Settings
	now      time.Duration
	judge    *overload.Detector
	room     *overload.Capacity
	own      overload.Report
	reported time.Duration
	next     int // of the others, who is told a piece
	odd      int
}

// New makes the mind of an instance that has heard nobody.
func New(set Settings, now time.Duration) (*Mind, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	m := &Mind{set: set, now: now, room: overload.NewCapacity(now), reported: now}
	var err error
	if m.View, err = view.New(view.Settings{Name: set.Me, Inc: set.Inc, Instances: set.Instances, StaleAfter: set.Stale(),
		SettleTime: settleBeats * set.Beat, MaxClockStep: set.Leap()}, now); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if m.Store, err = factstore.New(factstore.Settings{Name: set.Me, Inc: set.Inc, MaxFacts: 8 * set.Instances, MaxCounts: 16 * set.Instances,
		MaxBodySize: factMost}, now); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if m.judge, err = overload.NewDetector(overload.DetectorConfig{Enter: enterBeats * set.Beat, Leave: leaveBeats * set.Beat}); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return m, nil
}

// At sets the clock; it is to be set every few beats at the least, or a sleep is taken for it.
func (m *Mind) At(now time.Duration) {
	m.now = now
	m.View.Advance(now)
	m.Store.Advance(now)
}

// Speak begins a round of words, and gives a message to each of those named. All are told that this one lives, a few what
// it knows, in turn: that goes on from there. A last word is told with all it knows.
func (m *Mind) Speak(leaves bool, names []string) []Message {
	piece := m.Store.EncodePiece(pieceMost)
	words := m.View.NextHeartbeats(leaves, names)
	out := make([]Message, len(words))
	for i := range words {
		out[i].Word = words[i]
		if turn := (i - m.next%len(words) + len(words)) % len(words); turn < pieceTo || leaves {
			out[i].Piece = piece
		}
	}
	m.next += pieceTo
	return out
}

// Heard takes a message. What comes with a word counts only if the word is proven to be no older than it may be.
func (m *Mind) Heard(x Message) error {
	if !m.View.ReceiveHeartbeat(x.Word) {
		m.odd++
		return ErrWord
	}
	if _, ok := m.View.ConfirmedIncarnation(x.Word.From); !ok || len(x.Piece) == 0 {
		return nil
	}
	if err := m.Store.Merge(x.Piece); err != nil {
		m.odd++
		return fmt.Errorf("%w: %w", ErrPiece, err)
	}
	return nil
}

// Due tells that a report is to be taken: what was seen over a span long enough to be a rate.
func (m *Mind) Due() (span time.Duration, ok bool) {
	span = m.now - m.reported
	return span, span >= (reportBeats-1)*m.set.Beat+m.set.Beat/2
}

// Report takes what this instance saw since the last, as rates, and has the others told.
func (m *Mind) Report(r overload.Report) error {
	m.own, m.reported = r, m.now
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("fleet: report: %w", err)
	}
	if err := m.Store.SetFact(loadTopic, body); err != nil {
		return fmt.Errorf("fleet: report: %w", err)
	}
	return nil
}

// Advice is what the module is to know of the fleet: the share of each kind of scan that there is room for, see
// policy.Engine.SetAdmission; nil where nothing is known or there is room for all. An instance without a majority is on its own.
func (m *Mind) Advice() (let []float64, mood overload.Condition, room float64) {
	if !m.View.Allows(view.UseReports) {
		m.judge.Reset()
		m.room = overload.NewCapacity(m.now)
		return nil, overload.Calm, math.Inf(1)
	}
	sum := m.Sum()
	mood = m.judge.Update(m.now, sum)
	if room = m.room.Update(m.now, mood, sum); math.IsInf(room, 1) {
		return nil, mood, room
	}
	return m.set.Kinds.AdmittedShares(sum, room), mood, room
}

// Sum is what the fleet saw: this instance, and all whose words are proven.
func (m *Mind) Sum() (sum overload.Report) {
	sum.Add(m.own)
	m.Store.EachFact(loadTopic, func(f factstore.Fact) {
		var r overload.Report
		inc, ok := m.View.ConfirmedIncarnation(f.Owner)
		if ok && inc == f.Inc && f.Age <= 2*reportBeats*m.set.Beat+m.set.Stale() && json.Unmarshal(f.Body, &r) == nil {
			sum.Add(r)
		}
	})
	return sum
}

// Odd are the messages not believed.
func (m *Mind) Odd() int { return m.odd }
