package manifest

import (
	"bytes"
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// MaxBytes is the maximum size of a document. Several hundred routes take about
// a tenth of a MiB.
const MaxBytes = 4 << 20

// maxValues is the maximum number of values in a document, estimated by counting
// commas. The parser allocates about 450 bytes per value, so a document of
// MaxBytes made of the shortest values would exhaust the machine's memory. A
// route takes about a dozen values.
const maxValues = 100_000

// ValidationError is the error returned by Parse. Path is the key with the
// invalid value and Reason states what was expected there. Path is empty when the
// document as a whole is invalid.
type ValidationError struct{ Path, Reason string }

// Error returns the reason, preceded by the path if there is one.
func (e *ValidationError) Error() string {
	if e.Path == "" {
		return "configuration: " + e.Reason
	}
	return "configuration: " + e.Path + ": " + e.Reason
}

// Parse reads and validates a complete configuration. Its error is a
// *ValidationError. It rejects only what the specification declares invalid and
// what cannot be carried out. Unknown fields are ignored, and absent optional
// fields take their defaults. Parse keeps a copy of raw.
func Parse(raw []byte) (*Manifest, error) {
	if len(raw) > MaxBytes {
		return nil, &ValidationError{"", fmt.Sprintf("expected at most %d bytes, got %d", MaxBytes, len(raw))}
	}
	if n := bytes.Count(raw, []byte(",")); n > maxValues {
		return nil, &ValidationError{"", fmt.Sprintf("expected at most %d values", maxValues)}
	}
	// The parser is not pooled: a pooled one would retain the memory of the
	// largest document it has parsed.
	var parser fastjson.Parser
	doc, err := parser.ParseBytes(raw)
	if err == nil {
		// The parser alone accepts malformed numbers and control characters.
		err = fastjson.ValidateBytes(raw)
	}
	if err != nil {
		return nil, &ValidationError{"", "expected one whole JSON document: " + truncate(rootCause(err))}
	}
	r := reader{}
	m := r.manifest(node{v: doc})
	if r.err != nil {
		return nil, r.err
	}
	m.Raw = bytes.Clone(raw)
	return m, nil
}

// rootCause returns the innermost message of a parser error. The parser prefixes
// it with another "cannot parse ..." for each level of nesting.
func rootCause(err error) string {
	message := err.Error()
	for strings.HasPrefix(message, "cannot parse ") {
		_, inner, ok := strings.Cut(message, ": ")
		if !ok {
			break
		}
		message = inner
	}
	return message
}

// manifest reads the whole document. It reads the services first because the
// routes are checked against them.
func (r *reader) manifest(doc node) *Manifest {
	if doc.v.Type() != fastjson.TypeObject {
		r.fail(doc, "expected an object")
		return nil
	}
	m := &Manifest{Services: make(map[string]*Service)}
	m.Version = r.version(doc.member("config-version"))
	for _, n := range r.array(doc.member("plants"), true) {
		service := r.service(n)
		if m.Services[service.Name] != nil {
			r.fail(n.member("name"), fmt.Sprintf("expected a name that no other service has, got %q again", service.Name))
		}
		m.Services[service.Name] = service
	}
	routes := r.array(doc.member("routes"), true)
	for i, n := range routes {
		m.Routes = append(m.Routes, r.route(n, i, m.Services))
	}
	m.Limits = r.limits(doc.member("limits"))
	if r.err != nil {
		return nil
	}
	if duplicate := m.buildIndex(); duplicate != nil {
		r.fail(routes[duplicate.Index].member("path-prefix"),
			fmt.Sprintf("expected a host and prefix that no other route has, got %s%s again", duplicate.Host, duplicate.Prefix))
	}
	return m
}

// service reads the configuration of one service.
func (r *reader) service(n node) *Service {
	service := &Service{
		Name:      r.text(n.member("name"), ""),
		ProbePath: r.text(n.member("probe-path"), ""),
		ConnLimit: r.count(n.member("conn-limit"), 0),
		Protocol:  r.text(n.member("protocol"), "h1"),
		TLS:       r.boolean(n.member("tls")),
	}
	if service.Name == "" {
		r.fail(n.member("name"), "expected the service's name")
	}
	return service
}

// route reads the route at the given position of the list of routes.
func (r *reader) route(n node, index int, services map[string]*Service) *Route {
	route := &Route{
		Name:        r.text(n.member("name"), ""),
		Host:        string(appendLowerASCII(nil, stripPort(r.text(n.member("host"), "")))),
		Prefix:      r.text(n.member("path-prefix"), ""),
		Horizon:     r.duration(n.member("horizon-ms"), 0),
		Rank:        r.count(n.member("rank"), 0),
		Retries:     max(1, r.count(n.member("retries"), 1)), // with 0 no request of the route would ever be answered
		TopK:        r.count(n.member("top-k"), 0),
		MinCoverage: r.number(n.member("min-coverage"), 1),
		Index:       index,
	}
	if route.Host == "" {
		r.fail(n.member("host"), "expected the name of a host")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		r.fail(n.member("path-prefix"), fmt.Sprintf("expected a path that begins and ends with a slash, got %q", truncate(route.Prefix)))
	}
	switch mode := r.text(n.member("mode"), ""); mode {
	case "idempotent":
		route.Idempotent = true
	case "non_idempotent":
	default:
		r.fail(n.member("mode"), fmt.Sprintf("expected idempotent or non_idempotent, got %q", truncate(mode)))
	}
	if route.Horizon <= 0 {
		r.fail(n.member("horizon-ms"), "expected a number of milliseconds above 0")
	}
	if route.Setpoint = r.duration(n.member("setpoint-ms"), 0); route.Setpoint == 0 {
		route.Setpoint = route.Horizon
	}
	if !(route.MinCoverage >= 0 && route.MinCoverage <= 1) {
		r.fail(n.member("min-coverage"), "expected a share from 0 to 1")
	}
	r.target(n, route, services)
	return route
}

// target reads the target of a route, which is one of three kinds: a single
// service, a weighted distribution or a fan-out. An empty plant or list counts as
// absent.
func (r *reader) target(n node, route *Route, services map[string]*Service) {
	// knownService returns the name as stored in services, so that the routes do
	// not each hold a copy of it.
	knownService := func(at node) string {
		name := r.text(at, "")
		service := services[name]
		if service == nil {
			r.fail(at, fmt.Sprintf("expected a service that plants holds, got %q", truncate(name)))
			return ""
		}
		return service.Name
	}
	targets := 0
	if r.text(n.member("plant"), "") != "" {
		targets++
		route.Plant = knownService(n.member("plant"))
	}
	if list := r.array(n.member("distribution"), false); len(list) > 0 {
		targets++
		route.Split = r.split(n.member("distribution"), list, knownService)
	}
	if list := r.array(n.member("fan-out"), false); len(list) > 0 {
		targets++
		seen := make(map[string]bool, len(list))
		for _, at := range list {
			name := knownService(at)
			if seen[name] {
				r.fail(at, fmt.Sprintf("expected each shard once, got %q again", name))
			}
			seen[name] = true
			route.FanOut = append(route.FanOut, name)
		}
		if !route.Idempotent {
			r.fail(n.member("mode"), "expected idempotent for a fan-out")
		}
	}
	if targets != 1 {
		r.fail(n, fmt.Sprintf("expected one of plant, distribution and fan-out, got %d of them", targets))
	}
}

// split reads the weighted services of a distribution.
func (r *reader) split(at node, list []node, knownService func(node) string) []WeightedService {
	shares, sum := make([]WeightedService, len(list)), 0.0
	for i, n := range list {
		shares[i] = WeightedService{knownService(n.member("plant")), r.number(n.member("gain"), -1)}
		if shares[i].Gain < 0 {
			r.fail(n.member("gain"), "expected a number of 0 or more")
		}
		sum += shares[i].Gain
	}
	if !(sum > 0 && sum <= maxNumber) {
		r.fail(at, "expected gains whose sum is above 0 and finite")
	}
	return shares
}

// limits reads the limits for clients. A body limit of 0 forbids bodies. For the
// other limits 0 would reject every client, and selects the default instead.
func (r *reader) limits(n node) Limits {
	if n.v != nil && n.v.Type() != fastjson.TypeObject {
		r.fail(n, "expected an object, got "+n.v.Type().String())
	}
	l := Limits{
		HeaderBytes:   r.count(n.member("max-header-bytes"), 0),
		BodyBytes:     r.count(n.member("max-body-bytes"), 262144),
		HeaderTimeout: r.duration(n.member("header-timeout-ms"), 0),
		IdleTimeout:   r.duration(n.member("idle-timeout-ms"), 0),
	}
	l.HeaderBytes = cmp.Or(l.HeaderBytes, 16384)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, 3*time.Second)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, 15*time.Second)
	return l
}
