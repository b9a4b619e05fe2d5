package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fastjson"
	"github.com/zeebo/xxh3"

	"peathollow/consensus"
	"peathollow/distribution"
	"peathollow/internal/invariant"
	"peathollow/manifest"
	"peathollow/registry"
)

const (
	bodyMost   = 4 << 20 // bytes of a configuration
	beatMost   = 8 << 10 // bytes of a beat
	ordersMost = 32      // configurations in hand at once
)

// door is one call of searchers and operators.
type door struct {
	pattern string
	body    int64         // bytes
	within  time.Duration // the answer is given by then
	serve   func(h *Controller, ctx context.Context, r *http.Request, body []byte) reply
}

// reply is an answer; a nil body has none.
type reply struct {
	status int
	body   []byte
}

// doors lists them all.
var doors = []door{
	{"PUT /searchers/{id}", beatMost, callMost, (*Controller).beat},
	{"DELETE /searchers/{id}", beatMost, callMost, (*Controller).leave},
	{"PUT /config", bodyMost, callMost, (*Controller).putConfig},
	{"GET /config", 0, callMost, (*Controller).getConfig},
	{"GET /status", 0, callMost, (*Controller).status},
	{"GET /nodes", 0, callMost, (*Controller).tellNodes},
	{"GET /searchers", 0, callMost, (*Controller).searchers},
}

func (c *Controller) doors() http.Handler {
	mux := http.NewServeMux()
	for _, d := range doors {
		mux.HandleFunc(d.pattern, func(w http.ResponseWriter, r *http.Request) {
			began := time.Now()
			answer := func(x reply) {
				c.called(d.pattern, r, x, time.Since(began))
				send(w, x)
			}
			var body []byte
			if d.body > 0 && r.ContentLength != 0 {
				var err error
				if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, d.body)); err != nil {
					answer(fault(http.StatusBadRequest, "body: "+err.Error()))
					return
				}
			}
			ctx, stop := context.WithTimeout(r.Context(), d.within)
			defer stop()
			answer(d.serve(c, ctx, r, body))
		})
	}
	return mux
}

func send(w http.ResponseWriter, r reply) {
	if r.body != nil {
		w.Header()["Content-Type"] = []string{"application/json"}
	}
	w.WriteHeader(r.status)
	w.Write(r.body)
}

func fault(status int, why string) reply {
	b, _ := json.Marshal(map[string]string{"error": why})
	return reply{status, b}
}

// beat takes a searcher's report. One that says it is leaving is acknowledged once most of the core knows. Out of contact
// none is: the news would reach nobody, and the searcher is to turn to another machine.
func (c *Controller) beat(ctx context.Context, r *http.Request, body []byte) reply {
	s, why := readSearcher(body, r.PathValue("id"))
	if why != "" {
		return fault(http.StatusBadRequest, why)
	}
	var b registry.HeartbeatResult
	c.board.WithRegistry(func(r *registry.Registry) bool {
		b = r.Heartbeat(time.Now(), s)
		return b.Published
	})
	if b.Published {
		c.log.Debug().Str("event", "searcher").Str("id", s.ID).Str("service", s.Plant).Str("state", s.State.String()).Msg("")
	}
	if b.Refused {
		return fault(http.StatusServiceUnavailable, "no room")
	}
	if !c.inContact() {
		return fault(http.StatusServiceUnavailable, "out of touch with the core")
	}
	if s.State == registry.Draining {
		if refusal, refused := c.refuseLeaving(ctx, s.ID, s.State, b); refused {
			return refusal
		}
	}
	return reply{http.StatusOK, c.beatTarget(s.Zone)}
}

// beatTarget names a controller nearer to a searcher than this one, if one was heard from lately: beats cross zones at a
// price.
func (c *Controller) beatTarget(zone string) []byte {
	best, far := "", c.set.Far(zone)
	if far == 0 {
		return []byte("{}")
	}
	ips := c.fresh()
	for _, p := range c.board.Controllers() {
		host, _, err := net.SplitHostPort(p.Addr)
		if f := c.set.Between(p.Zone, zone); err == nil && f < far && ips[host] {
			best, far = host, f
		}
	}
	if best == "" {
		return []byte("{}")
	}
	_, port, _ := net.SplitHostPort(c.set.Control)
	return fmt.Appendf(nil, `{"beat-target":%q}`, net.JoinHostPort(best, port))
}

func (c *Controller) leave(ctx context.Context, r *http.Request, _ []byte) reply {
	var b registry.HeartbeatResult
	if distribution.Reserved(r.PathValue("id")) {
		return fault(http.StatusBadRequest, "id: not a searcher's")
	}
	c.board.WithRegistry(func(ro *registry.Registry) bool {
		b = ro.Leave(time.Now(), r.PathValue("id"))
		return b.Published
	})
	if refusal, refused := c.refuseLeaving(ctx, r.PathValue("id"), registry.Gone, b); refused {
		return refusal
	}
	return reply{http.StatusOK, []byte("{}")}
}

