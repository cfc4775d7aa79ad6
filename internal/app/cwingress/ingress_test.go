package cwingress_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/app/cwingress"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/core/cwroute"
	"currantward/internal/port/cwport"
)

// fixture is one Ingress with fake ports that record their calls.
type fixture struct {
	ingress     *cwingress.Ingress
	hasCapacity bool
	local       cwmodel.Response    // response of the scheduler of this host
	peers       []cwport.LoadReport // load reports of the peers
	refusals    int                 // number of forwards that peers refuse
	forwardErr  error               // error of every forward
	submitted   int                 // tasks submitted to the scheduler of this host
	forwards    []int               // mode of each forward: 1 to start at once, 2 may queue
}

// start starts the Ingress with one profile "p" and one team "t"; it stops at the end of the test.
func (f *fixture) start(t *testing.T) {
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	cfg := &cwpolicy.Configuration{
		Version: 1, Profiles: []cwpolicy.Profile{{Name: "p", Kind: cwmodel.KindRequest, Deadline: time.Minute, Demand: cwmodel.Resources{Slots: 1}}},
		Teams: []cwpolicy.Team{{Name: "t"}},
	}
	ingress, stop := cwingress.New(cwingress.Options{
		Timer: timer, Log: cwlog.Discard(), Route: cwroute.Options{DataCentre: "here", SentLoadTTL: time.Hour},
		Peers: cwport.Peers{Forward: func(_ context.Context, _ netip.AddrPort, task cwmodel.Task, hops int) (cwmodel.Response, error) {
			f.forwards = append(f.forwards, hops)
			if f.forwardErr != nil {
				return cwmodel.Response{}, f.forwardErr
			}
			if len(f.forwards) <= f.refusals {
				return cwmodel.Response{}, cwfault.New(cwfault.Unavailable, "no room")
			}
			return cwmodel.Response{Task: task.ID, Outcome: cwmodel.OutcomeDone, Worker: "elsewhere"}, nil
		}},
		Configuration: func() *cwpolicy.Configuration { return cfg },
		Submit: func(task cwmodel.Task, reply func(cwmodel.Response)) bool {
			f.submitted++
			f.local.Task = task.ID
			reply(f.local)
			return true
		},
		Cancel:      func(context.Context, cwmodel.TaskID) error { return nil },
		HasCapacity: func(cwmodel.Resources) bool { return f.hasCapacity },
		LoadReports: func() []cwport.LoadReport { return f.peers },
		OnResponse:  func(cwmodel.Request, cwmodel.Response, time.Duration) {},
	})
	t.Cleanup(stop)
	f.ingress = ingress
}

// loadReport returns the load report of a peer in the same data centre with one worker, which has the given number of free slots.
func loadReport(host cwmodel.HostID, free int64) cwport.LoadReport {
	return cwport.LoadReport{Host: host, DataCentre: "here", Workers: 1, Free: cwmodel.Resources{Slots: free}, LargestFree: cwmodel.Resources{Slots: free}}
}

