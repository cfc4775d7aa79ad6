package cwgateway

import (
	"sync"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwcellowner"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/port/cwcellport"
)

// fence is the row of a part that every acceptance there expects: it names the owner and changes only with it.
type fence struct {
	version uint64
	number  uint64
	owner   cwcellport.EntryHost
}

// fences remembers the fence of each part.
type fences struct {
	mu    sync.Mutex
	known map[string]fence
}

func fenceKey(part string) cwcellport.RowKey {
	return cwcellport.RowKey{Table: cwlease.TableCell, Partition: part, Key: cwcellowner.KeyFence}
}

// get returns the fence of a part; it reads the row if that is not known. Without an owner no job can be accepted.
func (f *fences) get(store cwcellport.Store, part string) (fence, error) {
	f.mu.Lock()
	known, ok := f.known[part]
	f.mu.Unlock()
	if ok {
		return known, nil
	}
	key := fenceKey(part)
	rows, _, err := store.Read(key.Table, key.Partition, key.Key, key.Key+"\x00", storeTimeout)
	if err != nil {
		return fence{}, cwfault.New(cwfault.Unavailable, "%v", err) // nothing was written
	}
	if len(rows) == 0 {
		return fence{}, cwfault.New(cwfault.Unavailable, "part %s has no owner yet", part)
	}
	lease, err := cwcellcodec.DecodeLease(rows[0].Value)
	if err != nil {
		return fence{}, cwfault.New(cwfault.Unavailable, "%v", err)
	}
	read := fence{
		version: rows[0].Version, number: lease.Fence,
		owner: cwcellport.EntryHost{ID: lease.Holder, DataCentre: lease.DataCentre, Address: lease.Address},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil {
		f.known = map[string]fence{}
	}
	f.known[part] = read
	return read, nil
}

// drop forgets the fence of a part whose owner has changed.
func (f *fences) drop(part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.known, part)
}
