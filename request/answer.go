package request

import (
	"bytes"
	"slices"
)

// recordSize is the length in bytes of a record in a part's body.
const recordSize = 16

// answer returns the final answer to a completed request, from the parts that were answered.
func answer(r *Request) Final {
	if len(r.Route.FanOut) == 0 {
		return Final{Kind: Relayed, Reply: r.parts[0].reply}
	}
	f := Final{Kind: Gathered}
	bodies := make([][]byte, 0, len(r.parts))
	for _, p := range r.parts {
		if p.reply != nil {
			f.Seals = append(f.Seals, p.reply.Seal)
			bodies = append(bodies, p.reply.Body)
		}
	}
	f.Missing = len(r.services) - len(f.Seals)
	f.Body = merge(bodies, r.Route.TopK)
	return f
}

// failure returns the final answer to a request that may have run: the error response of a searcher if there is one.
func failure(r *Request, deadlineReached bool) Final {
	if r.errorReply != nil && len(r.Route.FanOut) == 0 {
		return Final{Kind: Relayed, Reply: r.errorReply}
	}
	return Final{Kind: Failed, DeadlineReached: deadlineReached}
}

// merge returns the greatest records of all bodies, greatest first, at most limit of them if limit is positive.
// Duplicates are kept; a trailing piece shorter than a record is dropped.
func merge(bodies [][]byte, limit int) []byte {
	var all [][]byte
	for _, b := range bodies {
		for len(b) >= recordSize {
			all = append(all, b[:recordSize])
			b = b[recordSize:]
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	return bytes.Join(all, nil)
}
