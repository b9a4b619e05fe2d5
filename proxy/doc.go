// Package proxy implements the proxy process. It receives clients' requests over HTTP/1.1, passes them to package
// request, which makes the routing decisions, and carries out the resulting actions on sockets. It learns the searchers
// and the configuration from the agent on its machine. Apart from its own limits it makes no decisions and it stores
// nothing on disk. While its agent or the whole control plane is unavailable, it keeps serving with the last known state.
package proxy
