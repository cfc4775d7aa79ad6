// Package cwcellport holds what an entry host needs of the platform and of its peers: structs of functions that adapters fill.
package cwcellport

import (
	"net/netip"
	"time"

	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// RowKey names one row of the platform's store.
type RowKey struct {
	Table     string
	Partition string // rows of one part are written one after another
	Key       string
}

// Row is one row; its version only grows over all rows of the store.
type Row struct {
	RowKey
	Value   []byte
	Version uint64
	Deleted bool // only in what Follow returns
}

// Precondition is the version that a row must have; zero means that it must not exist.
type Precondition struct {
	RowKey
	Version uint64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Preconditions []Precondition
	Put           []Row
	Remove        []RowKey
}

// Limits of one call to the store; see the users' protocol.
const (
	MaxTransactionRows = 100
	// MaxFeedRows is how many changes one answer of a feed holds at most.
	MaxFeedRows = 500
)

// Store is the platform's transactional store. Errors carry cwfault codes: Conflict if an expectation does not hold,
// Unavailable if nothing was done, Indefinite if the effect is not known, NotFound from Follow if the history after the
// version has been dropped.
type Store struct {
	// Partitions is how many parts the tables of jobs are divided into.
	Partitions int
	// Commit applies a transaction and returns its version, or with Conflict the present rows of the expectations.
	Commit func(t Transaction, timeout time.Duration) (version uint64, present []Row, err error)
	// Read returns the rows of one part whose keys are at least from and below to (no bound if empty).
	Read func(table, part, from, to string, timeout time.Duration) (rows []Row, version uint64, err error)
	// Watch returns the rows of a table that changed after a version, and waits for the first one.
	Watch func(table string, after uint64, wait time.Duration) (rows []Row, version uint64, err error)
}

// WorkerEntry is one worker of the platform's list.
type WorkerEntry struct {
	cwcell.WorkerInfo
	Address netip.AddrPort
	Removed bool // only in changes: the entry was removed
}

// Registry is the platform's list of workers.
type Registry struct {
	// List returns all entries and the version that changes follow.
	List func(timeout time.Duration) (list []WorkerEntry, version uint64, err error)
	// Watch returns what changed after a version; errors as Store.Follow.
	Watch func(after uint64, wait time.Duration) (list []WorkerEntry, version uint64, err error)
}

// LeaseRenewal extends the leases on a worker, acknowledges its ends and asks for its lists.
type LeaseRenewal struct {
	Fence        uint64
	Lease        time.Duration // zero: the leases are not extended
	Acknowledged uint64
	Wait         time.Duration // the worker answers at the latest then, or at the next end
}

// Workers calls workers. Lease bounds are kept by the adapter, which alone knows the workers' clocks.
type Workers struct {
	// RenewLeases returns the worker's lists. StaleEpoch means that a later owner has called the worker.
	RenewLeases func(w WorkerEntry, h LeaseRenewal) (*cwcell.Report, error)
	// Start orders one run; it must begin within the window.
	Start func(w WorkerEntry, o *cwcell.StartOrder, fence uint64, window time.Duration) cwcell.StartResult
	// Stop ends one run.
	Stop func(w WorkerEntry, o *cwcell.StopOrder, fence uint64) error
	// LeaseExpiry returns when every lease that this process has ordered on a worker is over.
	LeaseExpiry func(id cwmodel.HostID) time.Time
	// Evict drops what is kept about a worker, such as its connections.
	Evict func(id cwmodel.HostID)
}

// Advice says which workers may run a step.
type Advice struct {
	Request func(step cwwork.StepKey, workers []cwmodel.HostID, timeout time.Duration) (good []cwcell.EligibleWorker, validity time.Duration, err error)
}

// Queue is one queue of the configuration.
type Queue struct {
	Host   string
	Prefix string
	Policy cwwork.QueuePolicy
}

// Name returns the name under which jobs keep their queue.
func (q *Queue) Name() cwwork.QueueName { return cwwork.QueueName(q.Host + q.Prefix) }

// Configuration is what the operator has put in force.
type Configuration struct {
	Version      uint64
	Queues       []Queue
	MaxBodyBytes int
}

// ConfigurationSource is where the operator writes.
type ConfigurationSource struct {
	// Read returns the newest configuration and the version of the store that changes follow; NotFound if there is none.
	Read func(timeout time.Duration) (cfg *Configuration, version uint64, err error)
	// Watch returns the newest configuration written after a version, nil if none was; errors as Store.Follow.
	Watch func(after uint64, wait time.Duration) (cfg *Configuration, version uint64, err error)
}
