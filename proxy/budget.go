package proxy

import (
	"peathollow/internal/upstream"
	"peathollow/request"
	"peathollow/retrybudget"
)

// explainExhausted logs the services that were refused a further dispatch for want of budget, with what the account went by.
func (p *Proxy) explainExhausted(all []retrybudget.Refusal) {
	for _, e := range all {
		ok, suppressed := p.sight.line(p.sight.exhausted)
		if !ok {
			continue
		}
		p.log.Warn().Str("event", "retry-budget-exhausted").Str("service", e.Service).Int("requests", e.Requests).
			Int("counting", e.Charges).Int("open", e.OpenCharges).Int("lost", e.AbandonedCharges).Float64("room", e.Limit).Int("not-logged", suppressed).Msg("")
	}
}

// explainMisdirected logs that the address of a searcher is another's, and whether that was found out by a request.
func (p *Proxy) explainMisdirected(h *request.Searcher, a *upstream.Response) {
	ok, suppressed := p.sight.line(p.sight.strays)
	if !ok {
		return
	}
	p.log.Warn().Str("event", "misdirected").Str("searcher", h.ID).Str("service", h.Service).Str("address", h.Address).
		Str("there", a.SearcherID).Bool("request-sent", a.Wrote).Int("not-logged", suppressed).Msg("")
}
