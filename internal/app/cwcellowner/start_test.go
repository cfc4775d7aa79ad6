package cwcellowner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestUnansweredStartStaysUnanswered checks the combined result of the attempts of one start order. If the first attempt gets
// no response and the retry is refused, the run may have started, so the result must not say that it has not.
func TestUnansweredStartStaysUnanswered(t *testing.T) {
	cases := []struct {
		name   string
		tries  []cwcell.StartResult
		result cwcell.StartResult
	}{
		{"the lease is over", nil, cwcell.StartNotSent},
		{"unanswered, then the lease is over", []cwcell.StartResult{cwcell.StartUnanswered}, cwcell.StartUnanswered},
		{"accepted", []cwcell.StartResult{cwcell.StartAccepted}, cwcell.StartAccepted},
		{"refused", []cwcell.StartResult{cwcell.StartNoCapacity}, cwcell.StartNoCapacity},
		{"not sent", []cwcell.StartResult{cwcell.StartNotSent}, cwcell.StartNotSent},
		{"accepted on the second try", []cwcell.StartResult{cwcell.StartUnanswered, cwcell.StartAccepted}, cwcell.StartAcceptedOnRetry},
		{"unanswered, then not sent", []cwcell.StartResult{cwcell.StartUnanswered, cwcell.StartNotSent}, cwcell.StartUnanswered},
		{"unanswered, then late", []cwcell.StartResult{cwcell.StartUnanswered, cwcell.StartDeadlineExceeded}, cwcell.StartUnanswered},
		{"unanswered twice", []cwcell.StartResult{cwcell.StartUnanswered, cwcell.StartUnanswered}, cwcell.StartUnanswered},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tries := 0
			s := &session{owner: &Owner{opts: Options{
				Timer:      cwtimer.NewManual(time.Unix(1000, 0)).Service,
				HoldsLease: func(time.Time) bool { return tries < len(tc.tries) },
				OwnedUntil: func(uint64) time.Time { return time.Unix(1000, 0) },
				Workers: cwcellport.Workers{
					Start: func(cwcellport.WorkerEntry, *cwcell.StartOrder, uint64, time.Duration) (cwcell.StartResult, time.Time) {
						tries++
						return tc.tries[tries-1], time.Time{}
					},
				},
			}}}
			is.Equal(s.sendStart(cwcellport.WorkerEntry{}, &cwcell.StartOrder{}).result, tc.result)
			is.Equal(tries, len(tc.tries))
		})
	}
}

// TestStartNeedsTheLeaseOfItsSession guards against a task that runs twice because an order of a session that has ended is still sent, under
// its old fence, while the same host holds a later lease.
func TestStartNeedsTheLeaseOfItsSession(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &session{owner: &Owner{opts: Options{
		Timer:      cwtimer.NewManual(now).Service,
		HoldsLease: func(time.Time) bool { return true },
		OwnedUntil: func(fence uint64) time.Time {
			if fence == 2 {
				return now
			}
			return time.Time{}
		},
		Workers: cwcellport.Workers{
			Start: func(cwcellport.WorkerEntry, *cwcell.StartOrder, uint64, time.Duration) (cwcell.StartResult, time.Time) {
				return cwcell.StartAccepted, time.Time{}
			},
		},
	}}}
	s.grant.Fence = 1
	is.Equal(s.sendStart(cwcellport.WorkerEntry{}, &cwcell.StartOrder{}).result, cwcell.StartNotSent)
	s.grant.Fence = 2
	is.Equal(s.sendStart(cwcellport.WorkerEntry{}, &cwcell.StartOrder{}).result, cwcell.StartAccepted)
}

// TestOldOrdersAreNotSent guards against a start order that a slow worker delays, behind the others of its decision, until what the decision
// relied on has changed: the worker drains, its capacity has shrunk, or the ticket has expired.
func TestOldOrdersAreNotSent(t *testing.T) {
	cases := []struct {
		name string
		took time.Duration // of each order
		sent int           // of five
	}{
		{"prompt", 10 * time.Millisecond, 5},
		{"slow", 200 * time.Millisecond, 5},
		{"too slow", 400 * time.Millisecond, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			clock := cwtimer.NewManual(time.Unix(1000, 0))
			s := &session{owner: &Owner{opts: Options{
				Timer:      clock.Service,
				HoldsLease: func(time.Time) bool { return true },
				OwnedUntil: func(uint64) time.Time { return time.Unix(1000, 0) },
				Workers: cwcellport.Workers{
					Start: func(cwcellport.WorkerEntry, *cwcell.StartOrder, uint64, time.Duration) (cwcell.StartResult, time.Time) {
						clock.Advance(tc.took)
						return cwcell.StartAccepted, time.Time{}
					},
				},
			}}}
			results := slices.Repeat([]startOutcome{{result: cwcell.StartNotSent}}, 5)
			s.sendStartsInOrder(cwcellport.WorkerEntry{}, make([]cwcell.StartOrder, 5), results, clock.Now())
			for n, result := range results {
				is.Equal(result.result == cwcell.StartAccepted, n < tc.sent)
			}
		})
	}
}

// TestStartsNeedAFreshRegistry guards against an owner that starts tasks by a registry which it could not read for long, because it was
// suspended or its watch fails: the worker may drain or have less capacity meanwhile. A division pauses the starts too.
func TestStartsNeedAFreshRegistry(t *testing.T) {
	cases := []struct {
		name     string
		age      time.Duration // since the registry was called
		dividing bool
		starts   int
	}{
		{"fresh", time.Second, false, 1},
		{"as old as allowed", maxRegistryAge, false, 1},
		{"stale", maxRegistryAge + time.Millisecond, false, 0},
		{"division", time.Second, true, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			policy := cwwork.QueuePolicy{Service: "portal", MaxAttempts: 3}
			s := &session{owner: &Owner{opts: Options{Log: cwlog.Discard()}}, cell: cwcell.New(cwcell.Options{
				Policy:      func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return policy, true },
				LeaseExpiry: func(cwmodel.HostID) time.Time { return time.Time{} },
			})}
			s.cell.UpdateWorker(cwcell.WorkerInfo{ID: "a", Service: "portal", Capacity: cwmodel.Resources{MilliProcessors: 1000}, Incarnation: now}, now)
			s.cell.MarkMembersDurable([]cwmodel.HostID{"a"})
			s.cell.HandleReport(&cwcell.Report{Worker: "a", Incarnation: now, RequestedAt: now}, now)
			s.cell.Admit(&cwwork.Submission{ID: "job", Queue: "q", Policy: policy, Steps: []cwwork.Step{{Count: 1}}, AcceptedAt: now}, nil, false, now, now)
			s.registrySentAt = now.Add(-tc.age)
			if tc.dividing {
				s.division.phaseStartedAt = now
			}
			s.updatePause(now)
			is.Equal(len(s.cell.Decide(now, now).Starts), tc.starts)
			s.registrySentAt, s.division.phaseStartedAt = now, time.Time{}
			s.updatePause(now)
			is.Equal(len(s.cell.Decide(now, now).Starts), 1-tc.starts)
		})
	}
}
