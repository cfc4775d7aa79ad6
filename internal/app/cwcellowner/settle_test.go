package cwcellowner

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/adapter/cwcellmemory"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// TestWritesGoOnAfterAnOutage guards against a partition that gets no write of its owner any more, so that its jobs never end and cancelled ones
// run on: the store answered nothing for some seconds, and one of the many transactions that got no answer was applied, at once or
// when the store came back.
func TestWritesGoOnAfterAnOutage(t *testing.T) {
	const partitions = 32
	cases := []struct {
		name    string
		jobs    int
		outage  time.Duration
		applied int // of 100 transactions without an answer, how many are applied at once; the last of each partition may be applied late
		late    bool
	}{
		{"one job", 1, 5 * time.Second, 0, false},
		{"short outage, nothing applied", 64, time.Second, 0, false},
		{"short outage, some applied", 64, time.Second, 20, false},
		{"long outage, nothing applied", 64, 20 * time.Second, 0, false},
		{"long outage, some applied", 64, 20 * time.Second, 5, false},
		{"long outage, all applied", 64, 20 * time.Second, 100, false},
		{"long outage, applied at its end", 64, 20 * time.Second, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestSession(t, partitions)
			for n := range tc.jobs {
				s.admitJob(cwmodel.JobID(jobID(n)), 3)
				s.finish(cwmodel.JobID(jobID(n)), 0)
			}
			s.drive(time.Second)
			var unapplied func() []cwcellport.Transaction
			s.fault, unapplied = loseResponses(tc.applied)
			for n := range tc.jobs {
				s.finish(cwmodel.JobID(jobID(n)), 1)
			}
			s.drive(tc.outage)
			s.fault = nil
			for _, tx := range unapplied() {
				if tc.late { // the store performs those whose conditions still hold
					_, _, _ = s.memory.Port(partitions).Commit(tx, time.Second)
				}
			}
			for n := range tc.jobs {
				s.finish(cwmodel.JobID(jobID(n)), 2)
			}
			s.drive(5 * time.Second)
			is.Equal(s.superseded, 0)
			is.True(!s.hasUnsettled())
			_, allDurable := s.cell.AckWatermark("a")
			is.True(allDurable)
			for n := range tc.jobs {
				is.True(s.hasRow(TableEnded, cwmodel.JobID(jobID(n))))
				is.True(!s.hasRow(TableProgress, cwmodel.JobID(jobID(n))))
			}
			s.admitJob("last", 1) // a single write, which no batch takes along
			s.finish("last", 0)
			s.drive(time.Second)
			is.True(s.hasRow(TableEnded, "last"))
		})
	}
}

// loseResponses returns faults of a store that answers nothing and applies so many of 100 transactions, and a function that returns
// those that it has not applied.
func loseResponses(applied int) (fault func(cwcellport.Transaction) cwcellmemory.Fault, unapplied func() []cwcellport.Transaction) {
	random := rand.New(rand.NewPCG(1, 8))
	var mu sync.Mutex
	var received []cwcellport.Transaction
	fault = func(tx cwcellport.Transaction) cwcellmemory.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(100) < applied {
			return cwcellmemory.FaultResponseLost
		}
		received = append(received, tx)
		return cwcellmemory.FaultRequestLost
	}
	return fault, func() []cwcellport.Transaction { return received }
}

// TestUnsettledTransactionsAreBounded guards against memory that grows as long as the store answers nothing.
func TestUnsettledTransactionsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newTestSession(t, 4)
	s.fault = func(cwcellport.Transaction) cwcellmemory.Fault { return cwcellmemory.FaultRequestLost }
	for n := range 40 {
		s.admitJob(cwmodel.JobID(jobID(n)), 2)
		s.finish(cwmodel.JobID(jobID(n)), 0)
		s.drive(time.Second)
	}
	for _, p := range s.partitions {
		is.True(len(p.unsettled) <= 2)
	}
}

