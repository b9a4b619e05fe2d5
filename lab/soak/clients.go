package soak

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
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
	clientTimeout = 4 * time.Second // of a client, over all attempts of a request
	maxAttempts   = 5
	retryDelay    = 30 * time.Millisecond // before a retry, after a failure without Retry-After
	maxBody       = 4 << 10

	longWork      = 900 * time.Millisecond // for some requests, so that restarts, reloads and disconnecting clients meet work in progress
	longSlotRatio = 4                      // long requests keep one in this many slots of a searcher busy
	minLongEvery  = 8                      // one in this many requests is long at most, since they take longer than the setpoint
	leaveRatio    = 3                      // one in this many of their clients disconnects
	maxLeaveDelay = 400 * time.Millisecond // the longest time until it does
	longPathMark  = "long-"                // part of the path

	burstRate    = 450       // requests per second, in addition to the usual ones
	burstNumbers = 1_000_000 // numbers reserved for each burst; those of the usual load are smaller
)

// attempt is one HTTP request of a client.
type attempt struct {
	id, kind, path string
	front          int
	connection     string // the client's address on its connection; "" if it got none
	sent           time.Time
	written        atomic.Int64 // when its last byte was sent, in Unix nanoseconds; 0 if it never was
	took           time.Duration
	status         int // 0: no answer
	failure        string
	deadline       time.Duration // as sent to the front
	leaveAfter     time.Duration // the client disconnects after this time; 0: it doesn't
	leftAt         time.Time     // when it did
	unsent         bool          // the front never received it
	timedOut       bool          // the client's timeout has passed
	noRetryAfter   bool          // it was rejected without Retry-After
}

// runsOnce reports whether the request must not run more than once.
func (a *attempt) runsOnce() bool { return a.kind == single }

// request is one request of a client with all its attempts.
type request struct {
	number     int
	started    time.Time
	attempts   []*attempt
	succeeded  bool
	complete   bool // no part was missing
	clientLeft bool // the client disconnected
}

// load generates the requests of all clients of a run.
type load struct {
	run      *run
	sessions *sessionPool

	bursts    atomic.Int64
	inFlight  atomic.Int64
	longEvery int // one in this many requests takes longWork

	mu          sync.Mutex
	requests    []*request
	corruptBody func(*http.Response, []byte) []byte // a fault that a test injects
}

func newLoad(r *run) *load {
	// A third of the requests goes to each of the services that are no shards.
	slots := r.schedule.Shape.Copies * capacity
	l := &load{run: r, longEvery: max(minLongEvery, 1+int(float64(r.options.Rate)/3*longWork.Seconds())*longSlotRatio/slots)}
	l.sessions = &sessionPool{load: l}
	return l
}

// send sends requests at a rate until ctx is done, and waits for those in flight.
func (l *load) send(ctx context.Context, rate int) {
	defer l.sessions.close()
	localsystem.SendAtRate(ctx, rate, l.sendRequest)
}

// maxInFlight limits the requests in flight: they pile up while fronts are paused, and each takes three file descriptors of
// this process.
const maxInFlight = 2000

// sendRequest sends a request, with retries where the protocol allows them, until it has a correct response or its time is
// over.
func (l *load) sendRequest(n int) {
	defer l.inFlight.Add(-1)
	if l.inFlight.Add(1) > maxInFlight {
		return // the request is dropped before it is recorded
	}
	kind := []string{"fan", single, "get"}[n%3]
	q := &request{number: n, started: time.Now()}
	l.mu.Lock()
	l.requests = append(l.requests, q)
	l.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), clientTimeout)
	defer stop()
	for i := range maxAttempts {
		a := &attempt{id: fmt.Sprintf("%s-%d-%d", kind, n, i), kind: kind, path: fmt.Sprintf("/%s/%d", kind, n%50), sent: time.Now()}
		if n/3%l.longEvery == 0 {
			a.path = fmt.Sprintf("/%s/%s%d", kind, longPathMark, n%50)
			if n/3/l.longEvery%leaveRatio == 0 && !a.runsOnce() {
				a.leaveAfter = 1 + rand.N(maxLeaveDelay)
			}
		}
		l.mu.Lock()
		q.attempts = append(q.attempts, a)
		l.mu.Unlock()
		retry, pause := l.sendAttempt(ctx, q, a)
		q.clientLeft = !a.leftAt.IsZero()
		if q.succeeded || !retry || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(pause, retryDelay)):
		}
	}
}

// burst sends additional requests for a while.
func (l *load) burst(ctx context.Context, duration time.Duration) {
	ctx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	first := int(l.bursts.Add(1)) * burstNumbers
	localsystem.SendAtRate(ctx, burstRate, func(n int) { l.sendRequest(first + n) })
}

