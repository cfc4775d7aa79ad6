package cwgateway

import (
	"sync"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwcellowner"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/port/cwcellport"
)

// fence is the fence row of a partition, which is a precondition of every job acceptance there. It names the owner and changes
// only when the owner does.
type fence struct {
	version uint64 // of the row
	token   uint64 // the owner's fence
	owner   cwcellport.EntryHost
}

// fenceCache caches the fence of each partition; it is safe for concurrent use.
type fenceCache struct {
	mu          sync.Mutex
	byPartition map[string]fence
}

// fenceKey returns the key of the fence row of a partition.
func fenceKey(partition string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: cwlease.TableCell, Partition: partition, Key: cwcellowner.KeyFence}
}

// get returns the fence of a partition, which it reads from the store if it is not cached. It fails with Unavailable if the
// read fails or the partition has no owner yet, since no job can be accepted then.
func (f *fenceCache) get(store cwcellport.Store, partition string) (fence, error) {
	f.mu.Lock()
	cached, ok := f.byPartition[partition]
	f.mu.Unlock()
	if ok {
		return cached, nil
	}
	key := fenceKey(partition)
	rows, _, err := store.Read(key.Table, key.Partition, key.Key, key.Key+"\x00", storeTimeout)
	if err != nil {
		return fence{}, cwfault.New(cwfault.Unavailable, "%v", err) // nothing was written
	}
	if len(rows) == 0 {
		return fence{}, cwfault.New(cwfault.Unavailable, "partition %s has no owner yet", partition)
	}
	lease, err := cwcellcodec.DecodeLease(rows[0].Value)
	if err != nil {
		return fence{}, cwfault.New(cwfault.Unavailable, "%v", err)
	}
	current := fence{
		version: rows[0].Version, token: lease.Fence,
		owner: cwcellport.EntryHost{ID: lease.Holder, DataCentre: lease.DataCentre, Address: lease.Address},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byPartition == nil {
		f.byPartition = map[string]fence{}
	}
	f.byPartition[partition] = current
	return current, nil
}

// invalidate removes the fence of a partition from the cache, so that it is read again. It is called after the owner has changed.
func (f *fenceCache) invalidate(partition string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byPartition, partition)
}
