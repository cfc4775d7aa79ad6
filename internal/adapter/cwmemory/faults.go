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

// Faults are the ways in which a table or an object store misbehaves.
type Faults struct {
	Down             bool          // every call fails and has no effect
	Delay            time.Duration // of every call
	ResponseLossRate float64       // probability that a commit takes effect but answers Indefinite
	RequestLossRate  float64       // probability that a commit has no effect and answers Indefinite
}

// FaultInjector injects faults at the ports of the platform.
type FaultInjector struct {
	timer  *cwtimer.Service
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
}

// NewFaultInjector returns an injector without faults; seed decides which answers are lost.
func NewFaultInjector(timer *cwtimer.Service, seed uint64) *FaultInjector {
	return &FaultInjector{timer: timer, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetFaults replaces the faults.
func (f *FaultInjector) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// WrapTable wraps a table.
func (f *FaultInjector) WrapTable(t cwport.Table) cwport.Table {
	return cwport.Table{
		Read: func(ctx context.Context, key string) (row cwport.Row, err error) {
			if err = f.pass(ctx); err != nil {
				return row, err
			}
			return t.Read(ctx, key)
		},
		Scan: func(ctx context.Context, prefix, after string, limit int) (rows []cwport.Row, err error) {
			if err = f.pass(ctx); err != nil {
				return nil, err
			}
			return t.Scan(ctx, prefix, after, limit)
		},
		Commit: func(ctx context.Context, txn cwport.Txn) (err error) {
			if err = f.pass(ctx); err != nil {
				return err
			}
			return f.commit(ctx, t, txn)
		},
	}
}

// WrapObjectStore wraps an object store.
func (f *FaultInjector) WrapObjectStore(o cwport.ObjectStore) cwport.ObjectStore {
	return cwport.ObjectStore{
		Put: func(ctx context.Context, key string, body []byte) (err error) {
			if err = f.pass(ctx); err != nil {
				return err
			}
			return o.Put(ctx, key, body)
		},
		Get: func(ctx context.Context, key string) (body []byte, err error) {
			if err = f.pass(ctx); err != nil {
				return nil, err
			}
			return o.Get(ctx, key)
		},
		Delete: func(ctx context.Context, key string) (err error) {
			if err = f.pass(ctx); err != nil {
				return err
			}
			return o.Delete(ctx, key)
		},
	}
}

// pass delays a call and fails it while the platform is down.
func (f *FaultInjector) pass(ctx context.Context) error {
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

func (f *FaultInjector) commit(ctx context.Context, t cwport.Table, txn cwport.Txn) error {
	f.mu.Lock()
	loseCall := f.random.Float64() < f.faults.RequestLossRate
	loseAnswer := f.random.Float64() < f.faults.ResponseLossRate
	f.mu.Unlock()
	if loseCall {
		return cwfault.New(cwfault.Indefinite, "the call was lost")
	}
	if err := t.Commit(ctx, txn); err != nil {
		return err
	}
	if loseAnswer {
		return cwfault.New(cwfault.Indefinite, "the answer was lost")
	}
	return nil
}
