package duty

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawMessage(t *rapid.T) Message {
	m := Message{Kind: MessageKind(rapid.IntRange(1, int(messageKindCount)-1).Draw(t, "kind")),
		From: rapid.StringN(0, 9, maxNameLength).Draw(t, "from"),
		Inc:  rapid.Uint64().Draw(t, "inc"), Instances: rapid.IntRange(0, maxInstances).Draw(t, "n"),
		Seq: rapid.Uint64().Draw(t, "seq"),
		To:  rapid.StringN(0, 9, maxNameLength).Draw(t, "to")}
	at := 0
	for range rapid.IntRange(0, 20).Draw(t, "shares") {
		if at += rapid.IntRange(1, 300).Draw(t, "step"); at < maxShares {
			m.Shares = append(m.Shares, uint16(at))
		}
	}
	for range rapid.IntRange(0, 5).Draw(t, "results") {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(maxAge/time.Microsecond)).Draw(t, name)) * time.Microsecond
		}
		m.Results = append(m.Results, Result{Kind: rapid.IntRange(0, 255).Draw(t, "of"), ID: rapid.Uint64().Draw(t, "id"),
			Age: span("age"), Took: span("took"), Outcome: Outcome(rapid.IntRange(0, 255).Draw(t, "outcome")),
			Load: rapid.StringN(0, 9, maxLoadLength).Draw(t, "load")})
	}
	return m
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		b := m.Append(nil)
		got, err := DecodeMessage(b)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v: %+v %v", m, got, err)
		}
		// A truncated message or one with trailing bytes is rejected.
		if _, err := DecodeMessage(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("truncated message accepted")
		}
		if _, err := DecodeMessage(append(b, 0)); err == nil {
			t.Fatal("message with a trailing byte accepted")
		}
	})
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	valid := Message{Kind: Claim, From: "a", Inc: 1, Instances: 3, Seq: 1, Shares: []uint16{1, 2}}
	otherVersion := valid.Append(nil)
	otherVersion[0]++
	if _, err := DecodeMessage(otherVersion); !errors.Is(err, ErrVersion) {
		t.Error(err)
	}
	s, _ := newTestScheduler(t, 3)
	for name, edit := range map[string]func(m *Message){
		"own name":     func(m *Message) { m.From = "me" },
		"no name":      func(m *Message) { m.From = "" },
		"long name":    func(m *Message) { m.From = strings.Repeat("x", maxNameLength+1) },
		"other number": func(m *Message) { m.Instances = 5 },
		"kind":         func(m *Message) { m.Kind = messageKindCount },
		"share":        func(m *Message) { m.Shares = []uint16{1, 9999} },
		"order":        func(m *Message) { m.Shares = []uint16{2, 1} },
		"twice":        func(m *Message) { m.Shares = []uint16{2, 2} },
		"kind of duty": func(m *Message) { m.Kind, m.Results = Results, []Result{{Kind: 7}} },
		"age":          func(m *Message) { m.Kind, m.Results = Results, []Result{{Age: -time.Second}} },
		"very old":     func(m *Message) { m.Kind, m.Results = Results, []Result{{Age: 2 * maxAge}} },
		"outcome":      func(m *Message) { m.Kind, m.Results = Results, []Result{{Outcome: outcomeCount}} },
		"long load":    func(m *Message) { m.Kind, m.Results = Results, []Result{{Load: strings.Repeat("x", 99)}} },
		"not listed":   func(m *Message) { m.Kind, m.Results = Results, []Result{{ID: 12345}} },
	} {
		m := valid
		edit(&m)
		before := s.Counts()
		s.Receive(m)
		if after := s.Counts(); after.Foreign+after.Unknown != before.Foreign+before.Unknown+1 || after.Heard != before.Heard {
			t.Errorf("%s: %+v", name, after)
		}
	}
}

func FuzzDecodeMessage(f *testing.F) {
	f.Add((&Message{Kind: Claim, From: "a", Inc: 7, Instances: 3, Seq: 9, Shares: []uint16{0, 5}}).Append(nil))
	f.Add((&Message{Kind: Results, From: "b", Results: []Result{{ID: 1, Age: time.Second, Load: "inflight=1"}}}).Append(nil))
	f.Add([]byte{messageVersion, byte(Grant), 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		if len(m.Shares)+13*len(m.Results) > len(b) {
			t.Errorf("%d bytes hold %d shares and %d results", len(b), len(m.Shares), len(m.Results))
		}
		if again, err := DecodeMessage(m.Append(nil)); err != nil || !reflect.DeepEqual(again, m) {
			t.Errorf("%+v: %+v %v", m, again, err)
		}
		s, _ := newTestScheduler(t, 3)
		s.Receive(m)
		s.Wake()
	})
}
