package cwsweep

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwmemory"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/port/cwport"
)

// TestSweepRemovesExpiredRows covers pages of all sizes. A row whose objects cannot be deleted has to stay, or they would leak.
func TestSweepRemovesExpiredRows(t *testing.T) {
	cases := []struct {
		name        string
		rows, page  int
		objectsDown bool // the object store is unavailable
		remaining   int
	}{
		{"nothing", 0, 10, false, 0},
		{"one page", 6, 10, false, 3},
		{"several pages", 50, 7, false, 25},
		{"objects cannot be removed", 6, 10, true, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table, clock := cwmemory.NewTable(), cwtimer.NewManual(time.Unix(1000, 0))
			faulty := cwmemory.NewFaultInjector(clock.Service, 1)
			faulty.SetFaults(cwmemory.Faults{Down: c.objectsDown})
			for n := range c.rows {
				is.NoErr(table.Commit(cwport.Txn{Puts: []cwport.Put{{Key: fmt.Sprintf("old/%03d", n), Value: []byte{byte(n % 2)}}}}))
			}
			rule := Rule{Prefix: "old/", Expired: func(_ time.Time, value []byte) ([]string, bool) { return []string{"object"}, value[0] == 1 }}
			s := &Sweeper{opts: Options{
				Timer: clock.Service, Log: cwlog.Discard(), Table: table.Port(), Objects: faulty.WrapObjectStore(cwmemory.NewObjectStore().Port()),
				Rules: []Rule{rule, {Prefix: "other/"}}, PageSize: c.page, CallTimeout: time.Second,
				Write: func(e cwtablewriter.Write) { _ = table.Commit(cwport.Txn{Preconditions: e.Checks, Deletes: e.Deletes}) },
			}}
			for range 20 {
				s.sweepPage(context.Background(), clock.Now())
			}
			is.Equal(len(table.Scan("old/", "", 1000)), c.remaining)
		})
	}
}
