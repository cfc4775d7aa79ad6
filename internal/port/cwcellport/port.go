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

// Row is a row of the store. Each write gets a larger version than all earlier writes to any row.
type Row struct {
	RowKey
	Value   []byte
	Version uint64
	Deleted bool // the row has been deleted; set only by Watch
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
	// MaxTransactionRows is the maximum number of rows in a transaction: preconditions, rows to put and rows to remove.
	MaxTransactionRows = 100
	// MaxTransactionBytes is the maximum size of a transaction, with its values in base64.
	MaxTransactionBytes = 1 << 20
	// MaxWatchRows is the maximum number of changes in one response to Watch.
	MaxWatchRows = 500
)

// Store is the platform's transactional store. Errors carry cwfault codes: Conflict if a precondition failed, Unavailable
// if nothing was done, Refused if nothing was done and the same call would be refused again, Indefinite if the effect is unknown,
// and NotFound from Watch if the store no longer has all changes after the version.
type Store struct {
	// Partitions is the number of partitions of the job tables.
	Partitions int
	// MaxRowBytes is the maximum size of a row's value; 0: there is no limit.
	MaxRowBytes int
	// Commit applies a transaction and returns its version, which is that of each row put. With Conflict it returns the current
	// rows of the preconditions.
	Commit func(t Transaction, timeout time.Duration) (version uint64, current []Row, err error)
	// Read returns the rows of a partition with from <= key < to, and the version from which to watch; an empty bound is open.
	Read func(table, partition, from, to string, timeout time.Duration) (rows []Row, version uint64, err error)
	// Watch returns the rows of a table that changed after a version, and the version from which to watch next. It waits for
	// the first such row, for wait at most.
	Watch func(table string, after uint64, wait time.Duration) (rows []Row, version uint64, err error)
}

// WorkerEntry is an entry of the platform's registry of workers.
type WorkerEntry struct {
	cwcell.WorkerInfo
	Address netip.AddrPort
	Removed bool // set only by Watch: the entry was removed
}

// Registry is the platform's registry of workers.
type Registry struct {
	// List returns all entries and the version from which to watch.
	List func(timeout time.Duration) (list []WorkerEntry, version uint64, err error)
	// Watch returns the entries that changed after a version; errors are those of Store.Watch.
	Watch func(after uint64, wait time.Duration) (list []WorkerEntry, version uint64, err error)
}

// LeaseRenewal is a call to a worker that renews its task leases, acknowledges ended runs and requests a report.
type LeaseRenewal struct {
	Fence        uint64
	TaskLease    time.Duration // new duration of the leases; zero leaves them unchanged
	Acknowledged uint64        // sequence number of the last ended run that is durable, so that the worker may drop it
	Wait         time.Duration // the worker delays its response for this time, or until a run ends
}

// Workers calls workers. The adapter tracks when leases expire, since only it knows the workers' clocks.
type Workers struct {
	// RenewLeases returns the worker's report. StaleEpoch means that a later owner has called the worker, NotFound that the process of
	// another worker answers at its address.
	RenewLeases func(w WorkerEntry, r LeaseRenewal) (*cwcell.Report, error)
	// Start requests a worker to start a run; the worker refuses an order that arrives after the window. earlierLeaseExpiry is the
	// time by which the leases of earlier owners' calls on the process that has accepted the order have expired; zero: it is not known.
	Start func(w WorkerEntry, o *cwcell.StartOrder, fence uint64, window time.Duration) (result cwcell.StartResult, earlierLeaseExpiry time.Time)
	// Stop requests a worker to stop a run.
	Stop func(w WorkerEntry, o *cwcell.StopOrder, fence uint64) error
	// LeaseExpiry returns the time by which every lease that this process granted on a worker has expired.
	LeaseExpiry func(id cwmodel.HostID) time.Time
	// Evict releases the adapter's resources for a worker, such as connections.
	Evict func(id cwmodel.HostID)
}

// Advice calls the platform's advice service.
type Advice struct {
	// Request returns which of the workers may run a step, and for how long from the service's response their tickets are
	// valid.
	Request func(step cwwork.StepKey, workers []cwmodel.HostID, timeout time.Duration) (eligible []cwcell.EligibleWorker, validity time.Duration, err error)
}

// Queue is a queue of the configuration. It receives the requests to a host whose path has the prefix.
type Queue struct {
	Host   string
	Prefix string
	Policy cwwork.QueuePolicy
}

// Name returns the name that jobs store for their queue.
func (q *Queue) Name() cwwork.QueueName { return cwwork.QueueName(q.Host + q.Prefix) }

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version      uint64
	Queues       []Queue
	MaxBodyBytes int
	// TransferTime is how long the store's response with this configuration takes at the rate of the host's link; 0: not known.
	TransferTime time.Duration
}

// ConfigurationDifference turns one version of the configuration into a later one.
type ConfigurationDifference struct {
	Base         uint64 // version to which it applies; 0: Put is the whole configuration
	Version      uint64
	StoreVersion uint64 // version of the store up to which there is no later configuration
	MaxBodyBytes int
	Put          []Queue // added or changed queues
	Removed      []cwwork.QueueName
	Checksum     uint64 // of all queues of the later version
}

// ConfigurationSource provides the configuration written by the operator.
type ConfigurationSource struct {
	// Read returns the latest configuration and the store version from which to watch. It fails with NotFound if there is no
	// configuration.
	Read func(timeout time.Duration) (cfg *Configuration, version uint64, err error)
	// Watch returns the latest configuration that was written after a version, or nil if none is written within wait; errors
	// are those of Store.Watch.
	Watch func(after uint64, wait time.Duration) (cfg *Configuration, version uint64, err error)
	// Probe makes a call whose response is small, to find out whether the store is reachable.
	Probe func(timeout time.Duration) error
}
