package controlplane

import (
	"net/http"
	"time"
)

// Bounds on a connection to an endpoint. Callers turn to another machine after one second, or a few for a large body.
const (
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 10 * time.Second // until the whole request is read
	writeTimeout      = 20 * time.Second // from the end of the request header until the answer is written
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 8 << 10
)

// newServer returns the HTTP server of the endpoints.
func newServer(endpoints http.Handler) *http.Server {
	return &http.Server{Handler: endpoints, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}
