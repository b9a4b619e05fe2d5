// Package share holds what instances tell each other of themselves: facts, of which the newest counts, and counts that
// only grow. Two stores that have met the same pieces hold the same, in whatever order, however often and late these
// came; a restart never takes away nor brings back. It decides only: no I/O, no clock, no goroutine; what is to be told
// comes out as bytes of a bounded size, and whoever calls it carries them (internal/member in service). Whom to believe
// and for how long is not its business but fleet/view's. It holds no more entries than its settings allow.
package share
