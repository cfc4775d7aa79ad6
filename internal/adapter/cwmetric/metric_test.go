package cwmetric_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwmetric"
	"currantward/internal/core/cwaccounting"
	"currantward/internal/core/cwmodel"
)

// TestLabelsAreBounded guards against a number of time series that grows with the profiles and teams.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	m := cwmetric.New(2)
	for _, profile := range []cwmodel.ProfileName{"a", "b", "c", "a", "d"} {
		m.ObserveResponse(cwaccounting.Event{Profile: profile, Team: "t", Response: cwmodel.Response{Outcome: cwmodel.OutcomeDone}}, cwmodel.ClassUrgent)
	}
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body := recorder.Body.String()
	for _, want := range []string{`profile="a",reason="",team="t"} 2`, `profile="b",reason="",team="t"} 1`, `profile="other",reason="",team="other"} 2`} {
		is.True(strings.Contains(body, want)) // responses beyond the maximum are counted under the overflow label, none is lost
	}
	is.True(!strings.Contains(body, `profile="c"`))
}
