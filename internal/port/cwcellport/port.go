// Package cwcellport defines the ports from an entry host to the platform and its peers, as structs of functions that adapters
// set.
package cwcellport

import (
	"net/netip"
	"time"

	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// RowKey identifies a row of the platform's store.
type RowKey struct {
	Table     string
	Partition string // writes to one partition are serialised
	Key       string
}

// Row is a row of the store. Versions increase monotonically over all rows of the store.
type Row struct {
	RowKey
	Value   []byte
	Version uint64
	Deleted bool // set only by Watch
}

// Precondition requires a row to have a version; version zero means that the row must not exist.
type Precondition struct {
	RowKey
	Version uint64
}

// Transaction is applied atomically.
type Transaction struct {
	Preconditions []Precondition
	Put           []Row
	Remove        []RowKey
}

// Limits of one call to the store, set by the users' protocol.
const (
	MaxTransactionRows = 100
	// MaxWatchRows is the maximum number of changes in one response to Watch.
	MaxWatchRows = 500
)

// Store is the platform's transactional store. Errors carry cwfault codes: Conflict if a precondition failed, Unavailable
// if nothing was done, Indefinite if the effect is unknown, and NotFound from Watch if the history after the version was
// discarded.
type Store struct {
	// Partitions is the number of partitions of the job tables.
	Partitions int
	// Commit applies a transaction and returns its version, or with Conflict the current rows of the preconditions.
	Commit func(t Transaction, timeout time.Duration) (version uint64, present []Row, err error)
	// Read returns the rows of a partition with from <= key < to; an empty bound is open.
	Read func(table, part, from, to string, timeout time.Duration) (rows []Row, version uint64, err error)
	// Watch returns the rows of a table that changed after a version, and waits for the first such row.
	Watch func(table string, after uint64, wait time.Duration) (rows []Row, version uint64, err error)
}

// WorkerEntry is a worker on the platform's list.
type WorkerEntry struct {
	cwcell.WorkerInfo
	Address netip.AddrPort
	Removed bool // set only by Watch: the entry was removed
}

// Registry is the platform's list of workers.
type Registry struct {
	// List returns all entries and the version from which to watch.
	List func(timeout time.Duration) (list []WorkerEntry, version uint64, err error)
	// Watch returns the entries that changed after a version; errors are those of Store.Watch.
	Watch func(after uint64, wait time.Duration) (list []WorkerEntry, version uint64, err error)
}

// LeaseRenewal extends the leases on a worker, acknowledges ended runs and requests the worker's report.
type LeaseRenewal struct {
	Fence        uint64
	TaskLease    time.Duration // zero leaves the leases unchanged
	Acknowledged uint64
	Wait         time.Duration // the worker responds after this time, or when a run ends
}

// Workers calls workers. The adapter tracks lease expiry, since only it knows the workers' clocks.
type Workers struct {
	// RenewLeases returns the worker's report. StaleEpoch means that a later owner has called the worker.
	RenewLeases func(w WorkerEntry, h LeaseRenewal) (*cwcell.Report, error)
	// Start requests a run, which must start within the window.
	Start func(w WorkerEntry, o *cwcell.StartOrder, fence uint64, window time.Duration) cwcell.StartResult
	// Stop stops a run.
	Stop func(w WorkerEntry, o *cwcell.StopOrder, fence uint64) error
	// LeaseExpiry returns the time by which every lease that this process granted on a worker has expired.
	LeaseExpiry func(id cwmodel.HostID) time.Time
	// Evict releases resources held for a worker, such as connections.
	Evict func(id cwmodel.HostID)
}

// Advice returns which workers may run a step.
type Advice struct {
	Request func(step cwwork.StepKey, workers []cwmodel.HostID, timeout time.Duration) (eligible []cwcell.EligibleWorker, validity time.Duration, err error)
}

// Queue is a queue of the configuration.
type Queue struct {
	Host   string
	Prefix string
	Policy cwwork.QueuePolicy
}

// Name returns the name that jobs store for their queue.
func (q *Queue) Name() cwwork.QueueName { return cwwork.QueueName(q.Host + q.Prefix) }

// Configuration is the configuration in force.
type Configuration struct {
	Version      uint64
	Queues       []Queue
	MaxBodyBytes int
}

// ConfigurationSource provides the configuration written by the operator.
type ConfigurationSource struct {
	// Read returns the latest configuration and the store version from which to watch; NotFound if there is no configuration.
	Read func(timeout time.Duration) (cfg *Configuration, version uint64, err error)
	// Watch returns the latest configuration written after a version, or nil if there is none; errors are those of Store.Watch.
	Watch func(after uint64, wait time.Duration) (cfg *Configuration, version uint64, err error)
}
