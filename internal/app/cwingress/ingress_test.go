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

// fixture is one intake with what its ports were asked for.
type fixture struct {
	intake    *cwingress.Ingress
	hasRoom   bool
	local     cwmodel.Response
	peers     []cwport.LoadReport
	refuse    int   // forwards that are refused by the peer
	lose      error // of every forward
	submitted int
	forwards  []int // hops of each
}

func (f *fixture) start(t *testing.T) {
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	cfg := &cwpolicy.Configuration{
		Version: 1, Profiles: []cwpolicy.Profile{{Name: "p", Kind: cwmodel.KindRequest, Deadline: time.Minute, Demand: cwmodel.Resources{Slots: 1}}},
		Teams: []cwpolicy.Team{{Name: "t"}},
	}
	intake, stop := cwingress.New(cwingress.Options{
		Timer: timer, Log: cwlog.Discard(), Route: cwroute.Options{DataCentre: "here", SentLoadTTL: time.Hour},
		Peers: cwport.Peers{Forward: func(_ context.Context, _ netip.AddrPort, task cwmodel.Task, hops int) (cwmodel.Response, error) {
			f.forwards = append(f.forwards, hops)
			if f.lose != nil {
				return cwmodel.Response{}, f.lose
			}
			if len(f.forwards) <= f.refuse {
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
		HasCapacity: func(cwmodel.Resources) bool { return f.hasRoom },
		LoadReports: func() []cwport.LoadReport { return f.peers },
		OnResponse:  func(cwmodel.Request, cwmodel.Response, time.Duration) {},
	})
	t.Cleanup(stop)
	f.intake = intake
}

func digest(host cwmodel.HostID, free int64) cwport.LoadReport {
	return cwport.LoadReport{Host: host, DataCentre: "here", Workers: 1, Free: cwmodel.Resources{Slots: free}, LargestFree: cwmodel.Resources{Slots: free}}
}

func TestRouting(t *testing.T) {
	done := cwmodel.Response{Outcome: cwmodel.OutcomeDone}
	noWorkers := cwmodel.Response{Outcome: cwmodel.OutcomeNotRun, Reason: cwmodel.ReasonNoWorkers}
	roomy := []cwport.LoadReport{digest("a", 4), digest("b", 4), digest("c", 4), digest("d", 4)}
	full := []cwport.LoadReport{digest("a", 0)}
	cases := []struct {
		name      string
		fixture   fixture
		outcome   cwmodel.Outcome
		submitted int
		forwards  []int
	}{
		{"room here", fixture{hasRoom: true, local: done, peers: roomy}, cwmodel.OutcomeDone, 1, nil},
		{"room at a peer", fixture{local: done, peers: roomy}, cwmodel.OutcomeDone, 0, []int{1}},
		{"room nowhere", fixture{local: done, peers: full}, cwmodel.OutcomeDone, 1, nil},
		{"a peer that refuses is followed by another", fixture{local: done, peers: roomy, refuse: 1}, cwmodel.OutcomeDone, 0, []int{1, 1}},
		{"peers that refuse end here", fixture{local: done, peers: roomy, refuse: 9}, cwmodel.OutcomeDone, 1, []int{1, 1, 1}},
		{"a lost answer is unknown and runs nothing more", fixture{local: done, peers: roomy, lose: cwfault.New(cwfault.Indefinite, "lost")}, cwmodel.OutcomeUnknown, 0, []int{1}},
		{"no workers here and none free: a peer queues it", fixture{local: noWorkers, peers: full}, cwmodel.OutcomeDone, 1, []int{2}},
		{"no workers here and no peer", fixture{local: noWorkers}, cwmodel.OutcomeNotRun, 1, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := c.fixture
			f.start(t)
			answer := f.intake.Run(context.Background(), cwmodel.Request{Profile: "p", Team: "t"})
			is.Equal(answer.Outcome, c.outcome)
			is.Equal(f.submitted, c.submitted)
			is.Equal(f.forwards, c.forwards)
			is.Equal(f.intake.InFlight(), 0)
		})
	}
}

func TestAccept(t *testing.T) {
	cases := []struct {
		name    string
		hops    int
		hasRoom bool
		leaving bool
		profile cwmodel.ProfileName
		twice   bool
		code    cwfault.Code
	}{
		{"room", 1, true, false, "p", false, ""},
		{"no room", 1, false, false, "p", false, cwfault.Unavailable},
		{"no room, but to be queued", 2, false, false, "p", false, ""},
		{"too many hops", 3, true, false, "p", false, cwfault.Unavailable},
		{"leaving", 1, true, true, "p", false, cwfault.Unavailable},
		{"profile that is not known yet", 1, true, false, "q", false, cwfault.Unavailable},
		{"the same task again", 1, true, false, "p", true, cwfault.Indefinite},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := fixture{hasRoom: c.hasRoom, local: cwmodel.Response{Outcome: cwmodel.OutcomeDone}, peers: []cwport.LoadReport{digest("a", 4)}}
			f.start(t)
			if c.leaving {
				f.intake.BeginDrain()
			}
			task := cwmodel.Task{ID: "task", Profile: c.profile, Demand: cwmodel.Resources{Slots: 1}, Deadline: time.Now().Add(time.Minute)}
			if c.twice {
				_, err := f.intake.RunForwarded(context.Background(), task, c.hops)
				is.NoErr(err)
				f.submitted = 0
			}
			_, err := f.intake.RunForwarded(context.Background(), task, c.hops)
			is.Equal(cwfault.CodeOf(err), c.code)
			is.Equal(f.submitted == 1, c.code == "") // placed here and only here
			is.Equal(len(f.forwards), 0)
		})
	}
}

func TestLeavingServesCallersUntilItCloses(t *testing.T) {
	is := is.New(t)
	f := fixture{hasRoom: true, local: cwmodel.Response{Outcome: cwmodel.OutcomeDone}}
	f.start(t)
	f.intake.BeginDrain()
	is.True(f.intake.Draining())
	is.Equal(f.intake.Run(context.Background(), cwmodel.Request{Profile: "p", Team: "t"}).Outcome, cwmodel.OutcomeDone)
	f.intake.Close()
	answer := f.intake.Run(context.Background(), cwmodel.Request{Profile: "p", Team: "t"})
	is.Equal(answer.Outcome, cwmodel.OutcomeNotRun)
	is.Equal(answer.Reason, cwmodel.ReasonShuttingDown)
}
