package duty

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recorder records the requested actions.
type recorder struct {
	tokens  []uint64
	targets []string
	sent    []Message
	to      []string
	events  []EventRecord
}

func (r *recorder) Run(token uint64, _ int, target string) {
	r.tokens, r.targets = append(r.tokens, token), append(r.targets, target)
}
func (r *recorder) Send(to string, m Message)            { r.to, r.sent = append(r.to, to), append(r.sent, m) }
func (r *recorder) ObserveResult(string, Result, string) {}
func (r *recorder) Record(e EventRecord)                 { r.events = append(r.events, e) }

func testSettings(n int) Settings {
	return Settings{Name: "me", Incarnation: 1, Instances: n, Shares: 8, Lease: 500 * time.Millisecond, MaxConcurrent: 4,
		Kinds: []Kind{
			{Name: "probe", Interval: time.Second, StartupFactor: 1}, {Name: "audit", Interval: 4 * time.Second, StartupFactor: 1}}}
}

func newTestScheduler(t interface{ Fatal(...any) }, n int) (*Scheduler, *recorder) {
	r := &recorder{}
	s, err := New(testSettings(n), r, 0)
	if err != nil {
		t.Fatal(err)
	}
	s.SetTargets(0, []Target{{Name: "r0"}, {Name: "r1"}, {Name: "r2"}})
	return s, r
}

// advance moves the clock forward in steps that count as elapsed time.
func advance(s *Scheduler, from, to time.Duration) {
	for t := from; t <= to; t += s.MaxAdvanceInterval() {
		s.Advance(t)
		s.Wake()
	}
	s.Advance(to)
	s.Wake()
}

func TestSettingsCheckRejectsInvalidValues(t *testing.T) {
	for name, edit := range map[string]func(*Settings){
		"name": func(s *Settings) { s.Name = "" }, "instances": func(s *Settings) { s.Instances = 0 },
		"shares": func(s *Settings) { s.Shares = 1 << 20 }, "lease": func(s *Settings) { s.Lease = 0 },
		"running": func(s *Settings) { s.MaxConcurrent = 0 }, "kinds": func(s *Settings) { s.Kinds = nil },
		"interval": func(s *Settings) { s.Kinds[0].Interval = 0 }, "gentle": func(s *Settings) { s.Kinds[0].StartupFactor = 0 },
		"write": func(s *Settings) { s.WriteTimeout = time.Hour },
	} {
		s := testSettings(3)
		if edit(&s); s.Validate() == nil {
			t.Error(name, "is not validated")
		}
	}
}

// A single instance is its own majority. It must run every target once per interval, and none before it holds leases.
func TestSingleInstanceRunsEveryTargetOncePerInterval(t *testing.T) {
	s, r := newTestScheduler(t, 1)
	advance(s, 0, 4*time.Second)
	if len(r.tokens) != 3 {
		t.Fatalf("%d runs started", len(r.tokens))
	}
	for _, token := range r.tokens {
		if !s.Permit(token, 4*time.Second) || s.Permit(token, 4*time.Second) {
			t.Error("run not permitted exactly once")
		}
		s.Done(token, Reached, time.Millisecond, "")
	}
	advance(s, 4*time.Second, 4900*time.Millisecond)
	if len(r.tokens) != 3 {
		t.Errorf("%d runs started before the end of the interval", len(r.tokens))
	}
	if advance(s, 4900*time.Millisecond, 5100*time.Millisecond); len(r.tokens) != 6 {
		t.Errorf("%d runs started after the interval", len(r.tokens))
	}
}

// A run that was planned before a pause or a clock jump in either direction must not be written after it.
func TestPermitIsDeniedAfterClockJump(t *testing.T) {
	for _, step := range []time.Duration{200 * time.Millisecond, 20 * time.Second, -time.Millisecond, -time.Hour} {
		s, r := newTestScheduler(t, 1)
		advance(s, 0, 4*time.Second)
		if len(r.tokens) == 0 {
			t.Fatal("no run planned")
		}
		if s.Permit(r.tokens[0], 4*time.Second+step) {
			t.Errorf("run permitted after a clock step of %v", step)
		}
		s.Done(r.tokens[0], NotSent, 0, "")
		if s.Counts().Dropped != 1 || s.Counts().Steps != 1 {
			t.Errorf("%+v", s.Counts())
		}
	}
}

// With two instances a majority needs both. An instance that hears nothing from the other gets no lease and may only
// run out of lease, at the reduced rate.
func TestOutOfLeaseRunsAreRare(t *testing.T) {
	s, r := newTestScheduler(t, 2)
	now := time.Duration(0)
	lastRun := map[string]time.Duration{}
	for ; now < time.Minute; now += s.MaxAdvanceInterval() {
		s.Advance(now)
		s.Wake()
		for k, token := range r.tokens {
			name := r.targets[k]
			if !s.Permit(token, now) {
				t.Fatal("not permitted")
			}
			if interval := now - lastRun[name]; interval < outOfLeaseDivisor*2*time.Second ||
				interval > outOfLeaseDivisor*2*time.Second+100*time.Millisecond {
				t.Errorf("%s run after %v", name, interval)
			}
			lastRun[name] = now
			s.Done(token, Reached, 0, "")
		}
		r.tokens, r.targets = nil, nil
	}
	if counts := s.Counts(); counts.Turns != counts.Run || counts.Took > 0 || counts.Turns < 40 {
		t.Errorf("%+v", counts)
	}
}

