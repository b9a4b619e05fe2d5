package client_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/client"
)

const document = `{
  "config-version": 7,
  "routes": [
    {"name": "r0", "host": "a.example", "path-prefix": "/a/", "mode": "idempotent",
     "horizon-ms": 1200, "fan-out": ["s0",
       "s1"], "top-k": 10, "min-coverage": 0.6},
    {"name": "r1", "host": "a.example", "path-prefix": "/b/",
     "mode": "non_idempotent", "horizon-ms": 4000, "plant": "s0"}
  ],
  "plants": [{"name": "s0"}, {"name": "s1", "conn-limit": 5}]
}
`

func TestCheckNamesKeyAndLine(t *testing.T) {
	for _, c := range []struct{ old, new, message string }{
		{`"plant": "s0"`, `"plant": "s9"`, `f:8: routes[1].plant: expected a service that plants holds, got "s9"`},
		{`"s1"]`, `"s9"]`, "f:6: routes[0].fan-out[1]: expected a service"},
		{`"horizon-ms": 4000`, `"horizon-ms": 0`, "f:8: routes[1].horizon-ms: expected"},
		{`"horizon-ms": 4000, `, ``, "f:7: routes[1].horizon-ms: expected"}, // a missing key is reported where its route begins
		{`"/b/"`, `"/a/"`, "f:7: routes[1].path-prefix: expected a host and prefix that no other route has"},
		{`"conn-limit": 5`, `"conn-limit": -5`, "f:10: plants[1].conn-limit: expected"},
		{`"config-version": 7`, `"config-version": 0`, "f:2: config-version: expected"},
		{`"s1", "conn-limit": 5}]`, `"s1"`, "f:11: expected one whole JSON document"},
		{`"routes": [`, `"routes": {"deep": {"routes": []}}, "ways": [`, "f:3: routes: expected a list"},
	} {
		must.StrContains(t, document, c.old)
		_, err := client.Check("f", []byte(strings.Replace(document, c.old, c.new, 1)))
		must.ErrorContains(t, err, c.message)
	}
	m, err := client.Check("f", []byte(document))
	must.NoError(t, err)
	must.Eq(t, 7, m.Version)
}
