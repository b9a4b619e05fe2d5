package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fastjson"
	"github.com/zeebo/xxh3"
	"golang.org/x/net/http/httpguts"

	"peathollow/consensus"
	"peathollow/distribution"
	"peathollow/internal/invariant"
	"peathollow/manifest"
	"peathollow/registry"
)

const (
	maxConfigBytes    = 4 << 20 // bytes
	maxHeartbeatBytes = 8 << 10 // bytes
	maxPendingConfigs = 32      // configurations handled at once
)

// endpoint is one HTTP call of searchers or operators.
type endpoint struct {
	pattern string
	body    int64         // maximum size in bytes
	timeout time.Duration // deadline for the answer
	handle  func(c *Controller, ctx context.Context, r *http.Request, body []byte) reply
}

// reply is an answer. A nil body means that there is none.
type reply struct {
	status int
	body   []byte
}

// endpoints lists all HTTP calls.
var endpoints = []endpoint{
	{"PUT /searchers/{id}", maxHeartbeatBytes, callTimeout, (*Controller).heartbeat},
	{"DELETE /searchers/{id}", maxHeartbeatBytes, callTimeout, (*Controller).removeSearcher},
	{"PUT /config", maxConfigBytes, callTimeout, (*Controller).putConfig},
	{"GET /config", 0, callTimeout, (*Controller).getConfig},
	{"GET /status", 0, callTimeout, (*Controller).getStatus},
	{"GET /nodes", 0, callTimeout, (*Controller).listNodes},
	{"GET /searchers", 0, callTimeout, (*Controller).listSearchers},
}

func (c *Controller) handler() http.Handler {
	mux := http.NewServeMux()
	for _, d := range endpoints {
		mux.HandleFunc(d.pattern, func(w http.ResponseWriter, r *http.Request) {
			started := time.Now()
			answer := func(x reply) {
				c.recordCall(d.pattern, r, x, time.Since(started))
				writeReply(w, x)
			}
			var body []byte
			if d.body > 0 && r.ContentLength != 0 {
				var err error
				if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, d.body)); err != nil {
					answer(errorReply(http.StatusBadRequest, "body: "+err.Error()))
					return
				}
			}
			ctx, stop := context.WithTimeout(r.Context(), d.timeout)
			defer stop()
			answer(d.handle(c, ctx, r, body))
		})
	}
	return mux
}

func writeReply(w http.ResponseWriter, r reply) {
	if r.body != nil {
		w.Header()["Content-Type"] = []string{"application/json"}
	}
	w.WriteHeader(r.status)
	w.Write(r.body)
}

func errorReply(status int, problem string) reply {
	b, _ := json.Marshal(map[string]string{"error": problem})
	return reply{status, b}
}

// heartbeat handles a searcher's heartbeat. A draining state is acknowledged only once a majority of the controllers has
// persisted it. Out of contact no heartbeat is acknowledged, because the update would not reach the fronts; the searcher is
// expected to turn to another controller.
func (c *Controller) heartbeat(ctx context.Context, r *http.Request, body []byte) reply {
	s, problem := parseSearcher(body, r.PathValue("id"))
	if problem != "" {
		return errorReply(http.StatusBadRequest, problem)
	}
	var result registry.HeartbeatResult
	c.replica.WithRegistry(func(r *registry.Registry) bool {
		result = r.Heartbeat(time.Now(), s)
		return result.Published
	})
	if result.Published {
		c.log.Debug().Str("event", "searcher").Str("id", s.ID).Str("service", s.Plant).Str("state", s.State.String()).Msg("")
	}
	if result.Refused {
		return errorReply(http.StatusServiceUnavailable, "no room")
	}
	if !c.inContact() {
		return errorReply(http.StatusServiceUnavailable, "out of touch with the core")
	}
	if s.State == registry.Draining {
		if refusal, refused := c.checkLeaveRecorded(ctx, s.ID, s.State, result); refused {
			return refusal
		}
	}
	return reply{http.StatusOK, c.heartbeatTarget(s.Zone)}
}

// heartbeatTarget names a controller that is nearer to the searcher than this one and was heard from recently, if there is
// one. Heartbeats across zones cost money.
func (c *Controller) heartbeatTarget(zone string) []byte {
	nearest, distance := "", c.settings.DistanceTo(zone)
	if distance == 0 {
		return []byte("{}")
	}
	pulling := c.pullingIPs()
	for _, p := range c.replica.Controllers() {
		host, _, err := net.SplitHostPort(p.Addr)
		if f := c.settings.ZoneDistance(p.Zone, zone); err == nil && f < distance && pulling[host] {
			nearest, distance = host, f
		}
	}
	if nearest == "" {
		return []byte("{}")
	}
	_, port, _ := net.SplitHostPort(c.settings.Control)
	return fmt.Appendf(nil, `{"beat-target":%q}`, net.JoinHostPort(nearest, port))
}

