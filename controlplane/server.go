package controlplane

import (
	"net/http"
	"time"
)

// Bounds on a connection to a door. Callers turn elsewhere after a second, or a few for a large body.
const (
	headMost   = 2 * time.Second
	callerMost = 10 * time.Second // for its body to come
	answerMost = 20 * time.Second // from the end of its head until the answer is taken
	restMost   = 30 * time.Second
	headBytes  = 8 << 10
)

// newServer makes the server of the doors.
func newServer(doors http.Handler) *http.Server {
	return &http.Server{Handler: doors, ReadHeaderTimeout: headMost, ReadTimeout: callerMost, WriteTimeout: answerMost,
		IdleTimeout: restMost, MaxHeaderBytes: headBytes}
}
