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

// Settings configures an instance. All fields but Name and Inc must be the same for all instances.
type Settings struct {
	Name              string
	Inc               uint64        // incarnation of this process, higher than that of the process before
	Instances         int           // the maximum number that run at the same time
	HeartbeatInterval time.Duration // time between rounds of heartbeats to all other instances
	Layout            overload.BinLayout
}

// Times are multiples of the heartbeat interval. Several heartbeats may be lost before those of an instance count as
// stale. A clock that has not been advanced for several intervals means that the process was paused. A load report is taken
// every few intervals.
const (
	staleIntervals     = 6
	settleIntervals    = 4
	clockStepIntervals = 4
	reportIntervals    = 4
	enterIntervals     = 4
	leaveIntervals     = 12
	minInterval        = 20 * time.Millisecond
	maxInterval        = 10 * time.Second
)

const (
	maxPieceSize   = 1100 // bytes of a piece of shared state: it must fit into one datagram together with a heartbeat
	piecesPerRound = 8    // number of instances that are sent a piece in each round
	maxFactSize    = 1024
	loadTopic      = "load"
)

// Check returns an error if no instance can work with the settings.
func (s *Settings) Check() error {
	if s.HeartbeatInterval < minInterval || s.HeartbeatInterval > maxInterval {
		return fmt.Errorf("beat: %v; must be between %v and %v", s.HeartbeatInterval, minInterval, maxInterval)
	}
	return nil
}

// StaleAfter returns the age at which a heartbeat is stale.
func (s *Settings) StaleAfter() time.Duration { return staleIntervals * s.HeartbeatInterval }

// MaxClockStep returns the clock step beyond which the process counts as paused.
func (s *Settings) MaxClockStep() time.Duration { return clockStepIntervals * s.HeartbeatInterval }

// Message is what one instance sends another.
type Message struct {
	Heartbeat view.Heartbeat  `json:"word"`
	Piece     json.RawMessage `json:"piece,omitempty"`
}

// DecodeMessage decodes a message. Its encoding begins with a brace, which distinguishes it from the duties' messages that
// the same group carries.
func DecodeMessage(b []byte) (m Message, err error) {
	if err = json.Unmarshal(b, &m); err != nil {
		return m, fmt.Errorf("fleet message: %w", err)
	}
	return m, nil
}

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // names, numbers and JSON that this package encoded itself can always be encoded
	}
	return append(b, text...)
}

// The faults of a received message. A delayed or duplicate heartbeat is rejected too; that is normal and harmless.
var (
	ErrHeartbeatRejected = errors.New("fleet message: heartbeat rejected")
	ErrInvalidPiece      = errors.New("fleet message: invalid piece of shared state")
)

// Coordinator holds one instance's state of the fleet.
type Coordinator struct {
	View  *view.View
	Store *factstore.Store

	settings      Settings
	now           time.Duration
	detector      *overload.Detector
	capacity      *overload.Capacity
	ownReport     overload.Report
	reportedAt    time.Duration
	nextPieceTo   int // index of the next instance to be sent a piece
	rejectedCount int
}

// New makes the coordinator of an instance that has not heard any other.
func New(settings Settings, now time.Duration) (*Coordinator, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	c := &Coordinator{settings: settings, now: now, capacity: overload.NewCapacity(now), reportedAt: now}
	var err error
	if c.View, err = view.New(view.Settings{Name: settings.Name, Inc: settings.Inc, Instances: settings.Instances,
		StaleAfter: settings.StaleAfter(), SettleTime: settleIntervals * settings.HeartbeatInterval,
		MaxClockStep: settings.MaxClockStep()}, now); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if c.Store, err = factstore.New(factstore.Settings{Name: settings.Name, Inc: settings.Inc, MaxFacts: 8 * settings.Instances,
		MaxCounts: 16 * settings.Instances, MaxBodySize: maxFactSize}, now); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if c.detector, err = overload.NewDetector(overload.DetectorConfig{Enter: enterIntervals * settings.HeartbeatInterval,
		Leave: leaveIntervals * settings.HeartbeatInterval}); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return c, nil
}

