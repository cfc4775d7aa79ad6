package cwscheduler_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/app/cwscheduler"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
)

// TestResubmissionAfterResponse guards against a late cancellation that also ends a later submission of the task.
// It happens if CancelExisting arrives after the scheduler has already responded; only Cancel may have that effect.
func TestResubmissionAfterResponse(t *testing.T) {
	cases := []struct {
		name   string
		cancel func(s *cwscheduler.Scheduler, id cwmodel.TaskID) error
		reason cwmodel.Reason // of the second response
	}{
		{"cancelled while its response is sent", func(s *cwscheduler.Scheduler, id cwmodel.TaskID) error {
			return s.CancelExisting(context.Background(), id)
		}, cwmodel.ReasonUnknownProfile},
		{"cancelled by its caller", func(s *cwscheduler.Scheduler, id cwmodel.TaskID) error {
			return s.Cancel(context.Background(), id)
		}, cwmodel.ReasonCancelled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timer, stopTimer := cwtimer.New()
			defer stopTimer()
			s, stop := cwscheduler.New(cwscheduler.Options{
				Timer: timer, Log: cwlog.Discard(), InboxSize: 16, TickEvery: time.Hour, SendOrder: func(cwdecider.Action) {},
			})
			defer stop()
			responses := make(chan cwmodel.Response, 2)
			submit := func() {
				is.True(s.Submit(cwmodel.Task{ID: "task", Profile: "none"}, func(r cwmodel.Response) { responses <- r }))
			}
			submit()
			is.Equal((<-responses).Reason, cwmodel.ReasonUnknownProfile)
			is.NoErr(c.cancel(s, "task"))
			submit()
			is.Equal((<-responses).Reason, c.reason)
		})
	}
}
