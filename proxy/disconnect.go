package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"peathollow/internal/keepalive"
)

// While a request is being answered, net/http detects that its client has disconnected by reading from the connection. If the
// client has already sent its next request, that read returns those bytes and net/http reads no further, so the end of the
// connection goes unnoticed behind them. Therefore the proxy polls the connection of a long-running request itself.

// disconnectPollInterval is how often the connection of a request in flight is polled.
const disconnectPollInterval = 250 * time.Millisecond

type connectionKey struct{}

// withConnection stores the connection in the context of its requests; see http.Server.ConnContext.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// clientDisconnected reports whether the client of a request has closed or reset its connection, even behind unread bytes.
func clientDisconnected(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*timeoutConn)
	return ok && keepalive.PeerClosed(c.Conn)
}
