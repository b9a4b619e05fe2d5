package proxy

import (
	"time"

	"peathollow/internal/exporter"
	"peathollow/policy"
	"peathollow/retrybudget"
)

// emitMetrics emits the proxy's metrics: what it has done and the state that it acts on.
func (p *Proxy) emitMetrics(emit exporter.Emit) {
	now := p.now()
	p.mu.Lock()
	counts, inFlight, pools, listComplete, mixers, searchers :=
		p.coordinator.Counts, p.coordinator.InFlight(), len(p.pools), p.listComplete, p.mixerCount, len(p.searchers)
	open, idle := 0, 0
	for _, pool := range p.pools {
		open += pool.OpenConns()
		idle += pool.IdleConns()
	}
	budgets, budgetMixers, slackSpent := p.coordinator.Budget().Stats(now),
		p.coordinator.Budget().MixerCount(), p.coordinator.Budget().SlackSpent()
	p.mu.Unlock()
	clients, evicted, refused := p.clientConns.Counts()
	emit("client_connections_open", float64(clients))
	emit("client_connections_evicted_total", float64(evicted))
	emit("client_connections_refused_total", float64(refused))
	outcome := func(name string, n int) {
		emit("requests_total", float64(n), exporter.Label{Name: "outcome", Value: name})
	}
	outcome("relayed", counts.Relayed)
	outcome("gathered", counts.Gathered)
	outcome("refused", counts.Refused)
	outcome("failed", counts.Failed)
	outcome("client_left", counts.ClientsLeft)
	emit("requests_partial_total", float64(counts.Partial))
	emit("requests_taken_total", float64(counts.Taken))
	emit("requests_in_hand", float64(inFlight))
	emit("requests_turned_away_total", float64(p.observability.rejected.Load()))
	emit("clients_left_total", float64(p.observability.clientsLeft.Load()))
	emit("decision_restarts_total", float64(p.observability.restarts.Load()))
	for reason, n := range p.observability.failed {
		emit("requests_unanswered_total", float64(n.Load()), exporter.Label{Name: "reason", Value: string(reason)})
	}
	emit("dispatches_total", float64(counts.Sent))
	emit("dispatches_further_total", float64(counts.Retries))
	for o, n := range counts.Outcomes {
		emit("dispatch_outcomes_total", float64(n), exporter.Label{Name: "outcome", Value: outcomeName(policy.Outcome(o))})
	}
	emit("pools", float64(pools))
	emit("identity_probes_total", float64(p.probes.First.Load()), exporter.Label{Name: "reason", Value: "first"})
	emit("identity_probes_total", float64(p.probes.Old.Load()), exporter.Label{Name: "reason", Value: "old"})
	emit("identity_probe_seconds_total", time.Duration(p.probes.TotalNanoseconds.Load()).Seconds())
	emit("connections_open", float64(open))
	emit("connections_idle", float64(idle))
	emit("searchers_listed", float64(searchers))
	emit("list_complete", exporter.BoolValue(listComplete))
	emit("mixers_known", float64(mixers))
	emit("retry_budget_mixers", float64(budgetMixers))
	emit("retry_budget_slack_spent", exporter.BoolValue(slackSpent))
	for i := range budgets {
		emitBudgetMetrics(&budgets[i], emit)
	}
	emit("leaving", exporter.BoolValue(p.shuttingDown.Load()))
	emit("agent_answer_age_seconds", age(now, p.observability.agentAnsweredAt.Load()))
	if config := p.config.Load(); config != nil {
		emit("configuration_version", float64(config.Version))
		emit("configuration_age_seconds", age(now, p.observability.configuredAt.Load()))
	}
}

// age returns how many seconds ago an event was, or -1 if it never happened.
func age(now time.Duration, at int64) float64 {
	if at == 0 {
		return -1
	}
	return (now - time.Duration(at)).Seconds()
}

// emitBudgetMetrics emits the state of the retry budget of one service.
func emitBudgetMetrics(stats *retrybudget.Stats, emit exporter.Emit) {
	service := exporter.Label{Name: "service", Value: stats.Service}
	emit("retry_budget_requests_total", float64(stats.Requests), service)
	emit("retry_budget_charged_total", float64(stats.Retries), service)
	emit("retry_budget_starved_total", float64(stats.DeniedParts), service)
	emit("retry_budget_misdirected_total", float64(stats.Misdirected), service)
	emit("retry_budget_ended_total", float64(stats.EndedRetries), service)
	emit("retry_budget_seconds_to_end_total", stats.TotalDuration.Seconds(), service)
	emit("retry_budget_longest_seconds", stats.LongestDuration.Seconds(), service)
	emit("retry_budget_counting", float64(stats.Charges), service)
	emit("retry_budget_open", float64(stats.OpenCharges), service)
	emit("retry_budget_lost", float64(stats.AbandonedCharges), service)
	emit("retry_budget_room", stats.Limit, service)
}
