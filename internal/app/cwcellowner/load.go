package cwcellowner

import (
	"context"
	"time"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// Tables of the cell in the platform's store. A job's rows are in the part that its identifier leads to.
const (
	TableJobs     = "jobs"     // accepted jobs that have not ended
	TableProgress = "progress" // finished tasks and failed runs of live jobs
	TableEnded    = "ended"    // final states
)

// CancelSuffix marks the row by which an entry host cancels a job while it cannot reach the owner.
const CancelSuffix = "~cancel"

func wallClock() time.Time { return cwtimer.WallTime() }

// image is what the platform says of the workers at a takeover.
type image struct {
	members []cwcellport.Row
	workers []cwcellport.WorkerEntry
	listed  uint64 // version of the list of workers
}

// Retries of the reads of a takeover.
const loadRetry = 200 * time.Millisecond

// load reads the workers, until that succeeds or ctx ends.
func (s *session) load(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		img, err := s.readWorkers()
		if err == nil {
			s.post(func(now time.Time) { s.begin(img, now) })
			return
		}
		s.owner.opts.Log.WithFields(cwlog.Fields{"attempt": attempt, "error": err.Error()}).Warn("workers-not-read")
		s.owner.opts.Timer.Sleep(ctx.Done(), loadRetry)
	}
}

// readWorkers reads which workers the former owner may have used and which there are.
func (s *session) readWorkers() (img *image, err error) {
	img = &image{}
	first, last := s.membersKey(""), s.membersKey("~") // digits come between the two
	if img.members, _, err = s.owner.opts.Store.Read(first.Table, first.Partition, first.Key, last.Key, loadTimeout); err != nil {
		return nil, err
	}
	img.workers, img.listed, err = s.owner.opts.Registry.List(loadTimeout)
	return img, err
}

// begin starts to call the workers and reads the parts of the store.
func (s *session) begin(img *image, now time.Time) {
	s.loaded = true
	for _, w := range img.workers {
		s.setWorker(w, now)
	}
	s.addFormerMembers(img.members, now)
	for name := range s.parts {
		s.cleanup.Add(cwduty.Start("load-part", func(ctx context.Context) { s.loadPart(ctx, name) }))
	}
	s.cleanup.Add(cwduty.Start("jobs-feed", func(ctx context.Context) { s.followJobs(ctx, s.tenure.Fence) }))
	s.cleanup.Add(cwduty.Start("ended-sweep", s.sweep))
	s.cleanup.Add(cwduty.Start("worker-feed", func(ctx context.Context) { s.followWorkers(ctx, img.listed) }))
}

// addFormerMembers calls the workers that the former owner may have used, also those that the platform does not list. Those
// of a former owner of one cell belong to several once it is divided.
func (s *session) addFormerMembers(rows []cwcellport.Row, now time.Time) {
	for _, row := range rows {
		members, err := cwcellcodec.DecodeMembers(row.Value)
		if err != nil {
			s.unreadable(row, err)
			continue
		}
		for _, m := range members {
			if s.tenure.Layout.CellOfWorker(m.ID, m.Rack) != s.owner.opts.Cell {
				continue
			}
			s.cell.RestoreMember(m.ID, now)
			if _, ok := s.links[m.ID]; !ok {
				s.addLink(cwcellport.WorkerEntry{WorkerInfo: cwcell.WorkerInfo{ID: m.ID, Rack: m.Rack}, Address: m.Address}, now)
			}
		}
	}
}

// readProgress notes the progress of the jobs of a part.
func (s *session) readProgress(img *partImage) {
	s.progress = make(map[cwmodel.JobID]*cwwork.Progress, len(img.progress))
	for _, row := range img.progress {
		p, err := cwcellcodec.DecodeProgress(row.Value)
		if err != nil {
			s.unreadable(row, err)
			continue
		}
		id := cwmodel.JobID(row.Key)
		s.progress[id] = p
		s.commits.written[id] = struct{}{}
	}
}

// readJobs admits jobs from their rows and carries out cancellations.
func (s *session) readJobs(rows []cwcellport.Row, now time.Time) {
	var cancelled []cwmodel.JobID
	for _, row := range rows {
		id, isCancel := cancelledJob(row.Key)
		if !isCancel {
			id = cwmodel.JobID(row.Key)
		}
		p := s.partOf(id)
		switch {
		case row.Deleted || p == nil: // p is nil for jobs of other cells
		case !p.loaded:
			p.early = append(p.early, row)
		case isCancel:
			cancelled = append(cancelled, id)
		default:
			s.readJob(p, id, row, now)
		}
	}
	for _, id := range cancelled {
		s.commits.cancelled[id] = struct{}{}
		s.cell.Cancel(id)
	}
}

