package proxy

import (
	"peathollow/internal/upstream"
	"peathollow/request"
	"peathollow/retrybudget"
)

// logBudgetRefusals logs the services that were refused a retry because their budget was exhausted, with the state of the budget.
func (p *Proxy) logBudgetRefusals(refusals []retrybudget.Refusal) {
	for _, refusal := range refusals {
		ok, suppressed := p.observability.allowLine(p.observability.budgetLines)
		if !ok {
			continue
		}
		p.log.Warn().Str("event", "retry-budget-exhausted").Str("service", refusal.Service).Int("requests", refusal.Requests).
			Int("counting", refusal.Charges).Int("open", refusal.OpenCharges).Int("lost", refusal.AbandonedCharges).
			Float64("room", refusal.Limit).Int("not-logged", suppressed).Msg("")
	}
}

// logMisdirected logs that the address of a searcher belongs to another one, and whether a request had already been sent there.
func (p *Proxy) logMisdirected(searcher *request.Searcher, response *upstream.Response) {
	ok, suppressed := p.observability.allowLine(p.observability.misdirectedLines)
	if !ok {
		return
	}
	p.log.Warn().Str("event", "misdirected").Str("searcher", searcher.ID).Str("service", searcher.Service).Str("address", searcher.Address).
		Str("there", response.SearcherID).Bool("request-sent", response.Wrote).Int("not-logged", suppressed).Msg("")
}
