package localsystem

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"peathollow/internal/periodic"
	"peathollow/internal/standin/faulty"
)

const (
	requestTimeout = 4 * time.Second // of a client, over all attempts
	maxAttempts    = 6
)

// Kind counts the outcomes of the requests of one kind.
type Kind struct {
	Name                            string
	Sent, Correct, Partial, Missing int // Missing counts missing parts, Partial responses that lack any
	Attempts                        int
	Latency                         *hdrhistogram.Histogram // latency of correct responses in microseconds
}

// Load is a load generator that sends fan-out and single requests and checks the responses.
type Load struct {
	system *System
	http   *http.Client

	mu    sync.Mutex
	kinds [2]Kind
	err   error // error of the first request without a correct response
}

// NewLoad returns a load generator for a system.
func NewLoad(s *System) *Load {
	l := &Load{system: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for i, name := range []string{"fan", "single"} {
		l.kinds[i] = Kind{Name: name, Latency: hdrhistogram.New(1, requestTimeout.Microseconds()*2, 3)}
	}
	return l
}

// Run sends the given number of requests per second until ctx ends, and waits for those in flight.
func (l *Load) Run(ctx context.Context, rate int) {
	defer l.http.CloseIdleConnections()
	SendAtRate(ctx, rate, l.one)
}

// SendAtRate calls one at the given rate per second, each time in a new goroutine, until ctx ends, and waits for the calls in
// flight.
func SendAtRate(ctx context.Context, rate int, one func(n int)) {
	var all sync.WaitGroup
	defer all.Wait()
	n := 0
	periodic.Run(ctx, time.Second/time.Duration(rate), func() {
		number := n
		n++
		all.Go(func() { one(number) })
	})
}

// Kinds returns the outcomes so far; err is that of the first request without a correct response.
func (l *Load) Kinds() (kinds []Kind, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.kinds {
		k.Latency = hdrhistogram.Import(k.Latency.Export())
		kinds = append(kinds, k)
	}
	return kinds, l.err
}

// one sends a request, with retries where the protocol allows them, until it gets a correct response or the time or the
// attempts run out.
func (l *Load) one(n int) {
	k := &l.kinds[n%2]
	start := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
	defer stop()
	l.update(func() { k.Sent++ })
	var err error
	for number := range maxAttempts {
		l.update(func() { k.Attempts++ })
		var missing int
		var mayRetry bool
		var delay time.Duration
		missing, mayRetry, delay, err = l.attempt(ctx, k.Name, n, number)
		if err == nil {
			l.update(func() {
				k.Correct++
				k.Missing += missing
				if missing > 0 {
					k.Partial++
				}
				k.Latency.RecordValue(time.Since(start).Microseconds())
			})
			return
		}
		if !mayRetry {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	l.update(func() {
		if l.err == nil {
			l.err = errors.Wrapf(err, "%s request %d", k.Name, n)
		}
	})
}

func (l *Load) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// attempt makes one attempt with its own ID; mayRetry reports whether another is allowed.
func (l *Load) attempt(ctx context.Context, kind string, n, number int) (missing int, mayRetry bool, delay time.Duration,
	err error) {
	id := fmt.Sprintf("%s-%d-%d", kind, n, number)
	path := fmt.Sprintf("/%s/%d", kind, n%50)
	method, idempotent := http.MethodGet, true
	if kind == single {
		method, idempotent = http.MethodPost, false
	}
	front := l.system.Fronts[(n/2+number)%len(l.system.Fronts)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, nil)
	if err != nil {
		return 0, false, 0, err
	}
	deadline, _ := ctx.Deadline()
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	res, err := l.http.Do(req)
	if err != nil {
		return 0, idempotent, 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		return 0, idempotent, 0, err
	case res.StatusCode/100 != 2:
		notExecuted := slices.Contains([]int{408, 421, 429, 503}, res.StatusCode)
		wait, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return 0, notExecuted || idempotent, time.Duration(wait * float64(time.Second)),
			errors.Errorf("front %s: status %d", front, res.StatusCode)
	case kind == single:
		return 0, false, 0, CheckSingle(l.system.ids(single), id, path, res.Header, body)
	}
	missing, err = l.system.CheckFanOut(shardNames(), id, path, res.Header, body)
	return missing, false, 0, err
}

// ids returns the IDs of the searchers of a service.
func (s *System) ids(service string) (ids []string) {
	for _, x := range s.Searchers() {
		if x.service == service {
			ids = append(ids, x.ID())
		}
	}
	return ids
}

// CheckSingle checks a response that should be from one of the given searchers.
func CheckSingle(ids []string, attempt, path string, h http.Header, body []byte) error {
	for _, id := range ids {
		if h.Get("Answer-Seal") == faulty.Seal(id, attempt) {
			if string(body) != string(faulty.Records(id, path, 4)) {
				return errors.Errorf("searcher %s: body differs from its records", id)
			}
			return nil
		}
	}
	return errors.Errorf("seal %q belongs to none of the searchers", h.Get("Answer-Seal"))
}

// CheckFanOut checks a response gathered from the given services and returns the number of missing parts.
func (s *System) CheckFanOut(services []string, attempt, path string, h http.Header, body []byte) (missing int, err error) {
	missing, _ = strconv.Atoi(h.Get("Missing-Parts"))
	seals := map[string]bool{}
	parts := strings.Split(strings.Join(h.Values("Part-Seals"), ","), ",")
	for _, seal := range parts {
		seals[strings.TrimSpace(seal)] = true
	}
	var records []string
	valid := 0
	for _, service := range services {
		for _, id := range s.ids(service) {
			if !seals[faulty.Seal(id, attempt)] {
				continue
			}
			valid++
			for all := faulty.Records(id, path, 4); len(all) >= 16; all = all[16:] {
				records = append(records, string(all[:16]))
			}
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	want := strings.Join(records[:min(topK, len(records))], "")
	switch {
	case valid == 0, len(parts) != valid, valid+missing != len(services):
		return missing, errors.Errorf("%d seals, %d of them valid, %d parts reported missing, of %d parts",
			len(parts), valid, missing, len(services))
	case string(body) != want:
		return missing, errors.Errorf("body is not the greatest %d records of its %d parts", topK, valid)
	}
	return missing, nil
}

// shardNames returns the services of the fan-out route.
func shardNames() (names []string) {
	for i := range shards {
		names = append(names, shard(i))
	}
	return names
}

// RanTwice describes the non-idempotent requests that ran more than once.
func (s *System) RanTwice() []string {
	return s.Ledger.RanTwice(func(id string) bool { return !strings.HasPrefix(id, single) })
}