// TestRouting guards against a request that runs twice or not at all although a host has free capacity: it must run locally if it can,
// else at one peer, and a lost response of a peer must not lead to a second run.
func TestRouting(t *testing.T) {
	done := cwmodel.Response{Outcome: cwmodel.OutcomeDone}
	noWorkers := cwmodel.Response{Outcome: cwmodel.OutcomeNotRun, Reason: cwmodel.ReasonNoWorkers}
	withCapacity := []cwport.LoadReport{loadReport("a", 4), loadReport("b", 4), loadReport("c", 4), loadReport("d", 4)}
	full := []cwport.LoadReport{loadReport("a", 0)}
	cases := []struct {
		name      string
		fixture   fixture
		outcome   cwmodel.Outcome
		submitted int
		forwards  []int
	}{
		{"capacity here", fixture{hasCapacity: true, local: done, peers: withCapacity}, cwmodel.OutcomeDone, 1, nil},
		{"capacity at a peer", fixture{local: done, peers: withCapacity}, cwmodel.OutcomeDone, 0, []int{1}},
		{"no capacity anywhere", fixture{local: done, peers: full}, cwmodel.OutcomeDone, 1, nil},
		{"after a refusal another peer is tried", fixture{local: done, peers: withCapacity, refusals: 1}, cwmodel.OutcomeDone, 0, []int{1, 1}},
		{"runs here after all peers refused", fixture{local: done, peers: withCapacity, refusals: 9}, cwmodel.OutcomeDone, 1, []int{1, 1, 1}},
		{"a lost response leaves the outcome unknown and nothing else runs", fixture{local: done, peers: withCapacity, forwardErr: cwfault.New(cwfault.Indefinite, "lost")}, cwmodel.OutcomeUnknown, 0, []int{1}},
		{"no workers here and no free peer: a peer queues it", fixture{local: noWorkers, peers: full}, cwmodel.OutcomeDone, 1, []int{2}},
		{"no workers here and no peer", fixture{local: noWorkers}, cwmodel.OutcomeNotRun, 1, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := c.fixture
			f.start(t)
			response := f.ingress.Run(context.Background(), cwmodel.Request{Profile: "p", Team: "t"})
			is.Equal(response.Outcome, c.outcome)
			is.Equal(f.submitted, c.submitted)
			is.Equal(f.forwards, c.forwards)
			is.Equal(f.ingress.InFlight(), 0)
		})
	}
}

// TestRunForwarded guards against a forwarded request that is queued behind others although the peer expected an immediate start,
// is forwarded again, or runs twice because the transport repeated the call.
func TestRunForwarded(t *testing.T) {
	cases := []struct {
		name        string
		hops        int
		hasCapacity bool
		draining    bool
		profile     cwmodel.ProfileName
		twice       bool
		code        cwfault.Code
	}{
		{"capacity", 1, true, false, "p", false, ""},
		{"no capacity", 1, false, false, "p", false, cwfault.Unavailable},
		{"no capacity, but may be queued", 2, false, false, "p", false, ""},
		{"too many hops", 3, true, false, "p", false, cwfault.Unavailable},
		{"draining", 1, true, true, "p", false, cwfault.Unavailable},
		{"profile not known yet", 1, true, false, "q", false, cwfault.Unavailable},
		{"the same task again", 1, true, false, "p", true, cwfault.Indefinite},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := fixture{hasCapacity: c.hasCapacity, local: cwmodel.Response{Outcome: cwmodel.OutcomeDone}, peers: []cwport.LoadReport{loadReport("a", 4)}}
			f.start(t)
			if c.draining {
				f.ingress.BeginDrain()
			}
			task := cwmodel.Task{ID: "task", Profile: c.profile, Demand: cwmodel.Resources{Slots: 1}, Deadline: time.Now().Add(time.Minute)}
			if c.twice {
				_, err := f.ingress.RunForwarded(context.Background(), task, c.hops)
				is.NoErr(err)
				f.submitted = 0
			}
			_, err := f.ingress.RunForwarded(context.Background(), task, c.hops)
			is.Equal(cwfault.CodeOf(err), c.code)
			is.Equal(f.submitted == 1, c.code == "") // runs here and only here
			is.Equal(len(f.forwards), 0)
		})
	}
}

// TestDrainingServesCallersUntilClosed guards against a host that refuses its callers as soon as it starts to drain,
// while load balancers still send it requests.
func TestDrainingServesCallersUntilClosed(t *testing.T) {
	is := is.New(t)
	f := fixture{hasCapacity: true, local: cwmodel.Response{Outcome: cwmodel.OutcomeDone}}
	f.start(t)
	f.ingress.BeginDrain()
	is.True(f.ingress.Draining())
	is.Equal(f.ingress.Run(context.Background(), cwmodel.Request{Profile: "p", Team: "t"}).Outcome, cwmodel.OutcomeDone)
	f.ingress.Close()
	response := f.ingress.Run(context.Background(), cwmodel.Request{Profile: "p", Team: "t"})
	is.Equal(response.Outcome, cwmodel.OutcomeNotRun)
	is.Equal(response.Reason, cwmodel.ReasonShuttingDown)
}