// refuseLeaving tells why it can't be acknowledged that a searcher leaves; false if it can: the list has it so, and a
// majority of the members holds that on disk.
func (c *Controller) refuseLeaving(ctx context.Context, id string, leaves registry.State, b registry.HeartbeatResult) (reply, bool) {
	if b.Refused || b.State < leaves {
		// No room for it, or a late call: the searcher is known to be ready since.
		return fault(http.StatusServiceUnavailable, "not recorded"), true
	}
	if !c.known(ctx, b.Vector()) {
		return fault(http.StatusServiceUnavailable, "too few of the core know"), true
	}
	c.board.WithRegistry(func(r *registry.Registry) bool {
		e, held := r.Get(id)
		invariant.Check(invariant.LeaveRecorded, held && e.State >= leaves, "searcher %s leaves as %v, listed: %v, as %v", id, leaves, held, e.State)
		return false
	})
	return reply{}, false
}

// readSearcher reads a beat's body; why says what is wrong with it.
func readSearcher(body []byte, id string) (s registry.Searcher, why string) {
	v, err := fastjson.ParseBytes(body)
	if err != nil || v.Type() != fastjson.TypeObject {
		return s, "body: not a JSON object"
	}
	text := func(key string) string { return string(v.GetStringBytes(key)) }
	s = registry.Searcher{ID: id, Plant: text("plant"), Address: text("address"), Zone: text("zone"),
		ConfigVersion: text("config-version"), Capacity: v.GetInt("capacity"),
		WarmupLeft: time.Duration(v.GetFloat64("warmup-left-ms") * float64(time.Millisecond)), Calls: uint64(max(0, v.GetFloat64("call-count")))}
	switch text("state") {
	case "ready":
		s.State = registry.Ready
	case "draining":
		s.State = registry.Draining
	default:
		return s, "state: ready or draining expected"
	}
	if distribution.Reserved(id) || distribution.Reserved(s.Plant) {
		return s, "id or plant: not a searcher's"
	}
	if len(id) > 256 || len(s.Plant) > 256 || len(s.Address) > 256 || s.Plant == "" || s.Address == "" || s.Capacity < 0 {
		return s, "plant, address or capacity: missing or not to be used"
	}
	return s, ""
}

// putConfig takes a whole configuration.
func (c *Controller) putConfig(ctx context.Context, _ *http.Request, body []byte) reply {
	select {
	case c.orders <- struct{}{}:
		defer func() { <-c.orders }()
	default:
		return fault(http.StatusServiceUnavailable, "too many configurations at once: send it again")
	}
	m, err := manifest.Parse(body)
	if err != nil {
		c.log.Warn().Str("event", "configuration-refused").Err(err).Msg("")
		return fault(http.StatusBadRequest, err.Error())
	}
	c.taken.Store(m)
	a, err := c.call(ctx, Call{Doc: consensus.Document{Version: m.Version, Digest: xxh3.Hash(body), Body: manifest.Pack(body)}})
	switch {
	case err == nil && a.Result == consensus.OK:
		return reply{http.StatusOK, []byte("{}")}
	case err == nil && a.Result == consensus.Conflict:
		c.log.Warn().Str("event", "configuration-refused").Uint64("version", m.Version).Uint64("held", a.Doc.Version).Msg("")
		return conflict(m.Version, a.Doc.Version)
	}
	return fault(http.StatusServiceUnavailable, "not taken, or not known to be: send it again")
}

// conflict says that another body stands under a version, and which version is held.
func conflict(version, held uint64) reply {
	b, _ := json.Marshal(struct {
		Error string `json:"error"`
		Held  uint64 `json:"config-version"`
	}{fmt.Sprintf("another configuration was taken under version %d", version), held})
	return reply{http.StatusConflict, b}
}

// getConfig gives the newest configuration, whole, as it was sent.
func (c *Controller) getConfig(ctx context.Context, _ *http.Request, _ []byte) reply {
	a, err := c.call(ctx, Call{Read: true})
	if err != nil || a.Result != consensus.OK {
		return fault(http.StatusServiceUnavailable, "not known now: ask again")
	}
	if a.Doc.Version == 0 {
		return fault(http.StatusNotFound, "there is no configuration yet")
	}
	raw, err := manifest.Unpack(a.Doc.Body, bodyMost)
	if err != nil {
		return fault(http.StatusInternalServerError, err.Error())
	}
	return reply{http.StatusOK, raw}
}
