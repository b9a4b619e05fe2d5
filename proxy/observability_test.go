package proxy_test

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/internal/invariant"
	"peathollow/internal/settings"
	"peathollow/internal/standin/faulty"
	"peathollow/internal/standin/rig"
)

func init() { invariant.SetFatal(true) }

// figure reads one figure of a proxy.
func figure(t *testing.T, r *rig.Rig, name string) float64 {
	t.Helper()
	answer, err := http.Get(r.Figures)
	must.NoError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	found := regexp.MustCompile("(?m)^" + regexp.QuoteMeta("peathollow_"+name) + " (\\S+)$").FindSubmatch(text)
	must.NotNil(t, found, must.Sprintf("%s in\n%s", name, text))
	value, err := strconv.ParseFloat(string(found[1]), 64)
	must.NoError(t, err)
	return value
}

// TestFailureIsExplained: a request that got no searcher's answer leaves a line that names it, what was tried and why, and
// is counted by its reason.
func TestFailureIsExplained(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	broken := r.Searcher("s", faulty.Options{Script: func(faulty.Call) faulty.Reply { return faulty.Reply{Way: faulty.CloseRun} }})
	r.Put(rig.Route{Name: "once", Prefix: "/once/", Plant: "s", Mode: "non_idempotent"}, rig.Route{Name: "empty", Prefix: "/empty/", Plant: "nobody"})
	for _, c := range []struct {
		path, reason, tries string
		status              int
	}{
		{"/once/1", "it may have run and cannot be sent again", broken.ID() + ":cut-off:", http.StatusBadGateway},
		{"/empty/1", "no searcher of a service it needs is listed", "none", http.StatusServiceUnavailable},
		{"/nowhere", "no route for its host and path", "", http.StatusNotFound},
	} {
		a := r.Do(rig.Request{Path: c.path})
		must.Eq(t, c.status, a.Status, must.Sprint(c.path))
		must.Len(t, 1, r.Log.With("request-failed", a.Of.ID, c.reason, c.tries, strconv.Itoa(c.status)), must.Sprint(r.Log.With("request-failed")))
	}
	must.Eq(t, 1, figure(t, r, `requests_unanswered_total{reason="it may have run and cannot be sent again"}`))
	must.Eq(t, 1, figure(t, r, `dispatch_outcomes_total{outcome="cut-off"}`))
	must.Eq(t, 1, figure(t, r, "requests_turned_away_total"))
	must.Eq(t, 3, figure(t, r, "configuration_version"))
}

// TestFailureLinesAreBounded: a storm of failures leaves some lines and a count of the others.
func TestFailureLinesAreBounded(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Put(rig.Route{Prefix: "/", Plant: "nobody"})
	const storm = 200
	for range storm {
		r.Do(rig.Request{Path: "/"})
	}
	lines := r.Log.With("request-failed")
	must.Positive(t, len(lines))
	must.Less(t, storm/2, len(lines))
	a := r.Do(rig.Request{Path: "/", Host: "other.example"}) // for another reason
	must.Len(t, 1, r.Log.With("request-failed", a.Of.ID))
	must.Eq(t, storm, figure(t, r, `requests_unanswered_total{reason="no searcher of a service it needs is listed"}`))
}

// TestBudgetIsTold: who looks at a proxy alone can tell how the retry budget of each service stands, what was refused for want of it,
// also where the answer went out without the part, and which searchers' addresses are another's.
func TestBudgetIsTold(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief, func(s *settings.Settings) { s.RetryRatio, s.RetrySlack = 0, 2 }) // one further dispatch in each life
	for range 2 {
		r.Searcher("bad", faulty.Options{Script: func(faulty.Call) faulty.Reply { return faulty.Reply{Status: http.StatusInternalServerError} }})
	}
	r.Searcher("good", faulty.Options{})
	first := r.Searcher("moved", faulty.Options{})
	half := 0.5
	r.Put(rig.Route{Name: "all", Prefix: "/all/", FanOut: []string{"bad", "good"}, Coverage: &half, Retries: 2, TopK: 3},
		rig.Route{Name: "moved", Prefix: "/moved/", Plant: "moved", Retries: 2})
	const requests = 3
	for range requests {
		must.Eq(t, http.StatusOK, r.Do(rig.Request{Path: "/all/"}).Status)
	}
	must.Eq(t, requests, figure(t, r, `retry_budget_requests_total{service="bad"}`))
	must.Eq(t, 1, figure(t, r, `retry_budget_charged_total{service="bad"}`))
	must.Eq(t, 1, figure(t, r, `retry_budget_ended_total{service="bad"}`))
	must.Eq(t, 1, figure(t, r, `retry_budget_counting{service="bad"}`))
	must.Eq(t, 1, figure(t, r, `retry_budget_room{service="bad"}`))
	must.Eq(t, requests-1, figure(t, r, `retry_budget_starved_total{service="bad"}`))
	must.Eq(t, 0, figure(t, r, `retry_budget_starved_total{service="good"}`))
	must.Eq(t, 1, figure(t, r, "retry_budget_mixers"))
	must.Eq(t, 0, figure(t, r, "retry_budget_slack_spent"))
	must.Len(t, 1, r.Log.With("retry-budget-exhausted", `"service":"bad"`, `"counting":1`), must.Sprint(r.Log.With("retry-budget")))

	first.Close()
	r.Searcher("other", faulty.Options{Addr: first.Addr()})
	r.Sync()
	r.Do(rig.Request{Path: "/moved/", DeadlineMs: 500})
	must.Eq(t, 1, figure(t, r, `retry_budget_misdirected_total{service="moved"}`))
	must.Len(t, 1, r.Log.With("misdirected", first.ID()), must.Sprint(r.Log.With("misdirected")))
}
