package cwcellport

import (
	"net/netip"
	"time"

	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// EntryHost is one host of ours.
type EntryHost struct {
	ID         cwmodel.HostID
	DataCentre cwmodel.DataCentre
	Address    netip.AddrPort // of its listener for peers
}

// Heartbeat is what an entry host tells the owner of each cell twice a second.
type Heartbeat struct {
	Cell     cwlayout.Cell // whose owner is meant
	From     EntryHost
	Owned    int // cells that it owns
	Leaving  bool
	StoreOK  bool // it reaches the platform's store
	Capacity float64
}

// QueueLength is how many jobs of a queue have not begun.
type QueueLength struct {
	Queue   cwwork.QueueName
	Waiting int
}

// HeartbeatResponse is what the owner tells the entry hosts.
type HeartbeatResponse struct {
	IsOwner        bool
	RenewalFailing bool      // it cannot renew its lease; whoever reaches the store should take over
	Owner          EntryHost // as far as the callee knows; its ID is empty otherwise
	Fence          uint64
	LeaseVersion   uint64
	Configuration  uint64
	Queues         []QueueLength
	QueuesComplete bool // the owner knows every job of its cell: a queue that is not named is empty
	Cells          int  // of the deployment, as far as the callee knows
	Peers          []EntryHost
}

// SubmitResult is what became of a submission.
type SubmitResult string

// The closed set of verdicts.
const (
	SubmitAccepted SubmitResult = "accepted" // its row is durable
	SubmitRefused  SubmitResult = "refused"  // it is not stored and never will be
	SubmitUnknown  SubmitResult = "unknown"  // it may be stored
)

// Peers calls other entry hosts; errors carry cwfault codes. NotSupported means that the callee is not the owner.
type Peers struct {
	Heartbeat func(addr netip.AddrPort, p Heartbeat) (HeartbeatResponse, error)
	// NotifyJob tells the owner with the given fence of a job that was accepted under it.
	NotifyJob func(addr netip.AddrPort, s *cwwork.Submission, version, fence uint64) error
	// Lookup asks the owner for the state of a job; it reports false if the owner does not know the job.
	Lookup func(addr netip.AddrPort, id cwmodel.JobID) (state cwwork.JobState, known bool, err error)
	// Cancel asks the owner to cancel a job; it reports false if the owner does not know the job.
	Cancel func(addr netip.AddrPort, id cwmodel.JobID) (known bool, err error)
	// RequestAdvice has a peer ask for advice from its own address.
	RequestAdvice func(addr netip.AddrPort, q *cwcell.AdviceRequest) (good []cwcell.EligibleWorker, validity time.Duration, err error)
	// StoreSubmission has a peer write a submission, for a host that the store refuses.
	StoreSubmission func(addr netip.AddrPort, s *cwwork.Submission) (SubmitResult, error)
	// TakeOver asks a peer to become the owner of a cell.
	TakeOver func(addr netip.AddrPort, cell cwlayout.Cell) error
}