// pickFront chooses a front like the platform: a ready one if there is any.
func (l *load) pickFront() int {
	var ready []int
	for i := range l.run.fronts {
		if l.run.fronts[i].ready.Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return rand.IntN(len(l.run.fronts))
	}
	return ready[rand.IntN(len(ready))]
}

// sendAttempt sends one attempt; retry reports whether the client may send another one.
func (l *load) sendAttempt(ctx context.Context, q *request, a *attempt) (retry bool, pause time.Duration) {
	client := l.sessions.acquire(len(q.attempts) > 1)
	defer l.sessions.release(client)
	// A body that can't be rewound, even an empty one, keeps net/http from retrying the request by itself.
	method, body := http.MethodGet, io.Reader(singleReadBody{strings.NewReader("")})
	if a.runsOnce() {
		method, body = http.MethodPost, singleReadBody{strings.NewReader(strings.Repeat("b", rand.IntN(maxBody)))}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+frontHost+a.path, body)
	if err != nil {
		panic(err) // cannot happen: the URL consists of constants and numbers
	}
	deadline, _ := ctx.Deadline()
	req.Host = host
	req.Header.Set("Attempt-Id", a.id)
	a.deadline = time.Until(deadline)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	if a.leaveAfter > 0 {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, a.leaveAfter)
		defer leave()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		a.connection = got.Conn.LocalAddr().String()
	}, WroteRequest: func(wrote httptrace.WroteRequestInfo) {
		if wrote.Err == nil {
			a.written.Store(time.Now().UnixNano())
		}
	}})
	res, err := client.http.Do(req.WithContext(ctx))
	a.front = int(client.front.Load())
	defer func() { a.took = time.Since(a.sent) }()
	if err != nil {
		a.failure = err.Error()
		var dial *net.OpError
		a.unsent = errors.As(err, &dial) && dial.Op == "dial"
		return l.attemptFailed(ctx, a)
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		a.failure = "body: " + err.Error()
		return l.attemptFailed(ctx, a)
	}
	if l.corruptBody != nil {
		answer = l.corruptBody(res, answer)
	}
	a.status = res.StatusCode
	if res.StatusCode/100 != 2 {
		notRun := guaranteesNotRun(res.StatusCode)
		wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		a.noRetryAfter = err != nil
		return notRun || !a.runsOnce(), time.Duration(min(wait, 1) * float64(time.Second))
	}
	if a.failure = l.checkResponse(a, res.Header, answer, q); a.failure != "" {
		l.run.violation("mixed answer: front %d, %s: %s", a.front, a.id, a.failure)
		return false, 0
	}
	q.succeeded = true
	return false, 0
}

// attemptFailed records why an attempt has no complete response, and reports whether the client may send another one.
func (l *load) attemptFailed(ctx context.Context, a *attempt) (retry bool, pause time.Duration) {
	switch {
	case ctx.Err() == nil:
		return !a.runsOnce() || a.unsent, 0
	case a.leaveAfter > 0:
		a.leftAt = time.Now()
	default:
		a.timedOut = true
	}
	return false, 0
}

// singleReadBody is a body that can be read only once.
type singleReadBody struct{ io.Reader }

// guaranteesNotRun reports whether a status states that the request has not run and never will.
func guaranteesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// checkResponse returns what is wrong with a successful response, or "".
func (l *load) checkResponse(a *attempt, h http.Header, body []byte, q *request) string {
	var err error
	missing := 0
	if a.kind == "fan" {
		missing, err = l.checkFanOut(a, h, body)
	} else {
		err = localsystem.CheckSingle(l.run.searcherIDs(l.run.schedule.Shape.serviceOf(a.kind)), a.id, a.path, h, body)
	}
	if err != nil {
		return err.Error()
	}
	q.complete = missing == 0
	return ""
}

// checkFanOut checks a merged response, whose parts must all be of one set of shards.
func (l *load) checkFanOut(a *attempt, h http.Header, body []byte) (missing int, err error) {
	shape := l.run.schedule.Shape
	for set := range sets {
		var checkErr error
		if missing, checkErr = l.run.system.CheckFanOut(shape.shardsOf(set), a.id, a.path, h, body); checkErr == nil {
			err = nil
			break
		}
		err = errors.Join(err, checkErr)
	}
	if maxMissing := shape.Shards - int(math.Ceil(coverage*float64(shape.Shards)-1e-9)); err == nil && missing > maxMissing {
		err = errors.Errorf("%d of %d parts are missing, %d may be", missing, shape.Shards, maxMissing)
	}
	return missing, err
}

// allRequests returns the requests so far.
func (l *load) allRequests() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.requests)
}
