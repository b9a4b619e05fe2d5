package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"peathollow/internal/standin/localsystem"
)

const (
	patience = 4 * time.Second // of a client, over all its tries
	triesOf  = 5
	pauseOf  = 30 * time.Millisecond // after a failure that names no time
	bodyMost = 4 << 10

	longWork    = 900 * time.Millisecond // for some requests, so that stops, reloads and clients that leave meet work under way
	longSlots   = 4                      // one slot of a searcher in so many is kept busy by those
	leaveEvery  = 3                      // one client in so many of those leaves
	leaveWithin = 400 * time.Millisecond // after so long at most
	longMark    = "long-"                // in the path

	burstRate    = 450       // requests a second, beside the usual ones
	burstNumbers = 1_000_000 // of the requests of one burst: those of the usual load are below
)

// try is one request on the wire.
type try struct {
	id, kind, path string
	front          int
	sent           time.Time
	took           time.Duration
	status         int // 0: no answer
	fault          string
	deadline       time.Duration // as the front was told
	stays          time.Duration // then the client leaves; 0: it doesn't
	left           time.Time     // when it did
	unsent         bool          // the front never had it
	gaveUp         bool          // the client's time was over
	noReturn       bool          // a refusal that names no time to come back
}

// once tells whether the request may run only once.
func (t *try) once() bool { return t.kind == single }

// request is what one client wants, in as many tries as it takes.
type request struct {
	number int
	began  time.Time
	tries  []*try
	right  bool
	whole  bool // no part was missing
	left   bool // the client left
}

// load is the clients of a run.
type load struct {
	run      *run
	sessions *sessions

	bursts    atomic.Int64
	inHand    atomic.Int64
	longEvery int // one request in so many lasts long

	mu       sync.Mutex
	requests []*request
	planted  func(*http.Response, []byte) []byte // a fault that a test puts in
}

func newLoad(r *run) *load {
	// Two thirds of the requests go to the single service.
	slots := r.schedule.Shape.Copies * capacity
	l := &load{run: r, longEvery: 1 + int(float64(r.options.Rate)*2/3*longWork.Seconds())*longSlots/slots}
	l.sessions = &sessions{load: l}
	return l
}

// send sends so many requests a second till ctx ends, and waits for those under way.
func (l *load) send(ctx context.Context, rate int) {
	defer l.sessions.close()
	localsystem.Send(ctx, rate, l.one)
}

// inHandMost bounds the requests under way: before fronts that stand still they pile up, and each takes three descriptors of this process.
const inHandMost = 2000

// one sends a request, again where the protocol lets a client, until it has a right answer or no time.
func (l *load) one(n int) {
	defer l.inHand.Add(-1)
	if l.inHand.Add(1) > inHandMost {
		return // a client that does not come
	}
	kind := []string{"fan", single, "get"}[n%3]
	q := &request{number: n, began: time.Now()}
	l.mu.Lock()
	l.requests = append(l.requests, q)
	l.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	for k := range triesOf {
		t := &try{id: fmt.Sprintf("%s-%d-%d", kind, n, k), kind: kind, path: fmt.Sprintf("/%s/%d", kind, n%50), sent: time.Now()}
		if n/3%l.longEvery == 0 {
			t.path = fmt.Sprintf("/%s/%s%d", kind, longMark, n%50)
			if n/3/l.longEvery%leaveEvery == 0 && !t.once() {
				t.stays = 1 + rand.N(leaveWithin)
			}
		}
		l.mu.Lock()
		q.tries = append(q.tries, t)
		l.mu.Unlock()
		again, pause := l.try(ctx, q, t)
		q.left = !t.left.IsZero()
		if q.right || !again || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(pause, pauseOf)):
		}
	}
}

// burst has clients press beyond the usual for a while.
func (l *load) burst(ctx context.Context, span time.Duration) {
	ctx, stop := context.WithTimeout(ctx, span)
	defer stop()
	first := int(l.bursts.Add(1)) * burstNumbers
	localsystem.Send(ctx, burstRate, func(n int) { l.one(first + n) })
}

