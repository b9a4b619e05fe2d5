package localsystem

import (
	"encoding/json"
)

// Config returns a configuration with a fan-out route and a single-service route. From version 2 on it also has the
// route /later/.
func Config(version int) []byte {
	route := func(name string, fields map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "path-prefix": "/" + name + "/", "mode": "idempotent", "horizon-ms": 2000,
			"setpoint-ms": 200, "rank": 1, "retries": 2}
		for k, v := range fields {
			r[k] = v
		}
		return r
	}
	names := shardNames()
	services := []map[string]any{{"name": single, "probe-path": "/health", "conn-limit": 100}}
	for _, name := range names {
		services = append(services, map[string]any{"name": name, "probe-path": "/health", "conn-limit": 100})
	}
	routes := []map[string]any{
		route("fan", map[string]any{"fan-out": names, "top-k": topK, "min-coverage": 0.6}),
		route("single", map[string]any{"plant": single, "mode": "non_idempotent", "rank": 0}),
	}
	if version > 1 {
		routes = append(routes, route("later", map[string]any{"plant": single}))
	}
	encoded, err := json.MarshalIndent(map[string]any{"config-version": version, "routes": routes, "plants": services}, "", "  ")
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return encoded
}
