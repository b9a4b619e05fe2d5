package proxy

import (
	"time"

	"peathollow/internal/figures"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// figures tells what the proxy has done and what it goes by.
func (p *Proxy) figures(emit figures.Emit) {
	now := p.now()
	p.mu.Lock()
	c, inHand, pools, listed, mixers, hosts := p.life.Counts, p.life.InFlight(), len(p.pools), p.listed, p.mixers, len(p.hosts)
	open, idle := 0, 0
	for _, pool := range p.pools {
		open += pool.OpenConns()
		idle += pool.IdleConns()
	}
	budgets, mixersCounted, slackSpent := p.life.Budget().Stats(now), p.life.Budget().MixerCount(), p.life.Budget().SlackSpent()
	p.mu.Unlock()
	clients, evicted, refused := p.callers.Counts()
	emit("client_connections_open", float64(clients))
	emit("client_connections_evicted_total", float64(evicted))
	emit("client_connections_refused_total", float64(refused))
	outcome := func(name string, n int) {
		emit("requests_total", float64(n), figures.Label{Name: "outcome", Value: name})
	}
	outcome("relayed", c.Relayed)
	outcome("gathered", c.Gathered)
	outcome("refused", c.Refused)
	outcome("failed", c.Failed)
	outcome("client_left", c.ClientsLeft)
	emit("requests_partial_total", float64(c.Partial))
	emit("requests_taken_total", float64(c.Taken))
	emit("requests_in_hand", float64(inHand))
	emit("requests_turned_away_total", float64(p.sight.turnedAway.Load()))
	emit("clients_left_total", float64(p.sight.gone.Load()))
	emit("decision_restarts_total", float64(p.sight.restarts.Load()))
	for reason, n := range p.sight.failed {
		emit("requests_unanswered_total", float64(n.Load()), figures.Label{Name: "reason", Value: string(reason)})
	}
	emit("dispatches_total", float64(c.Sent))
	emit("dispatches_further_total", float64(c.Retries))
	for o, n := range c.Outcomes {
		emit("dispatch_outcomes_total", float64(n), figures.Label{Name: "outcome", Value: outcomeName(policy.Outcome(o))})
	}
	emit("pools", float64(pools))
	emit("identity_probes_total", float64(p.probes.First.Load()), figures.Label{Name: "reason", Value: "first"})
	emit("identity_probes_total", float64(p.probes.Old.Load()), figures.Label{Name: "reason", Value: "old"})
	emit("identity_probe_seconds_total", time.Duration(p.probes.TotalNanoseconds.Load()).Seconds())
	emit("connections_open", float64(open))
	emit("connections_idle", float64(idle))
	emit("searchers_listed", float64(hosts))
	emit("list_complete", figures.Truth(listed))
	emit("mixers_known", float64(mixers))
	emit("retry_budget_mixers", float64(mixersCounted))
	emit("retry_budget_slack_spent", figures.Truth(slackSpent))
	for i := range budgets {
		budgetFigures(&budgets[i], emit)
	}
	emit("leaving", figures.Truth(p.leaving.Load()))
	emit("agent_answer_age_seconds", age(now, p.sight.toldAt.Load()))
	if doc := p.doc.Load(); doc != nil {
		emit("configuration_version", float64(doc.Version))
		emit("configuration_age_seconds", age(now, p.sight.configuredAt.Load()))
	}
}

// age is how many seconds ago something was, -1 if it never was.
func age(now time.Duration, at int64) float64 {
	if at == 0 {
		return -1
	}
	return (now - time.Duration(at)).Seconds()
}

// budgetFigures tells the account of the retry budget of one service.
func budgetFigures(f *retrybudget.Stats, emit figures.Emit) {
	service := figures.Label{Name: "service", Value: f.Service}
	emit("retry_budget_requests_total", float64(f.Requests), service)
	emit("retry_budget_charged_total", float64(f.Retries), service)
	emit("retry_budget_starved_total", float64(f.DeniedParts), service)
	emit("retry_budget_misdirected_total", float64(f.Misdirected), service)
	emit("retry_budget_ended_total", float64(f.EndedRetries), service)
	emit("retry_budget_seconds_to_end_total", f.TotalDuration.Seconds(), service)
	emit("retry_budget_longest_seconds", f.LongestDuration.Seconds(), service)
	emit("retry_budget_counting", float64(f.Charges), service)
	emit("retry_budget_open", float64(f.OpenCharges), service)
	emit("retry_budget_lost", float64(f.AbandonedCharges), service)
	emit("retry_budget_room", f.Limit, service)
}
