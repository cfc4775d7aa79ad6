package cwcellport

import (
	"net/netip"
	"time"

	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// EntryHost is an entry host of this system.
type EntryHost struct {
	ID         cwmodel.HostID
	DataCentre cwmodel.DataCentre
	Address    netip.AddrPort // of its listener for peers
}

// Heartbeat is sent by an entry host to the owner of each cell twice a second.
type Heartbeat struct {
	Cell       cwlayout.Cell // the recipient is the owner of this cell
	From       EntryHost
	OwnedCells int // number of cells that the sender owns
	Draining   bool
	StoreOK    bool // the sender can reach the platform's store
	Capacity   float64
}

// QueueLength is the number of jobs of a queue that have not started.
type QueueLength struct {
	Queue   cwwork.QueueName
	Waiting int
}

// HeartbeatResponse is the owner's response to a heartbeat.
type HeartbeatResponse struct {
	IsOwner              bool
	RenewalFailing       bool      // the owner cannot renew its lease; a host that can reach the store should take over
	Owner                EntryHost // owner known to the callee; empty ID if unknown
	Fence                uint64
	LeaseVersion         uint64
	ConfigurationVersion uint64
	Queues               []QueueLength
	QueuesComplete       bool // the owner has loaded every job of its cell, so a queue that is not listed is empty
	Cells                int  // cells of the deployment known to the callee
	Peers                []EntryHost
}

// SubmitResult is the result of a submission.
type SubmitResult string

// Results of a submission.
const (
	SubmitAccepted SubmitResult = "accepted" // stored durably
	SubmitRefused  SubmitResult = "refused"  // not stored and never will be
	SubmitUnknown  SubmitResult = "unknown"  // may be stored
)

// Peers calls other entry hosts. Errors carry cwfault codes; NotSupported means that the callee is not the owner.
type Peers struct {
	Heartbeat func(addr netip.AddrPort, h Heartbeat) (HeartbeatResponse, error)
	// NotifyJob notifies the owner with the given fence of a job that was accepted under that fence.
	NotifyJob func(addr netip.AddrPort, s *cwwork.Submission, version, fence uint64) error
	// Lookup requests the state of a job from the owner; known is false if the owner has no such job.
	Lookup func(addr netip.AddrPort, id cwmodel.JobID) (state cwwork.JobState, known bool, err error)
	// Cancel requests the owner to cancel a job; known is false if the owner has no such job.
	Cancel func(addr netip.AddrPort, id cwmodel.JobID) (known bool, err error)
	// RequestAdvice has a peer send an advice request from its own address.
	RequestAdvice func(addr netip.AddrPort, q *cwcell.AdviceRequest) (eligible []cwcell.EligibleWorker, validity time.Duration, err error)
	// StoreSubmission has a peer write a submission, for a host whose writes the store refuses.
	StoreSubmission func(addr netip.AddrPort, s *cwwork.Submission) (SubmitResult, error)
	// TakeOver requests a peer to become the owner of a cell.
	TakeOver func(addr netip.AddrPort, cell cwlayout.Cell) error
}