func (c *Controller) removeSearcher(ctx context.Context, r *http.Request, _ []byte) reply {
	var result registry.HeartbeatResult
	if distribution.Reserved(r.PathValue("id")) {
		return errorReply(http.StatusBadRequest, "id: reserved")
	}
	c.replica.WithRegistry(func(list *registry.Registry) bool {
		result = list.Leave(time.Now(), r.PathValue("id"))
		return result.Published
	})
	if refusal, refused := c.checkLeaveRecorded(ctx, r.PathValue("id"), registry.Gone, result); refused {
		return refusal
	}
	return reply{http.StatusOK, []byte("{}")}
}

// checkLeaveRecorded returns a refusal and true if the searcher's leaving can't be acknowledged. It can if the list shows it
// and a majority of the members has persisted that.
func (c *Controller) checkLeaveRecorded(ctx context.Context, id string, leaves registry.State,
	result registry.HeartbeatResult) (reply, bool) {
	if result.Refused || result.State < leaves {
		// The list is full, or the call is late and the searcher has reported itself ready since.
		return errorReply(http.StatusServiceUnavailable, "not recorded"), true
	}
	if !c.awaitPersisted(ctx, result.Vector()) {
		return errorReply(http.StatusServiceUnavailable, "not persisted by a majority of the controllers yet"), true
	}
	c.replica.WithRegistry(func(r *registry.Registry) bool {
		e, held := r.Get(id)
		invariant.Check(invariant.LeaveRecorded, held && e.State >= leaves, "searcher %s leaves as %v, listed: %v, as %v", id, leaves, held, e.State)
		return false
	})
	return reply{}, false
}

// parseSearcher parses the body of a heartbeat. A non-empty problem says why it is invalid.
func parseSearcher(body []byte, id string) (s registry.Searcher, problem string) {
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
		return s, "id or plant: reserved"
	}
	if !httpguts.ValidHeaderFieldValue(id) || strings.TrimSpace(id) != id {
		return s, "id: not a value that the header Target-Searcher can have"
	}
	if len(id) > 256 || len(s.Plant) > 256 || len(s.Address) > 256 || s.Plant == "" || s.Address == "" || s.Capacity < 0 {
		return s, "plant, address or capacity: missing or invalid"
	}
	return s, ""
}

// putConfig handles a new configuration, which is always sent whole.
func (c *Controller) putConfig(ctx context.Context, _ *http.Request, body []byte) reply {
	select {
	case c.configSlots <- struct{}{}:
		defer func() { <-c.configSlots }()
	default:
		return errorReply(http.StatusServiceUnavailable, "too many configurations at once: send it again")
	}
	m, err := manifest.Parse(body)
	if err != nil {
		c.log.Warn().Str("event", "configuration-refused").Err(err).Msg("")
		return errorReply(http.StatusBadRequest, err.Error())
	}
	c.lastSubmitted.Store(m)
	a, err := c.callPrimary(ctx, Call{Doc: consensus.Document{Version: m.Version, Digest: xxh3.Hash(body),
		Body: manifest.Pack(body)}})
	switch {
	case err == nil && a.Result == consensus.OK:
		return reply{http.StatusOK, []byte("{}")}
	case err == nil && a.Result == consensus.Conflict:
		c.log.Warn().Str("event", "configuration-refused").Uint64("version", m.Version).Uint64("held", a.Doc.Version).Msg("")
		return conflictReply(m.Version, a.Doc.Version)
	}
	return errorReply(http.StatusServiceUnavailable, "not confirmed as accepted: send it again")
}

// conflictReply reports that another body is held under the version, and which version is the newest.
func conflictReply(version, held uint64) reply {
	b, _ := json.Marshal(struct {
		Error string `json:"error"`
		Held  uint64 `json:"config-version"`
	}{fmt.Sprintf("another configuration was accepted under version %d", version), held})
	return reply{http.StatusConflict, b}
}

// getConfig returns the newest configuration, whole and byte for byte as it was sent.
func (c *Controller) getConfig(ctx context.Context, _ *http.Request, _ []byte) reply {
	a, err := c.callPrimary(ctx, Call{Read: true})
	if err != nil || a.Result != consensus.OK {
		return errorReply(http.StatusServiceUnavailable, "the configuration cannot be read now: ask again")
	}
	if a.Doc.Version == 0 {
		return errorReply(http.StatusNotFound, "there is no configuration yet")
	}
	raw, err := manifest.Unpack(a.Doc.Body, maxConfigBytes)
	if err != nil {
		return errorReply(http.StatusInternalServerError, err.Error())
	}
	return reply{http.StatusOK, raw}
}
