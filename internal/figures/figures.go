// Package figures serves what a process tells of itself as text, in the exposition format that Prometheus reads. Figures
// are collected when they are asked for, so that they cost nothing in between.
package figures

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peathollow/internal/invariant"
)

// Label is one label of a figure.
type Label struct{ Name, Value string }

// Emit tells one figure. A name that ends in _total is a counter's, any other a gauge's; units stand in the name.
type Emit func(name string, value float64, labels ...Label)

// Truth gives a condition as a figure.
func Truth(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// Source tells the figures of the moment.
type Source func(Emit)

// Address is where figures are served: PORT/PATH, as the deploy file names it.
type Address struct {
	Port int
	Path string
}

// ParseAddress reads PORT/PATH.
func ParseAddress(text string) (Address, error) {
	port, path, _ := strings.Cut(text, "/")
	n, err := strconv.Atoi(port)
	if err != nil || n < 1 || n > 65535 || path == "" {
		return Address{}, errors.Errorf("metrics %q: expected PORT/PATH, such as 9464/metrics", text)
	}
	return Address{n, "/" + path}, nil
}

const (
	prefix        = "peathollow_"
	headerTimeout = 2 * time.Second
	writeTimeout  = 5 * time.Second
	idleTimeout   = 30 * time.Second
	headerMost    = 8 << 10
)

// ServeFor serves the figures of a process until ctx ends, where an address was given. Without them the process serves
// on; why is logged.
func ServeFor(ctx context.Context, l *log.Logger, ip string, at Address, source Source) {
	if at == (Address{}) {
		return
	}
	if err := Serve(ctx, ip, at, source); err != nil && ctx.Err() == nil {
		l.Error().Str("event", "metrics").Err(err).Msg("")
	}
}

// Serve tells the figures of a source at an address of this machine until ctx ends.
func Serve(ctx context.Context, ip string, at Address, source Source) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(at.Port)))
	if err != nil {
		return errors.Wrap(err, "listen, metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+at.Path, Handler(source))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerMost}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	return errors.Wrap(server.Serve(ln), "serve, metrics")
}

// Handler answers with the figures of a source and the violations of invariants.
func Handler(source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{source})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

// collector is a source as the library takes it. Which figures there are shows as they are collected.
type collector struct{ source Source }

// Describe announces nothing.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect tells all figures.
func (c collector) Collect(out chan<- prometheus.Metric) {
	emit := func(name string, value float64, labels ...Label) {
		names, values := make([]string, len(labels)), make([]string, len(labels))
		for i, l := range labels {
			names[i], values[i] = l.Name, l.Value
		}
		kind := prometheus.GaugeValue
		if strings.HasSuffix(name, "_total") {
			kind = prometheus.CounterValue
		}
		description := prometheus.NewDesc(prefix+name, "See docs/on-call.md.", names, nil)
		out <- prometheus.MustNewConstMetric(description, kind, value, values...)
	}
	c.source(emit)
	for name, n := range invariant.Counts() {
		emit("invariant_violations_total", float64(n), Label{"name", string(name)})
	}
}
