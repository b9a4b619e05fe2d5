package proxy

import (
	"peathollow/request"
	"peathollow/retrybudget"
)

// explainExhausted logs the services that were refused a further dispatch for want of budget, with what the account went by.
func (p *Proxy) explainExhausted(all []retrybudget.Exhausted) {
	for _, e := range all {
		ok, suppressed := p.sight.line(p.sight.exhausted)
		if !ok {
			continue
		}
		p.log.Warn().Str("event", "retry-budget-exhausted").Str("service", e.Service).Int("requests", e.Requests).
			Int("counting", e.Counting).Float64("room", e.Room).Int("not-logged", suppressed).Msg("")
	}
}

// misdirected logs that the address of a searcher is another's.
func (p *Proxy) misdirected(h *request.Host) {
	ok, suppressed := p.sight.line(p.sight.strays)
	if !ok {
		return
	}
	p.log.Warn().Str("event", "misdirected").Str("searcher", h.ID).Str("service", h.Service).Str("address", h.Address).
		Bool("silent", h.Silent).Int("not-logged", suppressed).Msg("")
}
