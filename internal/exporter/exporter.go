// Package exporter serves the metrics of a process in the Prometheus text exposition format. Metrics are collected when they
// are scraped, so that they cost nothing in between.
package exporter

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peathollow/internal/invariant"
)

// Label is one label of a metric.
type Label struct{ Name, Value string }

// Emit reports the value of one metric. A name that ends in _total is a counter's, any other a gauge's. Units are part of the
// name.
type Emit func(name string, value float64, labels ...Label)

// BoolValue converts a condition to a metric's value: 1 if it holds, 0 otherwise.
func BoolValue(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// Source emits the current metrics of a process.
type Source func(Emit)

// Address is the port and path at which metrics are served, written as PORT/PATH in the deployment file.
type Address struct {
	Port int
	Path string
}

// ParseAddress parses an address written as PORT/PATH.
func ParseAddress(text string) (Address, error) {
	port, path, _ := strings.Cut(text, "/")
	n, err := strconv.Atoi(port)
	if err != nil || n < 1 || n > 65535 || path == "" {
		return Address{}, errors.Errorf("metrics %q: expected PORT/PATH, such as 9464/metrics", text)
	}
	return Address{n, "/" + path}, nil
}

const (
	prefix         = "peathollow_"
	headerTimeout  = 2 * time.Second
	writeTimeout   = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// ServeIfConfigured serves the metrics of a process until ctx ends, unless the address is empty. A failure is logged and
// doesn't affect the process otherwise.
func ServeIfConfigured(ctx context.Context, logger *log.Logger, ip string, address Address, source Source) {
	if address == (Address{}) {
		return
	}
	if err := Serve(ctx, ip, address, source); err != nil && ctx.Err() == nil {
		logger.Error().Str("event", "metrics").Err(err).Msg("")
	}
}

// Serve serves the metrics of a source at an address of this machine until ctx ends.
func Serve(ctx context.Context, ip string, address Address, source Source) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(address.Port)))
	if err != nil {
		return errors.Wrap(err, "listen, metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+address.Path, Handler(source))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	return errors.Wrap(server.Serve(ln), "serve, metrics")
}

// Handler returns a handler that serves the metrics of a source and the counts of invariant violations.
func Handler(source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{source})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
}

// collector adapts a source to the Prometheus library. It is unchecked: its set of metrics is known only when they are
// collected.
type collector struct{ source Source }

// Describe sends no descriptions, which makes the collector unchecked.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends all metrics.
func (c collector) Collect(out chan<- prometheus.Metric) {
	emit := func(name string, value float64, labels ...Label) {
		names, values := make([]string, len(labels)), make([]string, len(labels))
		for i, l := range labels {
			names[i], values[i] = l.Name, labelValue(l.Value)
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

// labelValue returns a value that a label can have, which is UTF-8. Another one is quoted.
func labelValue(value string) string {
	if utf8.ValidString(value) {
		return value
	}
	return strconv.QuoteToASCII(value)
}
