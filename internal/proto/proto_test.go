package proto

import (
	"bytes"
	"net/http"
	"net/url"
	"reflect"
	"strings"
	"testing"
	"time"

	"peathollow/policy"
)

var t0 = time.UnixMilli(1796129758000)

func TestCallRoundTrip(t *testing.T) {
	calls := []Call{
		{ID: "9b1f03aa5c7e2d41.3", Shard: 3, Deadline: t0.Add(240 * time.Millisecond), Key: "5c0f", Text: "c41e 77d0"},
		{ID: "9b1f03aa5c7e2d41.9.fetch", Shard: 9, Deadline: t0.Add(time.Second), From: []int{3, 5, 9}, Whole: true, Text: ""},
	}
	b := AppendCalls(nil, t0, calls...)
	want := "9b1f03aa5c7e2d41.3 3 d=240,k=5c0f 9\nc41e 77d09b1f03aa5c7e2d41.9.fetch 9 d=1000,from=3+5+9,whole=1 0\n"
	letter, contents, _, err := ReadFrame(bytes.NewReader(b), nil, 1<<10)
	if err != nil || letter != 'D' || string(contents) != want {
		t.Fatalf("%c %q %v", letter, contents, err)
	}
	if got, err := ReadCalls(contents, t0); err != nil || !reflect.DeepEqual(got, calls) {
		t.Errorf("%+v %v", got, err)
	}
	if got := string(AppendCancel(nil, "a.3")); got != "\x04\x00\x00\x00Ka.3" {
		t.Errorf("%q", got)
	}
}