// A voter must promise a share to one claimant at a time, and must grant nothing until promises from before its start
// have expired.
func TestSharesAreGrantedToOneClaimantAtATime(t *testing.T) {
	s, r := newTestScheduler(t, 3)
	grant := func(from string, incarnation uint64, at time.Duration) int {
		if at < time.Hour {
			advance(s, s.callerTime, at)
		}
		s.Advance(at)
		s.Receive(Message{Kind: Claim, From: from, Inc: incarnation, Instances: 3, Seq: 1, Shares: []uint16{3}})
		m := r.sent[len(r.sent)-1]
		if m.Kind != Grant || r.to[len(r.to)-1] != from {
			t.Fatalf("%+v", m)
		}
		return len(m.Shares)
	}
	promise := s.settings.promiseDuration()
	if grant("a", 1, promise-time.Millisecond) != 0 {
		t.Error("granted too soon after the start")
	}
	if grant("a", 1, promise) != 1 || grant("b", 1, promise) != 0 || grant("a", 2, promise) != 0 || grant("a", 1, promise) != 1 {
		t.Error("not granted to exactly one claimant at a time")
	}
	if grant("b", 1, 2*promise-time.Millisecond) != 0 {
		t.Error("granted to another claimant during a promise")
	}
	// A clock jump doesn't count as elapsed time, so the promise stands.
	if grant("b", 1, time.Hour) != 0 {
		t.Error("a clock jump ended a promise")
	}
	advance(s, time.Hour, time.Hour+promise)
	if grant("b", 1, time.Hour+promise) != 1 {
		t.Error("the promise did not expire")
	}
}

// Checks the invariants under random events: wake times lie in the future, the links between shares and targets are
// consistent, the limit of concurrent runs holds, and no lease or promise exceeds its duration.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, r := newTestScheduler(t, 3)
		now, seq := time.Duration(0), uint64(0)
		names := []string{"a", "b", "stranger"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				now += time.Duration(rapid.Int64Range(-1e6, 3e8).Draw(t, "by"))
				s.Advance(now)
				if next := s.Wake(); next <= now {
					t.Fatalf("next wake at %v is not after %v", next, now)
				}
			case 3:
				m := Message{From: rapid.SampledFrom(names).Draw(t, "from"), Inc: 1, Instances: 3, Seq: seq,
					Kind: MessageKind(rapid.IntRange(1, 4).Draw(t, "kind")), To: rapid.SampledFrom([]string{"", "me"}).Draw(t, "to")}
				if m.Kind == Grant && len(r.sent) > 0 {
					m.Seq = uint64(rapid.IntRange(0, 9).Draw(t, "seq"))
				}
				for i := range uint16(8) {
					if rapid.Bool().Draw(t, "share") {
						m.Shares = append(m.Shares, i)
					}
				}
				m.Results = []Result{{ID: ID(0, "r1"), Age: time.Duration(rapid.Int64Range(0, 5e9).Draw(t, "age"))}}
				s.Receive(m)
			case 4:
				s.SetMembers(map[string]uint64{"a": 1})
			case 5:
				var targets []Target
				for k := range rapid.IntRange(0, 5).Draw(t, "targets") {
					targets = append(targets, Target{Name: fmt.Sprint("r", k)})
				}
				s.SetTargets(0, targets)
			case 6:
				if len(r.tokens) > 0 {
					token := r.tokens[rapid.IntRange(0, len(r.tokens)-1).Draw(t, "token")]
					s.Permit(token, now)
					s.Done(token, Outcome(rapid.IntRange(0, 3).Draw(t, "out")), 0, "")
				}
			}
			if len(s.runs) > s.settings.MaxConcurrent {
				t.Fatalf("%d concurrent runs", len(s.runs))
			}
			listed := 0
			for i := range s.shares {
				share := &s.shares[i]
				for at, slot := range share.targets {
					if target := &s.targets[slot]; target.kind < 0 || int(target.share) != i || int(target.shareIndex) != at {
						t.Fatalf("share %d lists %+v", i, target)
					}
					listed++
				}
				if share.leasedUntil > s.now+s.settings.Lease || share.promisedUntil > s.now+s.settings.promiseDuration() {
					t.Fatalf("share %d is leased until %v, promised until %v, at %v", i, share.leasedUntil, share.promisedUntil, s.now)
				}
			}
			if known := len(s.byID[0]) + len(s.byID[1]); listed != known || len(s.targets)-len(s.freeSlots) != known {
				t.Fatalf("%d targets in shares, %d known, %d slots in use", listed, known, len(s.targets)-len(s.freeSlots))
			}
		}
	})
}
