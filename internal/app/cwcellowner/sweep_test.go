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