func TestReadAnswer(t *testing.T) {
	for text, want := range map[string]Answer{
		"9b1f.3 200 1840277719 inflight=7,util=0.61\n5be2": {ID: "9b1f.3", Outcome: policy.Succeeded, Score: 1840277719, Value: "5be2"},
		"9b1f.3 200 7 \xff\xfe =,\x00\n5be2":               {ID: "9b1f.3", Outcome: policy.Succeeded, Score: 7, Value: "5be2"}, // the load report isn't decoded
		"9b1f.3 503 0 -\n":                                 {ID: "9b1f.3", Outcome: policy.Overloaded},
		"9b1f.3 500 - -\n":                                 {ID: "9b1f.3", Outcome: policy.Failed},
	} {
		if got, err := ReadAnswer([]byte(text)); err != nil || got != want {
			t.Errorf("%q: %+v %v", text, got, err)
		}
	}
	for _, text := range []string{"", "9b1f.3 200 1 -", "9b1f.3 201 1 -\n", "9b1f.3 200 x -\n", " 200 1 -\n", "9b1f.3 200 NaN -\n",
		"9b1f.3 200 Inf -\n", "9b1f.3 200 7 -\n\xff\xfe"} {
		if got, err := ReadAnswer([]byte(text)); err == nil {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

func TestInvalidFrames(t *testing.T) {
	for _, b := range []string{"", "\x00\x00\x00\x00", "\xff\xff\xff\xffO", "\x05\x00\x00\x00O"} {
		if _, _, _, err := ReadFrame(bytes.NewReader([]byte(b)), nil, 1<<10); err == nil {
			t.Errorf("%q was read", b)
		}
	}
}

func request(class, id, wait string) *http.Request {
	return &http.Request{URL: &url.URL{Path: "/" + class}, Header: http.Header{"Req-Id": {id}, "Req-Owner": {"acme"},
		"Req-Deadline": {wait}, "Idempotency-Key": {"5c0f"}, "Req-Retry": {"1"}}}
}

func TestReadQuery(t *testing.T) {
	body := `{"parts":[{"id":3,"w":0.25,"hint":9000,"tag":"00"},{"id":9,"w":0.75}],"expr":"c41e"}`
	got, err := ReadQuery(request("checkout/more", "9b1f", "480500u"), []byte(body))
	want := Query{ID: "9b1f", Class: "checkout", Tenant: "acme", Key: "5c0f", Wait: 480500 * time.Microsecond, Retry: true,
		Parts: []Part{{3, 0.25, 9 * time.Millisecond}, {9, 0.75, 0}}, Text: "c41e"}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v %v", got, err)
	}
	if got := string(WriteAnswer(false, nil)); got != `{"exact":false,"rows":[]}` {
		t.Error(got)
	}
	if got := string(WriteAnswer(true, []Row{{3, "5be2"}})); got != `{"exact":true,"rows":[{"id":3,"data":"5be2"}]}` {
		t.Error(got)
	}
}

// TestInvalidQueries checks that invalid queries are rejected with the field at fault.
func TestInvalidQueries(t *testing.T) {
	good := `{"parts":[{"id":3,"w":0.25},{"id":9,"w":0.75}],"expr":"x"}`
	for _, c := range []struct{ wait, body, want string }{
		{"480m", `{"parts":[{"id":3,"w":0.25},{"id":9,"w":0.7}],"expr":"x"}`, "add up"},
		{"480m", `{"parts":[{"id":3,"w":0.5},{"id":9}],"expr":"x"}`, "weights of 1 of 2"},
		{"480m", `{"parts":[{"id":3,"w":-0.5},{"id":9,"w":1.5}],"expr":"x"}`, "weight -0.5"},
		{"480m", `{"parts":[{"id":3,"w":1e-9}],"expr":"x"}`, "add up"},
		{"480m", good + "x", "body"},
		{"480m", good[1:], "body"},
		{"Infm", good, "Req-Deadline"},
		{"NaNm", good, "Req-Deadline"},
		{"0x1p4m", good, "Req-Deadline"},
		{"4_80m", good, "Req-Deadline"},
		{"480", good, "Req-Deadline"},
		{"480m,5m", good, "Req-Deadline"},
	} {
		if q, err := ReadQuery(request("c", "a", c.wait), []byte(c.body)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: %+v %v", c.wait, c.body, q, err)
		}
	}
	r := request("c", "a", "480m")
	r.Header["Req-Deadline"] = []string{"480m", "5m"}
	if _, err := ReadQuery(r, []byte(good)); err == nil || !strings.Contains(err.Error(), "Req-Deadline: comes twice") {
		t.Error(err)
	}
	// Weights may be rounded, and may be omitted for all parts.
	for _, body := range []string{`{"parts":[{"id":3,"w":0.3333},{"id":9,"w":0.3333},{"id":1,"w":0.3333}],"expr":"x"}`,
		`{"parts":[{"id":3},{"id":9}],"expr":"x"}`} {
		if _, err := ReadQuery(request("c", "a", "480m"), []byte(body)); err != nil {
			t.Error(err)
		}
	}
}

func TestReadList(t *testing.T) {
	got, err := ReadList([]byte(`{"seq":43,"whole":false,"hosts":[{"host":"s-5b","dial":"10.1.0.18:3000","site":"a",
		"class":"m2","block":3,"health":"draining","share":0.5,"born_ms":1796129758000},{"host":"s-6","health":"removed"}]}`))
	want := List{Version: 43, Hosts: []Host{{"s-5b", "10.1.0.18:3000", policy.Draining, 3, 0.5, t0},
		{Name: "s-6", State: policy.Gone, Shard: -1, Weight: 1}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v %v", got, err)
	}
	for _, bad := range []string{`{`, `{"whole":true}`, `{"seq":1,"hosts":[{"host":"a","health":"odd","dial":"a:1"}]}`,
		`{"seq":1,"hosts":[{"host":"a","health":"up","dial":"a"}]}`, `{"seq":1,"hosts":[{"health":"up","dial":"a:1"}]}`} {
		if _, err := ReadList([]byte(bad)); err == nil {
			t.Errorf("%s was read", bad)
		}
	}
}

// FuzzFrames checks that arbitrary frames are decoded without a panic and that decoded answers are valid.
func FuzzFrames(f *testing.F) {
	f.Add(AppendCalls(nil, t0, Call{ID: "a.3", Shard: 3, Deadline: t0.Add(time.Second), Text: "x"}))
	f.Add(AppendAnswer(nil, "a.3", 200, 7, "v"))
	f.Add([]byte("\xff\xff\xff\xffO"))
	f.Fuzz(func(t *testing.T, b []byte) {
		letter, contents, _, err := ReadFrame(bytes.NewReader(b), nil, 1<<10)
		if err != nil {
			return
		}
		if a, err := ReadAnswer(contents); err == nil && letter == LetterAnswer && (a.ID == "" || a.Score != a.Score) {
			t.Errorf("%+v", a)
		}
		ReadCalls(contents, t0)
	})
}

// FuzzQuery checks that decoded queries are valid and that their values survive encoding and decoding as calls.
func FuzzQuery(f *testing.F) {
	f.Add("a", "480m", []byte(`{"parts":[{"id":3,"w":0.5}],"expr":"x"}`))
	f.Add("a b", "1e309u", []byte(`{"parts":[{"id":-3}],"expr":1}`))
	f.Fuzz(func(t *testing.T, id, wait string, body []byte) {
		q, err := ReadQuery(request("c", id, wait), body)
		if err != nil {
			return
		}
		for _, p := range q.Parts {
			if p.Shard < 0 || !(p.Weight >= 0 && p.Weight <= 1) || p.Hint < 0 {
				t.Errorf("%+v", p)
			}
			c := Call{ID: q.ID, Shard: p.Shard, Deadline: t0.Add(time.Second), Key: q.Key, Text: q.Text}
			_, contents, _, err := ReadFrame(bytes.NewReader(AppendCalls(nil, t0, c)), nil, 1<<20)
			if got, err2 := ReadCalls(contents, t0); err != nil || err2 != nil || !reflect.DeepEqual(got, []Call{c}) {
				t.Errorf("%+v became %+v (%v %v)", c, got, err, err2)
			}
		}
	})
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"seq":41,"whole":true,"hosts":[{"host":"s","dial":"a:1","block":3,"health":"up","share":1,"born_ms":5}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := ReadList(b)
		for _, h := range l.Hosts {
			if err == nil && h.Name == "" {
				t.Errorf("%+v", h)
			}
		}
	})
}
