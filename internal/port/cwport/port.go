// Package cwport defines the ports of the system as structs of functions that adapters set.
package cwport

import (
	"context"
	"net/netip"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// RowVersion counts the writes of a row; zero means that the row does not exist.
type RowVersion uint64

// Row is a row of the platform's table; version zero means that it does not exist.
type Row struct {
	Key     string
	Version RowVersion
	Value   []byte
}

// Precondition requires a row to have a version when the transaction commits; version zero means that the row must not exist.
type Precondition struct {
	Key     string
	Version RowVersion
}

// Put is a write of one row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a transaction: if a precondition fails, nothing is written.
type Txn struct {
	Preconditions []Precondition
	Puts          []Put
	Deletes       []string // keys
}

// Table is the platform's transactional table.
//
// Commit fails with cwfault.Conflict if a precondition fails, cwfault.Unavailable if nothing was
// written, and cwfault.Indefinite if the write may have taken effect.
type Table struct {
	// Read returns a row, with version zero if it does not exist.
	Read func(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater than after, in key order.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction.
	Commit func(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store, for payloads and outputs that must outlive a process.
type ObjectStore struct {
	Put    func(ctx context.Context, key string, body []byte) error
	Get    func(ctx context.Context, key string) ([]byte, error)
	Delete func(ctx context.Context, key string) error
}

// HostList is the platform's list of live and leaving hosts, which may be out of date.
type HostList struct {
	List func(ctx context.Context) ([]cwmodel.Host, error)
}

// Claim is a request for the ownership of a worker under a fencing epoch.
type Claim struct {
	Owner cwmodel.HostID
	Epoch cwmodel.Epoch // must exceed every epoch that the worker has granted
	TTL   time.Duration // the claim expires this long after the last renewal
}

// Heartbeat is a request that renews a claim.
type Heartbeat struct {
	Epoch    cwmodel.Epoch
	TTL      time.Duration // the claim expires this long after the worker accepted the heartbeat
	NotAfter time.Time     // the worker refuses the heartbeat after this time on its own clock
}

// Poll is a request for the results that have not been acknowledged.
type Poll struct {
	Epoch    cwmodel.Epoch
	Acks     []cwmodel.Attempt // attempts whose results are acknowledged; the worker deletes these results
	Retained []cwmodel.Attempt // results received but not yet acknowledged: the worker keeps them, but omits them from its response
	Wait     time.Duration     // how long the worker waits for a result if it has none
}

// Inventory is a worker's report to a new owner.
type Inventory struct {
	Worker   cwmodel.Worker
	Owner    cwmodel.HostID
	Epoch    cwmodel.Epoch
	Clock    time.Time // reading of the worker's clock
	BootedAt time.Time // start of the worker's records, on its own clock; zero if not reported
	Leaving  bool      // the worker drains: it will shut down and gets no new tasks
	Running  []cwmodel.RunningTask
}

// StartRequest requests a worker to start an attempt.
type StartRequest struct {
	Task     cwmodel.Task
	Attempt  cwmodel.Attempt
	NotAfter time.Time // the worker refuses to start after this time on its own clock
}

// HeartbeatResponse is a worker's response to its owner's heartbeat.
type HeartbeatResponse struct {
	Clock        time.Time       // reading of the worker's clock
	Leaving      bool            // the worker drains: it will shut down and gets no new tasks
	Usage        []cwmodel.Usage // of the running tasks; empty if it was reported shortly before
	RunningCount int             // number of running tasks
}

// Workers calls workers; each request carries the fencing epoch of its sender.
//
// A request fails with cwfault.StaleEpoch if the worker has granted a larger epoch, with
// cwfault.Unavailable if it was never sent, and with cwfault.Indefinite if it may have been received.
type Workers struct {
	// Inspect returns the inventory without a claim.
	Inspect func(ctx context.Context, addr netip.AddrPort) (Inventory, error)
	// Claim acquires the ownership and returns the inventory. It fails with cwfault.Conflict if another owner's claim is valid.
	Claim func(ctx context.Context, addr netip.AddrPort, claim Claim) (Inventory, error)
	// Heartbeat renews the claim, the leases of durable tasks and those of tasks of the claim's epoch. It fails with
	// cwfault.Refused if it arrives after NotAfter.
	Heartbeat func(ctx context.Context, addr netip.AddrPort, heartbeat Heartbeat) (HeartbeatResponse, error)
	// Release ends the claim. Tasks keep running under their leases, and further requests of this epoch are stale.
	Release func(ctx context.Context, addr netip.AddrPort, epoch cwmodel.Epoch) error
	// Start starts an attempt. With cwfault.Refused the attempt will never start.
	Start func(ctx context.Context, addr netip.AddrPort, request StartRequest) error
	// Stop stops an attempt and returns its result. A worker that has not received the attempt refuses it from then on.
	Stop func(ctx context.Context, addr netip.AddrPort, attempt cwmodel.Attempt, mode cwmodel.StopMode) (cwmodel.Result, error)
	// Completions acknowledges results and waits for new ones.
	Completions func(ctx context.Context, addr netip.AddrPort, poll Poll) ([]cwmodel.Result, error)
}

// LoadReport is the state of an entry host that peers use to route requests.
type LoadReport struct {
	Host                 cwmodel.HostID
	DataCentre           cwmodel.DataCentre
	Address              netip.AddrPort // address of its listener for peers
	ConfigurationVersion cwpolicy.Version
	Workers              int
	Free                 cwmodel.Resources   // sum over the host's workers
	LargestFree          cwmodel.Resources   // free capacity of the worker with the most
	Waiting              int                 // number of tasks that wait for a worker
	Draining             bool                // the host will shut down
	Teams                []cwmodel.TeamUsage // teams with a quota that have tasks running on the host's workers
}

// Peers calls the other entry hosts.
type Peers struct {
	// ExchangeLoad sends a load report and returns the peer's.
	ExchangeLoad func(ctx context.Context, addr netip.AddrPort, report LoadReport) (LoadReport, error)
	// Forward forwards a caller's task and waits for the response to it; hops is the number of forwards so far.
	Forward func(ctx context.Context, addr netip.AddrPort, task cwmodel.Task, hops int) (cwmodel.Response, error)
	// Configuration returns the configuration in force at the peer.
	Configuration func(ctx context.Context, addr netip.AddrPort) (cwpolicy.Configuration, error)
}
