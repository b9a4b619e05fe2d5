package manifest

import (
	"strings"
	"time"
)

// WeightedService is one service of a route's distribution. Gain is its relative
// weight.
type WeightedService struct {
	Service string
	Gain    float64
}

// Route configures how the requests for one host and path prefix are served.
// The names of its fields, and of those of Service and Limits, are part of the
// output when an operator compares two configurations.
type Route struct {
	Name, Host, Prefix string // Host is lower-cased and carries no port
	Idempotent         bool
	Horizon, Setpoint  time.Duration
	Rank               int
	Plant              string            // the service; exactly one of Plant, Split and FanOut is set
	Split              []WeightedService // services with weights
	FanOut             []string          // the shards
	Retries, TopK      int
	MinCoverage        float64
	Index              int // position in Manifest.Routes
}

// Service describes a service: how its searchers are reached and probed.
type Service struct {
	Name, ProbePath string
	ConnLimit       int // 0 means no limit
	Protocol        string
	TLS             bool
}

// Limits bounds the size of a client's requests, the time it may take to send
// the headers and the time its connection may stay idle.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Manifest is a complete, validated configuration. It is immutable after Parse
// and safe for concurrent use by multiple goroutines.
type Manifest struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	Raw      []byte // the document as received

	hosts map[string]*hostRoutes
}

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	byPrefix      map[string]*Route
	longestPrefix int // in bytes
}

// Route returns the route of the host with the longest prefix that matches
// path, or nil if there is none. The port and the case of host are ignored.
//
// Route runs for every request and does not allocate. Every prefix ends with a
// slash, so only the beginnings of path that end with a slash, up to the length
// of the longest prefix, are looked up. The cost is therefore bounded by
// the configuration, whatever path a client sends, and is the same for 4 routes
// and for 400.
func (m *Manifest) Route(host, path string) *Route {
	var stack [128]byte
	lower := appendLowerASCII(stack[:0], stripPort(host))
	h := m.hosts[string(lower)]
	if h == nil {
		return nil
	}
	path = path[:min(len(path), h.longestPrefix)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := h.byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// buildIndex builds the lookup table of Route. It returns the first route that
// has the same host and prefix as an earlier one, or nil.
func (m *Manifest) buildIndex() *Route {
	m.hosts = make(map[string]*hostRoutes)
	for _, r := range m.Routes {
		h := m.hosts[r.Host]
		if h == nil {
			h = &hostRoutes{byPrefix: make(map[string]*Route)}
			m.hosts[r.Host] = h
		}
		if h.byPrefix[r.Prefix] != nil {
			return r
		}
		h.byPrefix[r.Prefix] = r
		h.longestPrefix = max(h.longestPrefix, len(r.Prefix))
	}
	return nil
}

// ServicesOf lists the services that a request of route r may be sent to, in the
// order of the document. The caller owns the returned slice.
func (m *Manifest) ServicesOf(r *Route) []string {
	switch {
	case r.Plant != "":
		return []string{r.Plant}
	case len(r.FanOut) > 0:
		return append([]string(nil), r.FanOut...)
	}
	names := make([]string, len(r.Split))
	for i, share := range r.Split {
		names[i] = share.Service
	}
	return names
}

// stripPort removes a port from host. An IPv6 address in brackets keeps its
// colons, and a host with other colons is returned unchanged.
func stripPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i <= 0 || strings.Trim(host[i+1:], "0123456789") != "" {
		return host
	}
	if strings.IndexByte(host, ':') != i && host[i-1] != ']' {
		return host
	}
	return host[:i]
}

// appendLowerASCII appends s to dst with ASCII letters in lower case. Host names
// are case-insensitive in ASCII only, and bytes that are not valid UTF-8 must
// stay distinct.
func appendLowerASCII(dst []byte, s string) []byte {
	for i := range len(s) {
		c := s[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		dst = append(dst, c)
	}
	return dst
}
