package exporter

import (
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"peathollow/internal/invariant"
)

func TestParseAddress(t *testing.T) {
	address, err := ParseAddress("9464/metrics")
	must.NoError(t, err)
	must.Eq(t, Address{9464, "/metrics"}, address)
	for _, bad := range []string{"", "9464", "9464/", "/metrics", "0/metrics", "70000/m", "x/metrics"} {
		_, err := ParseAddress(bad)
		must.ErrorContains(t, err, "PORT/PATH", must.Sprint(bad))
	}
}

// TestViolationsAreExported checks that the metrics of every process include invariant violations.
func TestViolationsAreExported(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(false))
	invariant.Violated(invariant.VersionMonotonic, "a test")
	response := httptest.NewRecorder()
	Handler(func(emit Emit) { emit("searchers_listed", 4) }).ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	must.StrContains(t, response.Body.String(), "peathollow_searchers_listed 4")
	must.StrContains(t, response.Body.String(), `peathollow_invariant_violations_total{name="version_rises"} 1`)
}

// TestLabelsOfAnyName guards against a name that is not UTF-8 and keeps a process from reporting any metric.
func TestLabelsOfAnyName(t *testing.T) {
	response := httptest.NewRecorder()
	handler := Handler(func(emit Emit) {
		for _, service := range []string{"a,b", "\xff", "é\"\n"} {
			emit("dispatches_total", 1, Label{"service", service})
		}
	})
	handler.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	must.Eq(t, 200, response.Code)
	for _, want := range []string{`{service="a,b"} 1`, `{service="\"\\xff\""} 1`, `{service="é\"\n"} 1`} {
		must.StrContains(t, response.Body.String(), want)
	}
}
