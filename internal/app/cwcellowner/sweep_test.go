package cwcellowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestSweepRemovesOldStates checks that a sweep removes only expired final states, also if they need several transactions.
func TestSweepRemovesOldStates(t *testing.T) {
	is := is.New(t)
	timer := cwtimer.NewManual(time.Unix(1000, 0))
	store := cwcellmemory.NewStore(timer.Service)
	port := store.Port(1)
	limit := time.Unix(10_000, 0)
	put := func(key string, at time.Time) {
		value, err := cwcellcodec.EncodeFinalState(cwcellcodec.FinalState{State: cwwork.StateCompleted, At: at})
		is.NoErr(err)
		row := cwcellport.Row{RowKey: cwcellport.RowKey{Table: TableEnded, Partition: "p00", Key: key}, Value: value}
		_, _, err = port.Commit(cwcellport.Transaction{Put: []cwcellport.Row{row}}, time.Second)
		is.NoErr(err)
	}
	for n := range 120 {
		put(fmt.Sprintf("old-%03d", n), limit.Add(-time.Second))
	}
	put("young", limit)
	s := &session{owner: &Owner{opts: Options{Store: port, Timer: timer.Service, Log: cwlog.Discard()}}}
	removed, err := s.sweepPartition("p00", limit)
	is.NoErr(err)
	is.Equal(removed, 120)
	is.Equal(store.Keys(TableEnded), []string{"young"})
}

// TestSweepRemovesCancellationsOfEndedJobs guards against a table that grows for good: a cancellation that is written while the end of its job is
// under way is not removed with the job.
func TestSweepRemovesCancellationsOfEndedJobs(t *testing.T) {
	is := is.New(t)
	s := newTestSession(t, 1)
	name := s.partitionNames[0]
	for _, key := range []string{"active", "active" + CancelSuffix, "ended" + CancelSuffix, "waiting"} {
		s.memory.Put(cwcellport.Row{RowKey: cwcellport.RowKey{Table: TableJobs, Partition: name, Key: key}, Value: []byte("{}")})
	}
	removed, err := s.sweepCancellations(name)
	is.NoErr(err)
	is.Equal(removed, 1)
	is.Equal(s.memory.Keys(TableJobs), []string{"active", "active" + CancelSuffix, "waiting"})
}