// readJob admits one job from its row. Rows from before the fence moved were read with their part.
func (s *session) readJob(p *part, id cwmodel.JobID, row cwcellport.Row, now time.Time) {
	if row.Version <= p.fenced && s.progress == nil {
		return
	}
	submission, err := cwcellcodec.DecodeSubmission(id, row.Value)
	if err != nil {
		s.unreadable(row, err)
		return
	}
	if row.Version <= p.fenced {
		s.cell.Admit(submission, s.progress[id], true, now, s.wall())
		return
	}
	s.admit(submission, row.Version, now)
}

// cancelledJob returns the job that a row cancels, false for other rows.
func cancelledJob(key string) (cwmodel.JobID, bool) {
	if n := len(key) - len(CancelSuffix); n > 0 && key[n:] == CancelSuffix {
		return cwmodel.JobID(key[:n]), true
	}
	return "", false
}

func (s *session) unreadable(row cwcellport.Row, err error) {
	s.owner.opts.Log.WithFields(cwlog.Fields{"table": row.Table, "key": row.Key, "version": row.Version, "error": err.Error()}).Error("row-unreadable")
}

// Paces of the feeds. Peers offer jobs at once; the feed finds those whose offer was lost.
const (
	jobsPause    = 500 * time.Millisecond
	workersPause = 400 * time.Millisecond
	feedWait     = time.Second
)

// followJobs reads the changes of the jobs' rows until ctx ends.
func (s *session) followJobs(ctx context.Context, after uint64) {
	for {
		rows, version, err := s.owner.opts.Store.Watch(TableJobs, after, feedWait)
		switch {
		case err == nil:
			after = max(after, version)
			if len(rows) > 0 {
				s.post(func(now time.Time) { s.readJobs(rows, now) })
			}
		case cwfault.CodeOf(err) == cwfault.NotFound:
			after = s.rereadJobs(after)
		}
		if !s.rest(ctx, len(rows), jobsPause) {
			return
		}
	}
}

// rest pauses a feed after an answer with so many changes, and reports false once ctx has ended. After a page that may have
// been full, less what cannot be read, there is no pause: a feed that falls behind would hear of workers that leave too late.
func (s *session) rest(ctx context.Context, changes int, pause time.Duration) bool {
	if changes > cwcellport.MaxFeedRows/2 {
		return ctx.Err() == nil
	}
	return s.owner.opts.Timer.Sleep(ctx.Done(), pause)
}

// rereadJobs reads all jobs where the history of their changes was dropped.
func (s *session) rereadJobs(after uint64) uint64 {
	next := uint64(0)
	for _, name := range s.partNames {
		rows, version, err := s.owner.opts.Store.Read(TableJobs, name, "", "", loadTimeout)
		if err != nil {
			return after
		}
		if next == 0 || version < next {
			next = version
		}
		s.post(func(now time.Time) { s.readJobs(rows, now) })
	}
	s.owner.opts.Log.WithFields(cwlog.Fields{"feed": "jobs", "after": after, "version": next}).Info("feed-reread")
	return next
}

// followWorkers reads the changes of the platform's list until ctx ends.
func (s *session) followWorkers(ctx context.Context, after uint64) {
	for {
		list, version, err := s.owner.opts.Registry.Watch(after, feedWait)
		switch {
		case err == nil:
			after = max(after, version)
			s.post(func(now time.Time) { s.changeWorkers(list, now) })
		case cwfault.CodeOf(err) == cwfault.NotFound:
			after = s.relistWorkers(after)
		}
		if !s.rest(ctx, len(list), workersPause) {
			return
		}
	}
}

// relistWorkers reads the whole list where the history of its changes was dropped.
func (s *session) relistWorkers(after uint64) uint64 {
	list, version, err := s.owner.opts.Registry.List(loadTimeout)
	if err != nil {
		return after
	}
	s.owner.opts.Log.WithFields(cwlog.Fields{"feed": "workers", "after": after, "version": version}).Info("feed-reread")
	s.post(func(now time.Time) {
		present := make(map[cwmodel.HostID]struct{}, len(list))
		for _, w := range list {
			present[w.ID] = struct{}{}
			s.setWorker(w, now)
		}
		for id := range s.links {
			if _, ok := present[id]; !ok {
				s.cell.UnlistWorker(id, now)
			}
		}
	})
	return version
}

func (s *session) changeWorkers(list []cwcellport.WorkerEntry, now time.Time) {
	for _, w := range list {
		if w.Removed {
			s.cell.UnlistWorker(w.ID, now)
			continue
		}
		s.setWorker(w, now)
	}
}
