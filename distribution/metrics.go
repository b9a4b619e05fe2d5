package distribution

import (
	"peathollow/internal/exporter"
	"peathollow/registry"
)

// EmitListMetrics emits the metrics of the list of searchers that a replica holds.
func EmitListMetrics(replica *Replica, emit exporter.Emit) {
	var listed, silent, draining int
	var complete bool
	replica.WithRegistry(func(r *registry.Registry) bool {
		complete = r.Complete()
		for e := range r.All() {
			if Reserved(e.Plant) {
				continue
			}
			listed++
			if e.Silent {
				silent++
			}
			if e.State == registry.Draining {
				draining++
			}
		}
		return false
	})
	emit("searchers_listed", float64(listed))
	emit("searchers_silent", float64(silent))
	emit("searchers_draining", float64(draining))
	emit("list_complete", exporter.BoolValue(complete))
}
