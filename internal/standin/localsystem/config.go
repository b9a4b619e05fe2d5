package localsystem

import (
	"encoding/json"
)

// Config is the operator's configuration: a fan-out and a single service; from version 2 on also a route /later/.
func Config(version int) []byte {
	route := func(name string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "path-prefix": "/" + name + "/", "mode": "idempotent", "horizon-ms": 2000,
			"setpoint-ms": 200, "rank": 1, "retries": 2}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	names := shardNames()
	plants := []map[string]any{{"name": single, "probe-path": "/health", "conn-limit": 100}}
	for _, name := range names {
		plants = append(plants, map[string]any{"name": name, "probe-path": "/health", "conn-limit": 100})
	}
	routes := []map[string]any{
		route("fan", map[string]any{"fan-out": names, "top-k": topK, "min-coverage": 0.6}),
		route("single", map[string]any{"plant": single, "mode": "non_idempotent", "rank": 0}),
	}
	if version > 1 {
		routes = append(routes, route("later", map[string]any{"plant": single}))
	}
	b, err := json.MarshalIndent(map[string]any{"config-version": version, "routes": routes, "plants": plants}, "", "  ")
	if err != nil {
		panic(err) // nothing in it can fail
	}
	return b
}
