package cwcellmetric

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/app/cwcellowner"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwwork"
)

// TestLabelsAreBounded checks that the queues above the limit share one label, and the labels of calls by outcome.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	for n := range 2 * maxQueues {
		m.ObserveEvent(cwcellowner.Observation{
			Event: cwcellowner.EventEnded, Queue: cwwork.QueueName(fmt.Sprintf("q%d", n)), State: cwwork.StateCompleted, Duration: time.Second,
		})
	}
	m.ObserveCall("commit", cwfault.New(cwfault.Conflict, "no"))
	m.ObserveRequest("GET", "q1", 200, time.Millisecond)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := w.Body.String()
	is.True(strings.Contains(text, fmt.Sprintf(`currantward_job_seconds_count{queue="other",state="completed"} %d`, maxQueues)))
	is.True(strings.Contains(text, `currantward_platform_calls_total{call="commit",outcome="conflict"} 1`))
	is.Equal(strings.Count(text, "currantward_job_seconds_count"), maxQueues+1)
}
