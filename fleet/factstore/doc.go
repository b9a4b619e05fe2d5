// Package factstore is a replicated store of what instances report about themselves: facts, of which the newest version wins,
// and counters that only grow. Stores that have merged the same pieces hold the same data, whatever their order, delay or
// duplication; a restart neither removes data nor brings old data back. The package has no I/O, clock or goroutine: data
// to send is returned as bytes of a bounded size, and the caller transports them (internal/member in service). Which peers
// to accept data from, and for how long, is decided by fleet/view. The number of entries is bounded by the settings.
package factstore
