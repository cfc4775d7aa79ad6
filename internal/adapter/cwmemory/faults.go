package cwmemory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwport"
)

// Faults are the faults to inject into a table or an object store.
type Faults struct {
	Down             bool          // every call fails and has no effect
	Delay            time.Duration // added to every call
	ResponseLossRate float64       // probability that a commit takes effect and returns Indefinite
	RequestLossRate  float64       // probability that a commit has no effect and returns Indefinite
}

// FaultInjector wraps the ports of the platform and injects faults.
type FaultInjector struct {
	timer  *cwtimer.Service
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
}

// NewFaultInjector returns an injector without faults. The seed determines which requests and responses are lost.
func NewFaultInjector(timer *cwtimer.Service, seed uint64) *FaultInjector {
	return &FaultInjector{timer: timer, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetFaults replaces the faults.
func (f *FaultInjector) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// WrapTable returns a table that injects faults into t.
func (f *FaultInjector) WrapTable(t cwport.Table) cwport.Table {
	return cwport.Table{
		Read: func(ctx context.Context, key string) (row cwport.Row, err error) {
			if err = f.delayOrFail(ctx); err != nil {
				return row, err
			}
			return t.Read(ctx, key)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) (rows []cwport.Row, err error) {
			if err = f.delayOrFail(ctx); err != nil {
				return nil, err
			}
			return t.Scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, txn cwport.Txn) (err error) {
			if err = f.delayOrFail(ctx); err != nil {
				return err
			}
			return f.commit(ctx, t, txn)
		},
	}
}

// WrapObjectStore returns an object store that injects faults into o.
func (f *FaultInjector) WrapObjectStore(o cwport.ObjectStore) cwport.ObjectStore {
	return cwport.ObjectStore{
		Put: func(ctx context.Context, key string, body []byte) (err error) {
			if err = f.delayOrFail(ctx); err != nil {
				return err
			}
			return o.Put(ctx, key, body)
		},
		Get: func(ctx context.Context, key string) (body []byte, err error) {
			if err = f.delayOrFail(ctx); err != nil {
				return nil, err
			}
			return o.Get(ctx, key)
		},
		Delete: func(ctx context.Context, key string) (err error) {
			if err = f.delayOrFail(ctx); err != nil {
				return err
			}
			return o.Delete(ctx, key)
		},
	}
}

// delayOrFail delays a call. It returns an error if the call must fail: the platform is down, or ctx ended during the delay.
func (f *FaultInjector) delayOrFail(ctx context.Context) error {
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	if faults.Delay > 0 && !f.timer.Sleep(ctx.Done(), faults.Delay) {
		return cwfault.New(cwfault.Indefinite, "%v", ctx.Err())
	}
	if faults.Down {
		return cwfault.New(cwfault.Unavailable, "the platform is down")
	}
	return nil
}

// commit commits a transaction, but may lose the request before it or the response after it.
func (f *FaultInjector) commit(ctx context.Context, t cwport.Table, txn cwport.Txn) error {
	f.mu.Lock()
	loseRequest := f.random.Float64() < f.faults.RequestLossRate
	loseResponse := f.random.Float64() < f.faults.ResponseLossRate
	f.mu.Unlock()
	if loseRequest {
		return cwfault.New(cwfault.Indefinite, "the call was lost")
	}
	if err := t.Commit(ctx, txn); err != nil {
		return err
	}
	if loseResponse {
		return cwfault.New(cwfault.Indefinite, "the answer was lost")
	}
	return nil
}
