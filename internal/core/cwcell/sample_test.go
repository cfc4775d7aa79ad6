package cwcell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// TestQuestionsNameWorkersThatWouldHelp holds about which workers a group asks.
func TestQuestionsNameWorkersThatWouldHelp(t *testing.T) {
	cases := []struct {
		name   string
		step   cwwork.Step
		full   int // workers without room
		idle   int
		names  int // workers named by the first question
		filled int // of those, the ones without room
	}{
		{"tasks pass over full workers", step(1, 4000, false), 30, smallestSample, smallestSample, 0},
		{"tasks ask once though all are full", step(1, 4000, false), 20, 0, smallestSample, smallestSample},
		{"many tasks ask about more", step(16, 4000, false), 0, 40, 16 * taskMargin, 0},
		{"a gang asks about workers that could hold it", step(8, 4000, true), 30, 0, 24, 24},
		{"a gang prefers workers with room", step(8, 4000, true), 30, 10, 24, 14},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var ids []cwmodel.HostID
			for n := range tc.full {
				ids = append(ids, cwmodel.HostID(fmt.Sprintf("full%02d", n)))
			}
			f := newFixture(ids, plain)
			f.admit(step(tc.full+1, 8000, false)) // one of them waits
			is.Equal(len(f.decide().Starts), tc.full)
			for n := range tc.idle {
				f.join(cwmodel.HostID(fmt.Sprintf("idle%02d", n)))
			}
			f.opts.Policy = func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return advised, true }
			f.queue("q").good = goodShare{good: 900, asked: 1800 - priorWeight}
			s := &cwwork.Submission{ID: "asks", Queue: "q", Steps: []cwwork.Step{tc.step}, AcceptedAt: f.now, Policy: advised}
			f.closeGroup(f.open[0])
			f.Admit(s, nil, false, f.now, f.now)
			questions := f.decide().AdviceRequests
			is.Equal(len(questions), 1)
			is.Equal(len(questions[0].Workers), tc.names)
			filled := 0
			for _, id := range questions[0].Workers {
				if id[0] == 'f' {
					filled++
				}
			}
			is.Equal(filled, tc.filled)
		})
	}
}

// TestGangAsksForMoreOnceInAWhile holds that a gang whose good workers could hold it several times asks about others only
// after it has waited.
func TestGangAsksForMoreOnceInAWhile(t *testing.T) {
	is := is.New(t)
	var ids []cwmodel.HostID
	for n := range 40 {
		ids = append(ids, cwmodel.HostID(fmt.Sprintf("w%02d", n)))
	}
	f := newFixture(ids, plain)
	f.admit(step(len(ids), 8000, false))
	f.decide()
	f.opts.Policy = func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return advised, true }
	s := &cwwork.Submission{ID: "gang", Queue: "q", Steps: []cwwork.Step{step(4, 4000, true)}, AcceptedAt: f.now, Policy: advised}
	f.Admit(s, nil, false, f.now, f.now)
	q := f.decide().AdviceRequests[0]
	var good []EligibleWorker
	for _, id := range q.Workers {
		good = append(good, EligibleWorker{ID: id, Ticket: "t"})
	}
	f.HandleAdvice(q.ID, good, true, f.now.Add(time.Hour), f.now)
	is.Equal(len(f.decide().AdviceRequests), 0)
	is.Equal(len(f.decideAfter(breadthPeriod).AdviceRequests), 1)
}
