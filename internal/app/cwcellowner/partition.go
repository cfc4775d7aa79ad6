package cwcellowner

import (
	"context"
	"fmt"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/app/cwlease"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// The owner keeps two rows in each partition of the store. The fence row changes only at a takeover and is a precondition of
// every job acceptance, so a previous owner cannot have started a job that was accepted after the change. Every write of the
// owner changes the chain row and has its previous version as a precondition. A write of a previous owner, or one that the
// store applies late, therefore fails.
const (
	// KeyFence is the key of the fence row.
	KeyFence = "fence"
	keyChain = "chain"
)

// chainKey returns the key of the partition's chain row.
func (p *partition) chainKey() cwcellport.RowKey {
	return cwcellport.RowKey{Table: cwlease.TableCell, Partition: p.name, Key: p.chainRowName}
}

// partition is the owner's state of one partition of the store.
type partition struct {
	name         string
	chainRowName string    // key of the chain row
	loaded       bool      // its jobs have been read
	fenceVersion uint64    // version of the fence row
	chainVersion uint64    // version of the chain row
	busy         bool      // a transaction is in flight
	soloEnd      time.Time // the partition is committed alone before this time
	nextAt       time.Time // earliest start of the next transaction
	failures     int       // consecutive failed transactions on this partition alone
	// unsettled are the transactions on the partition whose outcome is unknown. All expect the present chainVersion, so at most one of them
	// can be applied.
	unsettled    []*inflightCommit
	deferredRows []cwcellport.Row // watched rows that arrived before the partition was loaded
	deferredJobs []deferredJob    // jobs whose notifications arrived before that
}

// partitionSnapshot is the content of one partition at a takeover.
type partitionSnapshot struct {
	fenceVersion uint64
	chainVersion uint64
	jobs         []cwcellport.Row
	progress     []cwcellport.Row
}

// partitionOf returns the partition that holds the rows of a job, or nil if the job belongs to another cell.
func (s *session) partitionOf(id cwmodel.JobID) *partition {
	return s.partitions[cwlayout.PartitionName(cwlayout.PartitionOf(id, s.owner.opts.Store.Partitions))]
}

// loadPartition takes over a partition, reads it and applies its content. It retries until it succeeds or ctx ends, and stops
// when a later owner has taken over the partition.
func (s *session) loadPartition(ctx context.Context, name string) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		snapshot, err := s.takeOverPartition(name)
		if err == nil {
			s.post(func(now time.Time) { s.applyPartition(name, snapshot, now) })
			return
		}
		if cwfault.CodeOf(err) == cwfault.StaleEpoch {
			s.owner.opts.OnSuperseded()
			return
		}
		s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "attempt": attempt, "error": err.Error()}).Warn("part-not-read")
		s.owner.opts.Timer.Sleep(ctx.Done(), loadRetryPause)
	}
}

// takeOverPartition takes over a partition by its fence row, then reads the partition's jobs and their progress.
func (s *session) takeOverPartition(name string) (snapshot *partitionSnapshot, err error) {
	snapshot = &partitionSnapshot{}
	if err = s.fencePartition(name, snapshot); err != nil {
		return nil, err
	}
	store := s.owner.opts.Store
	if snapshot.jobs, _, err = store.Read(TableJobs, name, "", "", loadTimeout); err != nil {
		return nil, err
	}
	if snapshot.progress, _, err = store.Read(TableProgress, name, "", "", loadTimeout); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// fencePartition writes this owner's fence row and a new chain row to a partition, so that later writes of previous owners fail,
// and stores the versions of both rows in snapshot. If an earlier attempt has already written them, it only reads the versions.
// It fails with StaleEpoch if a later owner has set the fence.
func (s *session) fencePartition(name string, snapshot *partitionSnapshot) error {
	store := s.owner.opts.Store
	rows, _, err := store.Read(cwlease.TableCell, name, "", "", loadTimeout)
	if err != nil {
		return err
	}
	fence := cwcellport.RowKey{Table: cwlease.TableCell, Partition: name, Key: KeyFence}
	chain := s.partitions[name].chainKey()
	currentVersion := uint64(0)
	for _, row := range rows {
		switch row.Key {
		case KeyFence:
			previous, err := cwcellcodec.DecodeLease(row.Value)
			if err != nil {
				return err
			}
			if previous.Fence > s.grant.Fence {
				return cwfault.New(cwfault.StaleEpoch, "partition %s belongs to a later owner", name)
			}
			if previous.Fence == s.grant.Fence {
				// The rows need not be written again.
				snapshot.fenceVersion = row.Version // an earlier attempt was applied, but its response was lost
			}
			currentVersion = row.Version
		case keyChain:
			snapshot.chainVersion = row.Version
		}
	}
	if snapshot.fenceVersion != 0 {
		return nil
	}
	self := s.owner.opts.Self
	value, err := cwcellcodec.EncodeLease(cwcellcodec.Lease{
		Holder: self.ID, DataCentre: self.DataCentre, Address: self.Address, Fence: s.grant.Fence, Term: s.grant.Term,
	})
	if err != nil {
		return err
	}
	version, _, err := store.Commit(cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: fence, Version: currentVersion}},
		Put:           []cwcellport.Row{{RowKey: fence, Value: value}, {RowKey: chain, Value: []byte(fmt.Sprintf("%d/0", s.grant.Fence))}},
	}, loadTimeout)
	snapshot.fenceVersion, snapshot.chainVersion = version, version
	return err
}

// applyPartition marks a partition as loaded and admits the jobs that were read from it, then those from rows and notifications
// that arrived in the meantime. The jobs that were read resume from their stored progress, which applyJobRows finds in
// s.jobProgress. After the last partition the cell counts its jobs as loaded, which ends the recovery.
func (s *session) applyPartition(name string, snapshot *partitionSnapshot, now time.Time) {
	p := s.partitions[name]
	p.loaded, p.fenceVersion, p.chainVersion = true, snapshot.fenceVersion, snapshot.chainVersion
	s.indexJobProgress(snapshot)
	s.applyJobRows(snapshot.jobs, now)
	s.jobProgress = nil
	deferredRows, deferredJobs := p.deferredRows, p.deferredJobs
	p.deferredRows, p.deferredJobs = nil, nil
	s.applyJobRows(deferredRows, now)
	for _, job := range deferredJobs {
		s.admit(job.submission, job.version, now)
	}
	for _, other := range s.partitions {
		if !other.loaded {
			return
		}
	}
	s.cell.MarkJobsLoaded()
	s.jobsLoaded = true
	jobs, _, workers := s.cell.Counts(now)
	s.owner.opts.Log.WithFields(cwlog.Fields{
		"cell": s.owner.opts.Cell, "fence": s.grant.Fence, "term": s.grant.Term, "jobs": jobs, "workers": workers, "took": now.Sub(s.startedAt),
	}).Info("cell-loaded")
}