// Advance advances the clock. It must be called at least every few heartbeat intervals, or the process counts as paused.
func (c *Coordinator) Advance(now time.Duration) {
	c.now = now
	c.View.Advance(now)
	c.Store.Advance(now)
}

// NextMessages begins a round and returns a message for each of the named instances. All of them get a heartbeat; a few,
// in rotation over the rounds, also get a piece of the store. When leaving, the last round carries a piece to every instance.
func (c *Coordinator) NextMessages(leaving bool, names []string) []Message {
	piece := c.Store.EncodePiece(maxPieceSize)
	heartbeats := c.View.NextHeartbeats(leaving, names)
	messages := make([]Message, len(heartbeats))
	for i := range heartbeats {
		messages[i].Heartbeat = heartbeats[i]
		if offset := (i - c.nextPieceTo%len(heartbeats) + len(heartbeats)) % len(heartbeats); offset < piecesPerRound || leaving {
			messages[i].Piece = piece
		}
	}
	c.nextPieceTo += piecesPerRound
	return messages
}

// Receive processes a message. Its piece is merged only if the heartbeat is proven to be recent.
func (c *Coordinator) Receive(message Message) error {
	if !c.View.ReceiveHeartbeat(message.Heartbeat) {
		c.rejectedCount++
		return ErrHeartbeatRejected
	}
	if _, ok := c.View.ConfirmedIncarnation(message.Heartbeat.From); !ok || len(message.Piece) == 0 {
		return nil
	}
	if err := c.Store.Merge(message.Piece); err != nil {
		c.rejectedCount++
		return fmt.Errorf("%w: %w", ErrInvalidPiece, err)
	}
	return nil
}

// ReportDue returns the time since the last load report, and whether it is long enough to compute rates for the next one.
func (c *Coordinator) ReportDue() (span time.Duration, ok bool) {
	span = c.now - c.reportedAt
	return span, span >= (reportIntervals-1)*c.settings.HeartbeatInterval+c.settings.HeartbeatInterval/2
}

// SetReport sets this instance's load report, with rates since the last one, and publishes it to the other instances.
func (c *Coordinator) SetReport(r overload.Report) error {
	c.ownReport, c.reportedAt = r, c.now
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("fleet: report: %w", err)
	}
	if err := c.Store.SetFact(loadTopic, body); err != nil {
		return fmt.Errorf("fleet: report: %w", err)
	}
	return nil
}

// Advice returns the share of each bin of demand that the policy engine is to admit (see policy.Engine.SetAdmission), the
// fleet's load condition and its capacity in parts per second. The shares are nil if nothing is known or if there is
// capacity for all demand. An instance that is not in contact with a majority gets no advice and handles overload by itself.
func (c *Coordinator) Advice() (admitted []float64, condition overload.Condition, capacity float64) {
	if !c.View.Allows(view.UseReports) {
		c.detector.Reset()
		c.capacity = overload.NewCapacity(c.now)
		return nil, overload.Calm, math.Inf(1)
	}
	sum := c.FleetReport()
	condition = c.detector.Update(c.now, sum)
	if capacity = c.capacity.Update(c.now, condition, sum); math.IsInf(capacity, 1) {
		return nil, condition, capacity
	}
	return c.settings.Layout.AdmittedShares(sum, capacity), condition, capacity
}

// FleetReport returns the sum of the load reports of this instance and of all instances whose heartbeats are proven to be
// recent.
func (c *Coordinator) FleetReport() (sum overload.Report) {
	sum.Add(c.ownReport)
	c.Store.EachFact(loadTopic, func(f factstore.Fact) {
		var r overload.Report
		inc, ok := c.View.ConfirmedIncarnation(f.Owner)
		if ok && inc == f.Inc && f.Age <= 2*reportIntervals*c.settings.HeartbeatInterval+c.settings.StaleAfter() &&
			json.Unmarshal(f.Body, &r) == nil {
			sum.Add(r)
		}
	})
	return sum
}

// Rejected returns the number of rejected messages.
func (c *Coordinator) Rejected() int { return c.rejectedCount }
