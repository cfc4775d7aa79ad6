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

// Each part of the store has two rows of the owner. The fence row changes only at a takeover, and every acceptance of a job
// expects it unchanged: a job that was accepted after it moved cannot have been started by a former owner. The chain row
// moves with every write of the owner, so that a write of a former one, or one that the store carries out late, does
// nothing.
const (
	// KeyFence names the row that acceptances expect.
	KeyFence = "fence"
	keyChain = "chain"
)

// chainKey returns the key of the row that moves with every write to the part.
func (p *part) chainKey() cwcellport.RowKey {
	return cwcellport.RowKey{Table: cwlease.TableCell, Partition: p.name, Key: p.chainRow}
}

// part is what the owner knows of one part of the store.
type part struct {
	name     string
	chainRow string
	loaded   bool
	fenced   uint64 // version of the fence row
	chain    uint64 // version of the chain row
	busy     bool   // a write is under way
	alone    time.Time
	retryAt  time.Time
	failures int
	early    []cwcellport.Row // rows of the feed that came before the part was read
	offers   []offered
}

// partImage is what the store says of one part at a takeover.
type partImage struct {
	fenced   uint64
	chain    uint64
	jobs     []cwcellport.Row
	progress []cwcellport.Row
}

// partOf returns the part that holds the rows of a job, nil if another cell decides about it.
func (s *session) partOf(id cwmodel.JobID) *part {
	return s.parts[cwlayout.PartitionName(cwlayout.PartitionOf(id, s.owner.opts.Store.Partitions))]
}

// loadPart takes a part over and reads it, until that succeeds or ctx ends.
func (s *session) loadPart(ctx context.Context, name string) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		img, err := s.readPart(name)
		if err == nil {
			s.post(func(now time.Time) { s.beginPart(name, img, now) })
			return
		}
		if cwfault.CodeOf(err) == cwfault.StaleEpoch {
			s.owner.opts.Superseded()
			return
		}
		s.owner.opts.Log.WithFields(cwlog.Fields{"part": name, "attempt": attempt, "error": err.Error()}).Warn("part-not-read")
		s.owner.opts.Timer.Sleep(ctx.Done(), loadRetry)
	}
}

// readPart moves the fence of a part, then reads its jobs.
func (s *session) readPart(name string) (img *partImage, err error) {
	img = &partImage{}
	if err = s.fencePart(name, img); err != nil {
		return nil, err
	}
	store := s.owner.opts.Store
	if img.jobs, _, err = store.Read(TableJobs, name, "", "", loadTimeout); err != nil {
		return nil, err
	}
	if img.progress, _, err = store.Read(TableProgress, name, "", "", loadTimeout); err != nil {
		return nil, err
	}
	return img, nil
}

// fencePart moves the fence of a part to this owner.
func (s *session) fencePart(name string, img *partImage) error {
	store := s.owner.opts.Store
	rows, _, err := store.Read(cwlease.TableCell, name, "", "", loadTimeout)
	if err != nil {
		return err
	}
	fence := cwcellport.RowKey{Table: cwlease.TableCell, Partition: name, Key: KeyFence}
	chain := s.parts[name].chainKey()
	present := uint64(0)
	for _, row := range rows {
		switch row.Key {
		case KeyFence:
			former, err := cwcellcodec.DecodeLease(row.Value)
			if err != nil {
				return err
			}
			if former.Fence > s.tenure.Fence {
				return cwfault.New(cwfault.StaleEpoch, "part %s belongs to a later owner", name)
			}
			if former.Fence == s.tenure.Fence {
				img.fenced = row.Version // an earlier try was done and its answer lost
			}
			present = row.Version
		case keyChain:
			img.chain = row.Version
		}
	}
	if img.fenced != 0 {
		return nil
	}
	self := s.owner.opts.Self
	value, err := cwcellcodec.EncodeLease(cwcellcodec.Lease{
		Holder: self.ID, DataCentre: self.DataCentre, Address: self.Address, Fence: s.tenure.Fence, Term: s.tenure.Term,
	})
	if err != nil {
		return err
	}
	version, _, err := store.Commit(cwcellport.Transaction{
		Preconditions: []cwcellport.Precondition{{RowKey: fence, Version: present}},
		Put:           []cwcellport.Row{{RowKey: fence, Value: value}, {RowKey: chain, Value: []byte(fmt.Sprintf("%d/0", s.tenure.Fence))}},
	}, loadTimeout)
	img.fenced, img.chain = version, version
	return err
}

// beginPart takes what the store says of a part.
func (s *session) beginPart(name string, img *partImage, now time.Time) {
	p := s.parts[name]
	p.loaded, p.fenced, p.chain = true, img.fenced, img.chain
	s.readProgress(img)
	s.readJobs(img.jobs, now)
	s.progress = nil
	early, offers := p.early, p.offers
	p.early, p.offers = nil, nil
	s.readJobs(early, now)
	for _, o := range offers {
		s.admit(o.submission, o.version, now)
	}
	for _, other := range s.parts {
		if !other.loaded {
			return
		}
	}
	s.cell.CompleteRecovery()
	s.counted = true
	jobs, _, workers := s.cell.Counts(now)
	s.owner.opts.Log.WithFields(cwlog.Fields{
		"cell": s.owner.opts.Cell, "fence": s.tenure.Fence, "term": s.tenure.Term, "jobs": jobs, "workers": workers, "took": now.Sub(s.began),
	}).Info("cell-loaded")
}
