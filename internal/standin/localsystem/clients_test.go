package localsystem

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/faulty"
)

// TestWrongAnswersAreSeen guards against response checks that accept wrong responses, with which every run would pass. It
// injects each kind of wrong response.
func TestWrongAnswersAreSeen(t *testing.T) {
	s := &System{}
	for _, service := range []string{shard(0), shard(1), shard(2), single} {
		for range copies {
			server, err := faulty.Start(faulty.Options{})
			must.NoError(t, err)
			defer server.Close()
			s.Add(&Searcher{Server: server, service: service})
		}
	}
	const id, path = "fan-1-0", "/fan/1"
	parts := func(searchers ...int) (http.Header, []byte) {
		var seals, records []string
		for _, i := range searchers {
			seals = append(seals, faulty.Seal(s.Searchers()[i].ID(), id))
			for all := faulty.Records(s.Searchers()[i].ID(), path, 4); len(all) > 0; all = all[16:] {
				records = append(records, string(all[:16]))
			}
		}
		slices.Sort(records)
		slices.Reverse(records)
		return http.Header{"Part-Seals": {strings.Join(seals, ", ")}, "Missing-Parts": {string(rune('0' + 3 - len(searchers)))}},
			[]byte(strings.Join(records[:min(topK, len(records))], ""))
	}
	h, body := parts(0, 2, 4)
	missing, err := s.CheckFanOut(shardNames(), id, path, h, body)
	must.NoError(t, err)
	must.Eq(t, 0, missing)
	partialHeader, partialBody := parts(1, 3)
	missing, err = s.CheckFanOut(shardNames(), id, path, partialHeader, partialBody)
	must.NoError(t, err)
	must.Eq(t, 1, missing)

	with := func(h http.Header, name, value string) http.Header {
		h = h.Clone()
		h.Set(name, value)
		return h
	}
	seals := h.Get("Part-Seals")
	for name, response := range map[string]struct {
		h    http.Header
		body []byte
	}{
		"another order":      {h, slices.Concat(body[16:], body[:16])},
		"a record fewer":     {h, body[16:]},
		"nothing":            {http.Header{}, nil},
		"a seal twice":       {with(h, "Part-Seals", seals+", "+seals[:strings.Index(seals, ",")]), body},
		"another's seal":     {with(h, "Part-Seals", strings.Replace(seals, id, "fan-2-0", 1)), body},
		"a part unsaid":      {with(partialHeader, "Missing-Parts", "0"), partialBody},
		"parts of too many":  {with(partialHeader, "Part-Seals", seals), partialBody},
		"a part not counted": {with(h, "Missing-Parts", "1"), body},
	} {
		_, err := s.CheckFanOut(shardNames(), id, path, response.h, response.body)
		must.Error(t, err, must.Sprint(name))
	}

	searcher := s.ids(single)[1]
	seal := http.Header{"Answer-Seal": {faulty.Seal(searcher, id)}}
	must.NoError(t, CheckSingle(s.ids(single), id, path, seal, faulty.Records(searcher, path, 4)))
	must.Error(t, CheckSingle(s.ids(single), id, path, seal, faulty.Records(searcher, "/other", 4)))
	must.Error(t, CheckSingle(s.ids(single), "other", path, seal, faulty.Records(searcher, path, 4)))
	must.Error(t, CheckSingle(s.ids(shard(0)), id, path, seal, faulty.Records(searcher, path, 4)))
}
