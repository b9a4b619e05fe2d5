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
	patience = 4 * time.Second // of a client, over all its tries
	triesOf  = 6
)

// Kind is what became of the requests of one kind.
type Kind struct {
	Name                          string
	Sent, Right, Partial, Missing int // Missing counts parts
	Tries                         int
	Took                          *hdrhistogram.Histogram // microseconds, of right answers
}

// Load sends requests of both kinds, and knows a right answer when it sees one.
type Load struct {
	system *System
	http   *http.Client

	mu    sync.Mutex
	kinds [2]Kind
	fault error // the first request that got no right answer
}

// NewLoad makes clients of a system.
func NewLoad(s *System) *Load {
	l := &Load{system: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for i, name := range []string{"fan", "single"} {
		l.kinds[i] = Kind{Name: name, Took: hdrhistogram.New(1, patience.Microseconds()*2, 3)}
	}
	return l
}

// Run sends so many requests a second till ctx ends, and waits for those under way.
func (l *Load) Run(ctx context.Context, rate int) {
	defer l.http.CloseIdleConnections()
	Send(ctx, rate, l.one)
}

// Send calls one so many times a second, each in a goroutine of its own, till ctx ends, and waits for those under way.
func Send(ctx context.Context, rate int, one func(n int)) {
	var all sync.WaitGroup
	defer all.Wait()
	n := 0
	periodic.Run(ctx, time.Second/time.Duration(rate), func() {
		number := n
		n++
		all.Go(func() { one(number) })
	})
}

// Kinds tells what was seen so far; err is of the first request that got no right answer.
func (l *Load) Kinds() (kinds []Kind, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.kinds {
		k.Took = hdrhistogram.Import(k.Took.Export())
		kinds = append(kinds, k)
	}
	return kinds, l.fault
}

// one sends a request, again where the protocol lets a client, until it has a right answer or no time.
func (l *Load) one(n int) {
	k := &l.kinds[n%2]
	began := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	l.count(func() { k.Sent++ })
	var err error
	for try := range triesOf {
		l.count(func() { k.Tries++ })
		var missing int
		var again bool
		var pause time.Duration
		missing, again, pause, err = l.try(ctx, k.Name, n, try)
		if err == nil {
			l.count(func() {
				k.Right++
				k.Missing += missing
				if missing > 0 {
					k.Partial++
				}
				k.Took.RecordValue(time.Since(began).Microseconds())
			})
			return
		}
		if !again {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	l.count(func() {
		if l.fault == nil {
			l.fault = errors.Wrapf(err, "%s request %d", k.Name, n)
		}
	})
}

func (l *Load) count(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// try makes one try, with an id of its own; again tells whether another is allowed.
func (l *Load) try(ctx context.Context, kind string, n, try int) (missing int, again bool, pause time.Duration, err error) {
	id := fmt.Sprintf("%s-%d-%d", kind, n, try)
	path := fmt.Sprintf("/%s/%d", kind, n%50)
	method, idempotent := http.MethodGet, true
	if kind == single {
		method, idempotent = http.MethodPost, false
	}
	to := l.system.Fronts[(n/2+try)%len(l.system.Fronts)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, nil)
	if err != nil {
		return 0, false, 0, err
	}
	until, _ := ctx.Deadline()
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
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
		promise := slices.Contains([]int{408, 421, 429, 503}, res.StatusCode)
		wait, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return 0, promise || idempotent, time.Duration(wait * float64(time.Second)), errors.Errorf("front %s: status %d", to, res.StatusCode)
	case kind == single:
		return 0, false, 0, RightSingle(l.system.ids(single), id, path, res.Header, body)
	}
	missing, err = l.system.RightFan(shardNames(), id, path, res.Header, body)
	return missing, false, 0, err
}

// ids are the searchers of a service.
func (s *System) ids(service string) (ids []string) {
	for _, x := range s.Searchers() {
		if x.service == service {
			ids = append(ids, x.ID())
		}
	}
	return ids
}

// RightSingle says what is wrong with an answer that one searcher should have given.
func RightSingle(ids []string, attempt, path string, h http.Header, body []byte) error {
	for _, id := range ids {
		if h.Get("Answer-Seal") == faulty.Seal(id, attempt) {
			if string(body) != string(faulty.Records(id, path, 4)) {
				return errors.Errorf("searcher %s: not its bytes", id)
			}
			return nil
		}
	}
	return errors.Errorf("seal %q is of no searcher", h.Get("Answer-Seal"))
}

// RightFan says what is wrong with an answer gathered from some services, and how many parts it lacks.
func (s *System) RightFan(services []string, attempt, path string, h http.Header, body []byte) (missing int, err error) {
	missing, _ = strconv.Atoi(h.Get("Missing-Parts"))
	seals := map[string]bool{}
	parts := strings.Split(strings.Join(h.Values("Part-Seals"), ","), ",")
	for _, seal := range parts {
		seals[strings.TrimSpace(seal)] = true
	}
	var records []string
	in := 0
	for _, service := range services {
		for _, id := range s.ids(service) {
			if !seals[faulty.Seal(id, attempt)] {
				continue
			}
			in++
			for all := faulty.Records(id, path, 4); len(all) >= 16; all = all[16:] {
				records = append(records, string(all[:16]))
			}
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	want := strings.Join(records[:min(topK, len(records))], "")
	switch {
	case in == 0, len(parts) != in, in+missing != len(services):
		return missing, errors.Errorf("%d seals, %d of them right, %d parts said to be missing, of %d", len(parts), in, missing, len(services))
	case string(body) != want:
		return missing, errors.Errorf("not the greatest %d records of its %d parts", topK, in)
	}
	return missing, nil
}

// shardNames are the services of the first configuration's gathered route.
func shardNames() (names []string) {
	for i := range shards {
		names = append(names, shard(i))
	}
	return names
}

// Twice names the requests that must not run twice and did.
func (s *System) Twice() []string {
	return s.Ledger.Twice(func(id string) bool { return !strings.HasPrefix(id, single) })
}
