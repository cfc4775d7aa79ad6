package cwcellpeer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestCallsOverLoopback guards against a field of a request or a response that is lost or changed on the wire, and checks that
// refusals keep their code.
func TestCallsOverLoopback(t *testing.T) {
	is := is.New(t)
	self := cwcellport.EntryHost{ID: "a", DataCentre: "dc", Address: netip.MustParseAddrPort("10.0.0.1:7720")}
	response := cwcellport.HeartbeatResponse{
		IsOwner: true, RenewalFailing: true, QueuesComplete: true, Owner: self, Fence: 7, LeaseVersion: 9, ConfigurationVersion: 3, StoreVersion: 12, Cells: 4,
		Queues: []cwcellport.QueueLength{{Queue: "h/q/", Waiting: 12}}, Peers: []cwcellport.EntryHost{self},
	}
	job := &cwwork.Submission{
		ID: "5c0e7a21d94b36f8", Queue: "h/q/", Payload: "text", AcceptedAt: time.UnixMilli(1000), Repeats: 2, Interval: time.Second, FirstDue: time.UnixMilli(5000),
		Policy: cwwork.QueuePolicy{Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2.2, TargetLatency: time.Second, Advice: cwwork.Advice{Base: 7400 * time.Microsecond, PerWorker: 110 * time.Microsecond, Validity: 1500 * time.Millisecond}},
		Steps: []cwwork.Step{
			{Count: 2, Demand: cwmodel.Resources{MilliProcessors: 500, MemoryBytes: 1 << 20, Accelerators: 1}, Estimate: time.Second, Gang: true, Checkpointable: true},
			{Count: 1, DependsOn: []int{0}, MaxPerWorker: 1, RackAffinity: "r1", RequiredLabel: "a", Speculative: true, LongRunning: true, SameRack: true, Image: "i", TailLatencyLimit: 80 * time.Millisecond, Opportunistic: true},
		},
	}
	var notified *cwwork.Submission
	adviceRequest := cwcell.AdviceRequest{Step: cwwork.StepKey{Job: "j", Occurrence: 1, Step: 2}, Workers: []cwmodel.HostID{"w1", "w2"}, Cost: 20 * time.Millisecond}
	takenOver := cwlayout.Cell(0)
	heartbeat := cwcellport.Heartbeat{Cell: 2, From: self, OwnedCells: 1, Draining: true, StoreOK: true, Capacity: 0.4, ConfigurationVersion: 2}
	difference := &cwcellport.ConfigurationDifference{
		Base: 2, Version: 3, StoreVersion: 12, MaxBodyBytes: 1 << 10, Checksum: 1 << 63, Removed: []cwwork.QueueName{"h/old/"},
		Put: []cwcellport.Queue{{Host: "h", Prefix: "/q/", Policy: job.Policy}, {Host: "h", Prefix: "/p/", Policy: cwwork.QueuePolicy{Service: "s"}}},
	}
	bound, stop, err := Serve(ServerOptions{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: cwlog.Discard(), ShutdownTimeout: time.Second,
		Heartbeat: func(p cwcellport.Heartbeat) cwcellport.HeartbeatResponse {
			is.Equal(p, heartbeat)
			return response
		},
		NotifyJob: func(s *cwwork.Submission, version, fence uint64) error {
			notified = s
			is.Equal(version, uint64(11))
			is.Equal(fence, uint64(7))
			return nil
		},
		Lookup: func(id cwmodel.JobID) (cwwork.JobState, bool, error) {
			if id != job.ID {
				return "", false, cwfault.New(cwfault.NotSupported, "not the owner")
			}
			return cwwork.StateRunning, true, nil
		},
		Cancel: func(cwmodel.JobID) (bool, error) { return true, nil },
		RequestAdvice: func(q *cwcell.AdviceRequest) ([]cwcell.EligibleWorker, time.Duration, error) {
			is.Equal(q.Step, adviceRequest.Step)
			is.Equal(q.Workers, adviceRequest.Workers)
			return []cwcell.EligibleWorker{{ID: "w2", Ticket: "t"}}, 1500 * time.Millisecond, nil
		},
		StoreSubmission: func(*cwwork.Submission) cwcellport.SubmitResult { return cwcellport.SubmitRefused },
		TakeOver:        func(cell cwlayout.Cell) { takenOver = cell },
		ConfigurationDifference: func(version uint64) (*cwcellport.ConfigurationDifference, error) {
			if version != difference.Base {
				return nil, cwfault.New(cwfault.NotSupported, "no later version")
			}
			return difference, nil
		},
	})
	is.NoErr(err)
	defer stop()
	peers, closeClient := New(DefaultClientOptions())
	defer closeClient()

	got, err := peers.Heartbeat(bound, heartbeat)
	is.NoErr(err)
	is.Equal(got, response)
	is.NoErr(peers.NotifyJob(bound, job, 11, 7))
	is.Equal(notified, job)
	state, known, err := peers.Lookup(bound, job.ID)
	is.NoErr(err)
	is.True(known)
	is.Equal(state, cwwork.StateRunning)
	_, _, err = peers.Lookup(bound, "other")
	is.Equal(cwfault.CodeOf(err), cwfault.NotSupported)
	known, err = peers.Cancel(bound, job.ID)
	is.NoErr(err)
	is.True(known)
	eligible, validity, err := peers.RequestAdvice(bound, &adviceRequest)
	is.NoErr(err)
	is.Equal(eligible, []cwcell.EligibleWorker{{ID: "w2", Ticket: "t"}})
	is.Equal(validity, 1500*time.Millisecond)
	result, err := peers.StoreSubmission(bound, job)
	is.NoErr(err)
	is.Equal(result, cwcellport.SubmitRefused)
	gotDifference, err := peers.ConfigurationDifference(bound, 2)
	is.NoErr(err)
	is.Equal(gotDifference, difference)
	_, err = peers.ConfigurationDifference(bound, 3)
	is.Equal(cwfault.CodeOf(err), cwfault.NotSupported)
	is.NoErr(peers.TakeOver(bound, 3))
	is.Equal(takenOver, cwlayout.Cell(3))
}

// TestUnreachablePeer checks that a call that was never sent returns another error than one that may have been executed.
func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	bound, stop, err := Serve(ServerOptions{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: cwlog.Discard(), ShutdownTimeout: time.Second})
	is.NoErr(err)
	stop()
	peers, closeClient := New(DefaultClientOptions())
	defer closeClient()
	_, err = peers.Heartbeat(bound, cwcellport.Heartbeat{})
	is.Equal(cwfault.CodeOf(err), cwfault.Unavailable)
	result, err := peers.StoreSubmission(bound, &cwwork.Submission{ID: "j"})
	is.Equal(cwfault.CodeOf(err), cwfault.Unavailable)
	is.Equal(result, cwcellport.SubmitRefused) // it was certainly not stored
}