// TestOutdatedTransactionIsNotSentAgain guards against a partition that sends the same outdated transaction for ever: it was under way when the
// response to that of another partition showed that an earlier one on both was applied.
func TestOutdatedTransactionIsNotSentAgain(t *testing.T) {
	cases := []struct {
		name  string
		first cwfault.Code // of the transaction's own result, after the other one's
	}{
		{"no answer", cwfault.Indefinite},
		{"conflict", cwfault.Conflict},
		{"not carried out", cwfault.Unavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestSession(t, 1)
			p := s.partitions[s.partitionNames[0]]
			s.admitJob("job", 2)
			s.finish("job", 0)
			earlier := s.newCommit(s.timer.Now())
			earlier.partitions = []*partition{p, {name: "p99", chainRowName: keyChain}}
			p.unsettled = []*inflightCommit{earlier}
			c := s.buildCommit(s.timer.Now(), func(*partition) bool { return true })
			c.tx.Preconditions = append(c.tx.Preconditions, cwcellport.Precondition{RowKey: p.chainKey(), Version: p.chainVersion})
			c.markUnsettled() // a first try got no answer
			p.busy = true     // the second one is under way
			s.memory.Put(cwcellport.Row{RowKey: p.chainKey(), Value: []byte(earlier.token)})
			rows, _, err := s.owner.opts.Store.Read(cwlease.TableCell, p.name, keyChain, "", time.Second)
			is.NoErr(err)
			s.recordApplied(earlier, rows[0].Version, s.timer.Now())
			s.handleCommitResult(c, 0, nil, cwfault.New(tc.first, "result of the second try"), s.timer.Now())
			s.drive(3 * time.Second)
			is.True(!s.hasUnsettled())
			is.True(s.hasRow(TableProgress, "job"))
			is.Equal(s.superseded, 0)
		})
	}
}

// TestUnexplainedConflict guards against a partition whose writes are refused for good, because its chain row has a version that the owner
// doesn't know: while its fence is in force, the owner goes on from there. A later owner must not be overwritten.
func TestUnexplainedConflict(t *testing.T) {
	cases := []struct {
		name   string
		fence  uint64 // in the partition's fence row
		goesOn bool
	}{
		{"this owner's fence is in force", testFence, true},
		{"a later owner's fence is in force", testFence + 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestSession(t, 1)
			p := s.partitions[s.partitionNames[0]]
			value, err := cwcellcodec.EncodeLease(cwcellcodec.Lease{Fence: tc.fence})
			is.NoErr(err)
			s.memory.Put(cwcellport.Row{RowKey: cwcellport.RowKey{Table: cwlease.TableCell, Partition: p.name, Key: KeyFence}, Value: value})
			s.memory.Put(cwcellport.Row{RowKey: p.chainKey(), Value: []byte("of nobody")})
			s.admitJob("job", 2)
			s.finish("job", 0)
			s.drive(3 * time.Second)
			is.True(s.superseded > 0)
			is.Equal(s.hasRow(TableProgress, "job"), tc.goesOn)
		})
	}
}

// TestUnsettledTransactionThatIsRefused guards against a transaction without an answer that is sent again for ever although the store refuses it
// for good.
func TestUnsettledTransactionThatIsRefused(t *testing.T) {
	is := is.New(t)
	s := newTestSession(t, 1)
	s.onCommit = func(cwcellport.Transaction) error { return cwfault.New(cwfault.Indefinite, "no answer") }
	s.admitJob("job", 2)
	s.finish("job", 0)
	s.drive(time.Second)
	is.True(s.hasUnsettled())
	s.onCommit = func(cwcellport.Transaction) error { return cwfault.New(cwfault.Refused, "the store answered 400") }
	s.drive(2 * time.Second)
	is.True(!s.hasUnsettled())
	s.onCommit = nil
	s.drive(maxRefusalBackoff + time.Second)
	is.True(s.hasRow(TableProgress, "job"))
}