// pick chooses a front as the platform does: one that is ready, if any is.
func (l *load) pick() int {
	var ready []int
	for i := range l.run.fronts {
		if l.run.fronts[i].in.Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return rand.IntN(len(l.run.fronts))
	}
	return ready[rand.IntN(len(ready))]
}

// try makes one try; again tells whether another is allowed.
func (l *load) try(ctx context.Context, q *request, t *try) (again bool, pause time.Duration) {
	client := l.sessions.take(len(q.tries) > 1)
	defer l.sessions.put(client)
	// A body of the request's own, even an empty one, keeps the client's library from sending it again by itself.
	method, body := http.MethodGet, io.Reader(onceOnly{strings.NewReader("")})
	if t.once() {
		method, body = http.MethodPost, onceOnly{strings.NewReader(strings.Repeat("b", rand.IntN(bodyMost)))}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+frontHost+t.path, body)
	if err != nil {
		panic(err) // made of nothing but constants and numbers
	}
	until, _ := ctx.Deadline()
	req.Host = host
	req.Header.Set("Attempt-Id", t.id)
	t.deadline = time.Until(until)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(t.deadline.Milliseconds(), 10))
	if t.stays > 0 {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, t.stays)
		defer leave()
	}
	res, err := client.http.Do(req.WithContext(ctx))
	t.front = client.front
	defer func() { t.took = time.Since(t.sent) }()
	if err != nil {
		t.fault = err.Error()
		var dial *net.OpError
		t.unsent = errors.As(err, &dial) && dial.Op == "dial"
		return l.broken(ctx, t)
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		t.fault = "body: " + err.Error()
		return l.broken(ctx, t)
	}
	if l.planted != nil {
		answer = l.planted(res, answer)
	}
	t.status = res.StatusCode
	if res.StatusCode/100 != 2 {
		promise := promises(res.StatusCode)
		wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		t.noReturn = err != nil
		return promise || !t.once(), time.Duration(min(wait, 1) * float64(time.Second))
	}
	if t.fault = l.judge(t, res.Header, answer, q); t.fault != "" {
		l.run.violated("mixed answer: front %d, %s: %s", t.front, t.id, t.fault)
		return false, 0
	}
	q.right = true
	return false, 0
}

// broken notes why a try has no whole answer, and tells whether another is allowed.
func (l *load) broken(ctx context.Context, t *try) (again bool, pause time.Duration) {
	switch {
	case ctx.Err() == nil:
		return !t.once() || t.unsent, 0
	case t.stays > 0:
		t.left = time.Now()
	default:
		t.gaveUp = true
	}
	return false, 0
}

// onceOnly is a body that can be read once.
type onceOnly struct{ io.Reader }

// promises tells of the statuses that say that a request has not run and never will.
func promises(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// judge says what is wrong with a success.
func (l *load) judge(t *try, h http.Header, body []byte, q *request) string {
	var err error
	missing := 0
	if t.kind == "fan" {
		missing, err = l.judgeFan(t, h, body)
	} else {
		err = localsystem.RightSingle(l.run.idsOf(single), t.id, t.path, h, body)
	}
	if err != nil {
		return err.Error()
	}
	q.whole = missing == 0
	return ""
}

// judgeFan says what is wrong with a gathered answer, whose parts must be of one set of shards.
func (l *load) judgeFan(t *try, h http.Header, body []byte) (missing int, err error) {
	shape := l.run.schedule.Shape
	for set := range sets {
		var wrong error
		if missing, wrong = l.run.system.RightFan(shape.shardsOf(set), t.id, t.path, h, body); wrong == nil {
			err = nil
			break
		}
		err = errors.Join(err, wrong)
	}
	if most := shape.Shards - int(math.Ceil(coverage*float64(shape.Shards)-1e-9)); err == nil && missing > most {
		err = errors.Errorf("%d of %d parts are missing, %d may be", missing, shape.Shards, most)
	}
	return missing, err
}

// all gives the requests so far.
func (l *load) all() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.requests)
}
