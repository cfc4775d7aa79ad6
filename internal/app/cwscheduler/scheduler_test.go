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

func TestSubmissionAfterATaskWasAnswered(t *testing.T) {
	cases := []struct {
		name   string
		end    func(s *cwscheduler.Scheduler, id cwmodel.TaskID) error
		reason cwmodel.Reason // of the second answer
	}{
		{"withdrawn in the moment of its answer", func(s *cwscheduler.Scheduler, id cwmodel.TaskID) error {
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
			answers := make(chan cwmodel.Response, 2)
			submit := func() {
				is.True(s.Submit(cwmodel.Task{ID: "task", Profile: "none"}, func(a cwmodel.Response) { answers <- a }))
			}
			submit()
			is.Equal((<-answers).Reason, cwmodel.ReasonUnknownProfile)
			is.NoErr(c.end(s, "task"))
			submit()
			is.Equal((<-answers).Reason, c.reason)
		})
	}
}
