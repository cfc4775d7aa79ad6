package cwgateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/app/cwcellowner"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestRepeatedSubmissionNotifiesTheOwner guards against jobs that start, or are cancelled, only after the owner's watch has found them:
// the store's response to the first submission was lost, so no host has told the owner of the job.
func TestRepeatedSubmissionNotifiesTheOwner(t *testing.T) {
	const fenceToken = 7
	cases := []struct {
		name     string
		change   func(c *testGateway) // between the two submissions
		notified bool
	}{
		{"under the same owner", func(*testGateway) {}, true},
		{"under a later owner", func(c *testGateway) { c.putFence(fenceToken + 1) }, false},
		{"after the job has ended", func(c *testGateway) { c.end() }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestGateway(t)
			c.putFence(fenceToken)
			c.fault = cwcellmemory.FaultResponseLost
			is.Equal(c.gateway.Submit(c.submission(time.Unix(1000, 0))), cwcellport.SubmitUnknown)
			is.Equal(len(c.notified), 0)
			c.fault = cwcellmemory.FaultNone
			tc.change(c)
			is.Equal(c.gateway.Submit(c.submission(time.Unix(1001, 0))), cwcellport.SubmitAccepted)
			is.Equal(len(c.notified) == 1, tc.notified)
			if tc.notified {
				is.Equal(c.notified[0].AcceptedAt, time.Unix(1000, 0)) // the stored job, not the repeated one
			}
		})
	}
}

// TestJobsThatTheStoreCannotHoldAreInvalid guards against a job that is refused with 503 for ever, or accepted and then never stored: its row,
// or the progress of its tasks, is above the limit of the store.
func TestJobsThatTheStoreCannotHoldAreInvalid(t *testing.T) {
	manySteps := func(dependencies int) (steps []cwwork.Step) {
		for n := range cwwork.MaxSteps {
			s := cwwork.Step{Count: 1}
			for k := range min(n, dependencies) {
				s.DependsOn = append(s.DependsOn, k)
			}
			steps = append(steps, s)
		}
		return steps
	}
	cases := []struct {
		name     string
		rowBytes int
		steps    []cwwork.Step
		storable bool
	}{
		{"small job", 64 << 10, []cwwork.Step{{Count: 1}}, true},
		{"largest step", 64 << 10, []cwwork.Step{{Count: cwwork.MaxTasks}}, true},
		{"many steps", 64 << 10, manySteps(1), true},
		{"many steps that each depend on all earlier ones", 64 << 10, manySteps(cwwork.MaxSteps), false},
		{"progress above a small limit", 3 << 10, []cwwork.Step{{Count: cwwork.MaxTasks}}, false},
		{"no limit", 0, manySteps(cwwork.MaxSteps), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			g := New(Options{Store: cwcellport.Store{MaxRowBytes: tc.rowBytes}})
			err := g.CheckStorable(&cwwork.Submission{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: tc.steps})
			is.Equal(err == nil, tc.storable)
			if err != nil {
				is.Equal(cwfault.CodeOf(err), cwfault.Invalid)
			}
		})
	}
}

// testGateway is a gateway over an in-memory store, with the notifications that it has sent.
type testGateway struct {
	t        *testing.T
	gateway  *Gateway
	store    cwcellport.Store
	fault    cwcellmemory.Fault // of each commit
	notified []*cwwork.Submission
}

// newTestGateway returns a gateway whose store is empty.
func newTestGateway(t *testing.T) *testGateway {
	timer := cwtimer.NewManual(time.Unix(1000, 0))
	memory := cwcellmemory.NewStore(timer.Service)
	c := &testGateway{t: t, store: memory.Port(1)}
	memory.InjectFault = func(cwcellport.Transaction) cwcellmemory.Fault { return c.fault }
	c.gateway = New(Options{
		Self: cwcellport.EntryHost{ID: "entry-1"}, Store: c.store, Timer: timer.Service, Log: cwlog.Discard(),
		Peers: cwcellport.Peers{NotifyJob: func(_ netip.AddrPort, s *cwwork.Submission, version, _ uint64) error {
			if version == 0 {
				return cwfault.New(cwfault.Invalid, "no version")
			}
			c.notified = append(c.notified, s)
			return nil
		}},
		Owner:      func(cwmodel.JobID) (*cwcellowner.Owner, cwlease.View) { return nil, cwlease.View{} },
		RelayPeers: func() []cwcellport.EntryHost { return nil },
		RunAsync:   func(call func()) bool { call(); return true },
	})
	return c
}

// submission returns a job that was accepted at a time.
func (c *testGateway) submission(acceptedAt time.Time) *cwwork.Submission {
	return &cwwork.Submission{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []cwwork.Step{{Count: 1}}, AcceptedAt: acceptedAt}
}

// commit applies a transaction without preconditions.
func (c *testGateway) commit(tx cwcellport.Transaction) {
	c.t.Helper()
	if _, _, err := c.store.Commit(tx, time.Second); err != nil {
		c.t.Fatal(err)
	}
}

// putFence writes the fence row of an owner.
func (c *testGateway) putFence(token uint64) {
	value, err := cwcellcodec.EncodeLease(cwcellcodec.Lease{Holder: "entry-2", Fence: token})
	if err != nil {
		c.t.Fatal(err)
	}
	c.commit(cwcellport.Transaction{Put: []cwcellport.Row{{RowKey: fenceKey(cwlayout.PartitionName(0)), Value: value}}})
}

// end moves the job from the active to the ended ones.
func (c *testGateway) end() {
	id := c.submission(time.Time{}).ID
	c.commit(cwcellport.Transaction{
		Put:    []cwcellport.Row{{RowKey: c.gateway.rowKey(cwcellowner.TableEnded, id), Value: []byte("{}")}},
		Remove: []cwcellport.RowKey{c.gateway.rowKey(cwcellowner.TableJobs, id)},
	})
}
