package discovery

import (
	"context"
	"testing"
	"time"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
	"peathollow/policy"
)

// update is one call of the watcher's handler.
type update struct {
	mode policy.ListMode
	list proto.List
}

// follow runs a watcher against a discovery service with one searcher, and returns a function that awaits its next update.
func follow(t *testing.T, limits Limits) (*standin.Discovery, *Watcher, func() update) {
	t.Helper()
	d, err := standin.NewDiscovery("127.0.0.1:0", []standin.Host{{Host: "a", Dial: "127.0.0.1:1", Health: "up"}})
	if err != nil {
		t.Fatal(err)
	}
	updates := make(chan update, 100)
	w := New(d.Addr(), limits)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		w.Run(ctx, func(m policy.ListMode, l proto.List) { updates <- update{m, l} })
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended; d.Close() })
	return d, w, func() update {
		select {
		case x := <-updates:
			return x
		case <-time.After(10 * time.Second):
			t.Fatal("no update")
			return update{}
		}
	}
}

func TestFullListThenChanges(t *testing.T) {
	d, _, next := follow(t, Limits{MaxBodyBytes: 1 << 20, RequestTimeout: 5 * time.Second, MaxWait: 5 * time.Second, RetryPause: time.Millisecond})
	if x := next(); x.mode != policy.Full || len(x.list.Hosts) != 1 {
		t.Errorf("%+v", x)
	}
	d.SetHost(standin.Host{Host: "b", Dial: "127.0.0.1:2", Health: "up"})
	if x := next(); x.mode != policy.Changes || len(x.list.Hosts) != 1 || x.list.Hosts[0].Name != "b" {
		t.Errorf("%+v", x)
	}
	d.SetHost(standin.Host{Host: "a", Health: "removed"})
	if x := next(); x.mode != policy.Changes || x.list.Hosts[0].State != policy.Gone {
		t.Errorf("%+v", x)
	}
}

// TestUnresponsiveServiceIsAskedAgain checks that an unresponsive service is asked again and that the missed updates arrive as
// changes, so that the list received before remains valid.
func TestUnresponsiveServiceIsAskedAgain(t *testing.T) {
	d, w, next := follow(t, Limits{MaxBodyBytes: 1 << 20, RequestTimeout: 500 * time.Millisecond, MaxWait: time.Millisecond, RetryPause: time.Hour})
	next()
	d.SetSilent(true)
	if x := next(); x.mode != policy.Unavailable {
		t.Errorf("%+v", x)
	}
	d.SetSilent(false)
	d.SetHost(standin.Host{Host: "b", Dial: "127.0.0.1:2", Health: "up"})
	for {
		w.RetryNow()
		if x := next(); x.mode == policy.Changes && x.list.Hosts[0].Name == "b" {
			return
		} else if x.mode != policy.Unavailable {
			t.Fatalf("%+v", x)
		}
	}
}

// TestUnresponsiveWatchIsRepeatedAtOnce checks that a watch request without a response is cancelled and repeated at once, without
// the pause after a failure and without a call of Ask. The updates that it missed are due 2 s after its wait is over, and a
// pause of a second in addition to its timeout was too late for that. Successive unresponsive watches cost one request each,
// never a burst.
func TestUnresponsiveWatchIsRepeatedAtOnce(t *testing.T) {
	limits := Limits{MaxBodyBytes: 1 << 20, RequestTimeout: 200 * time.Millisecond, MaxWait: 200 * time.Millisecond, RetryPause: time.Hour}
	d, _, next := follow(t, limits)
	next()
	for i := range 3 {
		d.AwaitWatch() // the watch is open
		d.StrandWatches()
		at := time.Now()
		d.SetHost(standin.Host{Host: "b", Dial: "127.0.0.1:2", Health: "up", Born: int64(i)})
		if x := next(); x.mode != policy.Unavailable {
			t.Errorf("%+v", x)
		}
		if x := next(); x.mode != policy.Changes || x.list.Hosts[0].Name != "b" {
			t.Errorf("%+v", x)
		}
		if took := time.Since(at); took < limits.RequestTimeout {
			t.Errorf("update after %v: the watch was not unresponsive", took)
		}
	}
}

// TestIndentedList checks that a list may be indented and contain unknown keys.
func TestIndentedList(t *testing.T) {
	d, _, next := follow(t, Limits{MaxBodyBytes: 1 << 10, RequestTimeout: 5 * time.Second, MaxWait: time.Millisecond, RetryPause: time.Millisecond})
	next()
	d.SetGarbage("{\n  \"seq\": 7,\n  \"whole\": true,\n  \"later\": {\"a\": [1]},\n  \"hosts\": [\n    {\n      \"host\": \"c\",\n" +
		"      \"dial\": \"127.0.0.1:3\",\n      \"health\": \"up\",\n      \"share\": 1\n    }\n  ]\n}\n")
	for x := next(); x.mode != policy.Full || x.list.Version != 7 || x.list.Hosts[0].Name != "c"; x = next() {
		if x.mode == policy.Unavailable {
			t.Fatal("an indented list was not accepted")
		}
	}
}

// TestMalformedResponseIsDropped checks that malformed responses are dropped and that the watcher recovers afterwards.
func TestMalformedResponseIsDropped(t *testing.T) {
	d, _, next := follow(t, Limits{MaxBodyBytes: 1 << 10, RequestTimeout: 5 * time.Second, MaxWait: time.Millisecond, RetryPause: time.Millisecond})
	next()
	for _, junk := range []string{"no json", `{"whole":true}`, `{"seq":99,"hosts":[{"host":""}]}`} {
		d.SetGarbage(junk)
		for x := next(); x.mode != policy.Unavailable; x = next() {
			t.Errorf("%q: update %+v", junk, x)
		}
	}
	// An older version invalidates the list received so far: the full list is requested.
	d.SetGarbage(`{"seq":0,"whole":true,"hosts":[]}`)
	for x := next(); x.mode != policy.Full; x = next() {
	}
	d.SetGarbage("")
	for x := next(); x.mode != policy.Changes && (x.mode != policy.Full || len(x.list.Hosts) != 1); x = next() {
	}
}

// TestMoveStartsWithFullList checks that a move isn't delayed by a request that hangs at the old address, and that it starts with
// the full list of the new service, whose versions are unrelated to those of the old one. Guards against following a service
// that was removed.
func TestMoveStartsWithFullList(t *testing.T) {
	d, w, next := follow(t, Limits{MaxBodyBytes: 1 << 20, RequestTimeout: time.Hour, MaxWait: time.Hour, RetryPause: time.Hour})
	for range 5 {
		d.SetHost(standin.Host{Host: "a", Dial: "127.0.0.1:1", Health: "up"})
	}
	for x := next(); x.list.Version < 6; x = next() {
	}
	for _, silent := range []bool{false, true} {
		d.SetSilent(silent)
		to, err := standin.NewDiscovery("127.0.0.1:0", []standin.Host{{Host: "b", Dial: "127.0.0.1:2", Health: "up"}})
		if err != nil {
			t.Fatal(err)
		}
		defer to.Close()
		w.SetAddress(to.Addr())
		if x := next(); x.mode != policy.Full || x.list.Version != 1 || x.list.Hosts[0].Name != "b" {
			t.Errorf("%+v", x)
		}
		to.SetHost(standin.Host{Host: "c", Dial: "127.0.0.1:3", Health: "up"})
		if x := next(); x.mode != policy.Changes || x.list.Hosts[0].Name != "c" {
			t.Errorf("%+v", x)
		}
		d = to
	}
}
