// Package cwport holds the ports of the system: structs whose fields are the functions that an adapter fills.
package cwport

import (
	"context"
	"net/netip"
	"time"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// RowVersion numbers the writes of one row; zero means that the row does not exist.
type RowVersion uint64

// Row is one row of the platform's table.
type Row struct {
	Key     string
	Version RowVersion
	Value   []byte
}

// Precondition demands that a row has a version when the transaction commits.
type Precondition struct {
	Key     string
	Version RowVersion
}

// Put writes one row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is one transaction: all checks hold and all writes are made, or nothing is.
type Txn struct {
	Preconditions []Precondition
	Puts          []Put
	Deletes       []string
}

// Table is the platform's transactional table.
//
// Commit fails with cwfault.Conflict if a check does not hold, cwfault.Unavailable if nothing was
// written, and cwfault.Indefinite if the write may have taken effect.
type Table struct {
	// Read returns the row, with version zero if it does not exist.
	Read func(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys have the prefix and follow after, in key order.
	Scan func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out one transaction.
	Commit func(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store, for payloads and answers that outlive a process.
type ObjectStore struct {
	Put    func(ctx context.Context, key string, body []byte) error
	Get    func(ctx context.Context, key string) ([]byte, error)
	Delete func(ctx context.Context, key string) error
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList struct {
	List func(ctx context.Context) ([]cwmodel.Host, error)
}

// Claim asks a worker for ownership under a fencing epoch.
type Claim struct {
	Owner cwmodel.HostID
	Epoch cwmodel.Epoch // must exceed every epoch that the worker has granted
	TTL   time.Duration // the claim ends this long after the last renewal
}

// Heartbeat renews a claim.
type Heartbeat struct {
	Epoch    cwmodel.Epoch
	TTL      time.Duration // the claim ends this long after the worker has taken the heartbeat
	NotAfter time.Time     // the worker refuses it later than this, by its own clock
}

// Poll reads the results that are not acknowledged.
type Poll struct {
	Epoch    cwmodel.Epoch
	Acks     []cwmodel.Attempt // the worker drops these
	Retained []cwmodel.Attempt // the worker keeps these and leaves them out
	Wait     time.Duration     // for a result if there is none
}

// Inventory is what a worker tells its new owner.
type Inventory struct {
	Worker   cwmodel.Worker
	Owner    cwmodel.HostID
	Epoch    cwmodel.Epoch
	Clock    time.Time // the worker's present time
	BootedAt time.Time // when the worker started to remember, by its own clock; zero if it does not say
	Leaving  bool
	Running  []cwmodel.RunningTask
}

// StartRequest is an order to begin one attempt.
type StartRequest struct {
	Task     cwmodel.Task
	Attempt  cwmodel.Attempt
	NotAfter time.Time // the worker refuses to begin later than this, by its own clock
}

// HeartbeatResponse is a worker's answer to its owner's heartbeat.
type HeartbeatResponse struct {
	Clock        time.Time
	Leaving      bool
	Usage        []cwmodel.Usage
	RunningCount int
}

// Workers reaches workers; each order carries the fencing epoch of its sender.
//
// Every order fails with cwfault.StaleEpoch if the worker has granted a larger epoch, with
// cwfault.Unavailable if it was never sent, and with cwfault.Indefinite if it may have been received.
type Workers struct {
	// Inspect returns the inventory without a claim.
	Inspect func(ctx context.Context, addr netip.AddrPort) (Inventory, error)
	// Claim takes ownership and returns the inventory; cwfault.Conflict if another claim holds.
	Claim func(ctx context.Context, addr netip.AddrPort, claim Claim) (Inventory, error)
	// Renew extends the claim, the leases of durable tasks and those of tasks of its epoch; cwfault.Refused if it is late.
	Renew func(ctx context.Context, addr netip.AddrPort, heartbeat Heartbeat) (HeartbeatResponse, error)
	// Release ends the claim; tasks go on under their leases, and further orders of this epoch are stale.
	Release func(ctx context.Context, addr netip.AddrPort, epoch cwmodel.Epoch) error
	// Start begins one attempt; cwfault.Refused means that this attempt will never begin.
	Start func(ctx context.Context, addr netip.AddrPort, order StartRequest) error
	// Stop ends one attempt and returns its result; an attempt that the worker never saw is refused for good from then on.
	Stop func(ctx context.Context, addr netip.AddrPort, attempt cwmodel.Attempt, mode cwmodel.StopMode) (cwmodel.Result, error)
	// Completions acknowledges results and waits for further ones.
	Completions func(ctx context.Context, addr netip.AddrPort, poll Poll) ([]cwmodel.Result, error)
}

// LoadReport is what entry hosts tell each other about their load.
type LoadReport struct {
	Host          cwmodel.HostID
	DataCentre    cwmodel.DataCentre
	Address       netip.AddrPort // listener for peers
	Configuration cwpolicy.Version
	Workers       int
	Free          cwmodel.Resources // over all owned workers
	LargestFree   cwmodel.Resources // of the emptiest owned worker
	Waiting       int
	Leaving       bool
	Teams         []cwmodel.TeamUsage // teams with a quota that use anything there
}

// Peers reaches the other entry hosts.
type Peers struct {
	// ExchangeLoad sends our digest and returns the peer's.
	ExchangeLoad func(ctx context.Context, addr netip.AddrPort, digest LoadReport) (LoadReport, error)
	// Forward hands one request over and waits for its answer; hops counts the forwards so far.
	Forward func(ctx context.Context, addr netip.AddrPort, task cwmodel.Task, hops int) (cwmodel.Response, error)
	// Configuration returns the configuration that the peer has in force.
	Configuration func(ctx context.Context, addr netip.AddrPort) (cwpolicy.Configuration, error)
}
