package cwcellport

import (
	"net/netip"
	"time"

	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// EntryHost identifies an entry host of this system.
type EntryHost struct {
	ID         cwmodel.HostID
	DataCentre cwmodel.DataCentre
	Address    netip.AddrPort // address of its listener for peers
}

// Heartbeat is the message that each entry host sends to the owner of each cell twice a second.
type Heartbeat struct {
	Cell       cwlayout.Cell // cell that the recipient is asked about
	From       EntryHost
	OwnedCells int     // number of cells that the sender owns, without this one
	Draining   bool    // the sender will shut down and should own no cell
	StoreOK    bool    // the sender reaches the platform's store
	Capacity   float64 // share of a processor that the sender has

	ConfigurationVersion uint64 // in force at the sender; 0 if it has none
}

// QueueLength is the length of a queue.
type QueueLength struct {
	Queue   cwwork.QueueName
	Waiting int // jobs that have not started
}

// HeartbeatResponse is the response to a heartbeat. A recipient that is not the owner names the owner that it knows.
type HeartbeatResponse struct {
	IsOwner              bool          // the recipient of the heartbeat owns the cell
	RenewalFailing       bool          // the owner cannot renew its lease, so that a host that reaches the store should acquire it
	Owner                EntryHost     // the owner that the recipient knows; its ID is empty if there is none
	Fence                uint64        // of the owner
	LeaseVersion         uint64        // version of the lease's row that the recipient knows; 0 if unknown
	ConfigurationVersion uint64        // in force at the recipient; 0 if it has none
	StoreVersion         uint64        // version of the store up to which there is no later configuration than that
	Queues               []QueueLength // lengths of the cell's queues
	QueuesComplete       bool          // the owner has loaded every job of its cell: Queues is usable, and a queue that it omits is empty
	Cells                int           // number of cells of the deployment that the recipient knows; 0 or 1 for a single one
	Peers                []EntryHost   // hosts preferred as the next owner, the best first
}

// SubmitResult is the result of a submission.
type SubmitResult string

// Results of a submission.
const (
	SubmitAccepted SubmitResult = "accepted" // stored durably
	SubmitRefused  SubmitResult = "refused"  // not stored and never will be
	SubmitUnknown  SubmitResult = "unknown"  // may be stored
)

// Peers calls other entry hosts. Errors carry cwfault codes; NotSupported means that the recipient is not the owner.
type Peers struct {
	Heartbeat func(addr netip.AddrPort, h Heartbeat) (HeartbeatResponse, error)
	// NotifyJob notifies the owner with the given fence of a job that was accepted under that fence; version is that of the
	// job's row.
	NotifyJob func(addr netip.AddrPort, s *cwwork.Submission, version, fence uint64) error
	// Lookup requests the state of a job from the owner; known is false if the owner has no such job.
	Lookup func(addr netip.AddrPort, id cwmodel.JobID) (state cwwork.JobState, known bool, err error)
	// Cancel requests the owner to cancel a job; known is false if the owner has no such job.
	Cancel func(addr netip.AddrPort, id cwmodel.JobID) (known bool, err error)
	// RequestAdvice makes a peer send an advice request from its own address. The validity of the tickets starts when the
	// advice service responds.
	RequestAdvice func(addr netip.AddrPort, r *cwcell.AdviceRequest) (eligible []cwcell.EligibleWorker, validity time.Duration, err error)
	// StoreSubmission makes a peer write a submission, for a host that cannot write to the store itself.
	StoreSubmission func(addr netip.AddrPort, s *cwwork.Submission) (SubmitResult, error)
	// ConfigurationDifference returns the difference between a version of the configuration and the one in force at the peer.
	// NotSupported means that the peer has no later version. The call lasts as long as the response makes progress.
	ConfigurationDifference func(addr netip.AddrPort, version uint64) (*ConfigurationDifference, error)
	// TakeOver requests a peer to acquire the released lease of a cell.
	TakeOver func(addr netip.AddrPort, cell cwlayout.Cell) error
}
