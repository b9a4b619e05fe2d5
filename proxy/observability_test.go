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

// metric returns the value of one metric of a proxy.
func metric(t *testing.T, r *rig.Rig, name string) float64 {
	t.Helper()
	response, err := http.Get(r.MetricsURL)
	must.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	found := regexp.MustCompile("(?m)^" + regexp.QuoteMeta("peathollow_"+name) + " (\\S+)$").FindSubmatch(text)
	must.NotNil(t, found, must.Sprintf("%s in\n%s", name, text))
	value, err := strconv.ParseFloat(string(found[1]), 64)
	must.NoError(t, err)
	return value
}

// TestFailureIsExplained: a request that got no answer from a searcher leaves a log line with its ID, the attempts and the
// reason, and is counted by its reason.
func TestFailureIsExplained(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	failing := r.Searcher("s", faulty.Options{Script: func(faulty.Call) faulty.Reply { return faulty.Reply{Fault: faulty.CloseAfterRun} }})
	r.Put(rig.Route{Name: "once", Prefix: "/once/", Service: "s", Mode: "non_idempotent"}, rig.Route{Name: "empty", Prefix: "/empty/", Service: "nobody"})
	for _, c := range []struct {
		path, reason, tries string
		status              int
	}{
		{"/once/1", "it may have run and cannot be sent again", failing.ID() + ":cut-off:", http.StatusBadGateway},
		{"/empty/1", "no searcher of a service it needs is listed", "none", http.StatusServiceUnavailable},
		{"/nowhere", "no route for its host and path", "", http.StatusNotFound},
	} {
		a := r.Do(rig.Request{Path: c.path})
		must.Eq(t, c.status, a.Status, must.Sprint(c.path))
		must.Len(t, 1, r.Log.Find("request-failed", a.Request.ID, c.reason, c.tries, strconv.Itoa(c.status)), must.Sprint(r.Log.Find("request-failed")))
	}
	must.Eq(t, 1, metric(t, r, `requests_unanswered_total{reason="it may have run and cannot be sent again"}`))
	must.Eq(t, 1, metric(t, r, `dispatch_outcomes_total{outcome="cut-off"}`))
	must.Eq(t, 1, metric(t, r, "requests_turned_away_total"))
	must.Eq(t, 3, metric(t, r, "configuration_version"))
}

// TestFailureLinesAreBounded: many failures leave a limited number of log lines, and the others are counted.
func TestFailureLinesAreBounded(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief)
	r.Put(rig.Route{Prefix: "/", Service: "nobody"})
	const requests = 200
	for range requests {
		r.Do(rig.Request{Path: "/"})
	}
	lines := r.Log.Find("request-failed")
	must.Positive(t, len(lines))
	must.Less(t, requests/2, len(lines))
	a := r.Do(rig.Request{Path: "/", Host: "other.example"}) // fails for another reason
	must.Len(t, 1, r.Log.Find("request-failed", a.Request.ID))
	must.Eq(t, requests, metric(t, r, `requests_unanswered_total{reason="no searcher of a service it needs is listed"}`))
}

// TestBudgetIsReported: the metrics and log of a single proxy show the state of the retry budget of each service, the retries it
// refused, even where a partial answer was sent without the part, and the searchers whose address belongs to another one.
func TestBudgetIsReported(t *testing.T) {
	t.Parallel()
	r := rig.Start(t, brief, func(s *settings.Settings) { s.RetryRatio, s.RetrySlack = 0, 2 }) // one retry for each incarnation
	for range 2 {
		r.Searcher("bad", faulty.Options{Script: func(faulty.Call) faulty.Reply { return faulty.Reply{Status: http.StatusInternalServerError} }})
	}
	r.Searcher("good", faulty.Options{})
	first := r.Searcher("moved", faulty.Options{})
	half := 0.5
	r.Put(rig.Route{Name: "all", Prefix: "/all/", FanOut: []string{"bad", "good"}, MinCoverage: &half, Retries: 2, TopK: 3},
		rig.Route{Name: "moved", Prefix: "/moved/", Service: "moved", Retries: 2})
	const requests = 3
	for range requests {
		must.Eq(t, http.StatusOK, r.Do(rig.Request{Path: "/all/"}).Status)
	}
	must.Eq(t, requests, metric(t, r, `retry_budget_requests_total{service="bad"}`))
	must.Eq(t, 1, metric(t, r, `retry_budget_charged_total{service="bad"}`))
	must.Eq(t, 1, metric(t, r, `retry_budget_ended_total{service="bad"}`))
	must.Eq(t, 1, metric(t, r, `retry_budget_counting{service="bad"}`))
	must.Eq(t, 1, metric(t, r, `retry_budget_room{service="bad"}`))
	must.Eq(t, requests-1, metric(t, r, `retry_budget_starved_total{service="bad"}`))
	must.Eq(t, 0, metric(t, r, `retry_budget_starved_total{service="good"}`))
	must.Eq(t, 1, metric(t, r, "retry_budget_mixers"))
	must.Eq(t, 0, metric(t, r, "retry_budget_slack_spent"))
	must.Len(t, 1, r.Log.Find("retry-budget-exhausted", `"service":"bad"`, `"counting":1`), must.Sprint(r.Log.Find("retry-budget")))

	first.Close()
	r.Searcher("other", faulty.Options{Addr: first.Addr()})
	r.Sync()
	r.Do(rig.Request{Path: "/moved/", DeadlineMs: 500})
	must.Eq(t, 1, metric(t, r, `retry_budget_misdirected_total{service="moved"}`))
	must.Len(t, 1, r.Log.Find("misdirected", first.ID()), must.Sprint(r.Log.Find("misdirected")))
}
