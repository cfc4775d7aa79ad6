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

// Tables of the cell in the platform's store. The identifier of a job determines the partition of its rows.
const (
	TableJobs     = "jobs"     // accepted jobs that have not ended
	TableProgress = "progress" // finished tasks and failed runs of active jobs
	TableEnded    = "ended"    // final states of ended jobs
)

// CancelSuffix marks the row by which an entry host cancels a job when the owner is unreachable.
const CancelSuffix = "~cancel"

// wallClock returns the wall-clock time.
func wallClock() time.Time { return cwtimer.WallTime() }

// workerSnapshot is the state of the workers as read from the platform at a takeover.
type workerSnapshot struct {
	memberRows      []cwcellport.Row // rows that list the workers of the previous owner
	workers         []cwcellport.WorkerEntry
	registryVersion uint64    // version of the registry
	registrySentAt  time.Time // when the registry was called
}

// loadRetryPause separates retries of the reads at a takeover.
const loadRetryPause = 200 * time.Millisecond

// loadWorkers reads the workers and then starts the recovery. It retries until it succeeds or ctx ends.
func (s *session) loadWorkers(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		snapshot, err := s.readWorkers()
		if err == nil {
			s.post(func(now time.Time) { s.startRecovery(snapshot, now) })
			return
		}
		s.owner.opts.Log.WithFields(cwlog.Fields{"attempt": attempt, "error": err.Error()}).Warn("workers-not-read")
		s.owner.opts.Timer.Sleep(ctx.Done(), loadRetryPause)
	}
}

// readWorkers reads the list of the workers that the previous owner may have used, and the platform's registry.
func (s *session) readWorkers() (snapshot *workerSnapshot, err error) {
	snapshot = &workerSnapshot{}
	first, last := s.membersKey(""), s.membersKey("~") // row numbers sort between the two
	if snapshot.memberRows, _, err = s.owner.opts.Store.Read(first.Table, first.Partition, first.Key, last.Key, loadTimeout); err != nil {
		return nil, err
	}
	snapshot.registrySentAt = s.owner.opts.Timer.Now()
	snapshot.workers, snapshot.registryVersion, err = s.owner.opts.Registry.List(loadTimeout)
	return snapshot, err
}

// startRecovery starts the recovery, the second part of the takeover, once the workers have been read. It adds the registered workers and those of the previous
// owner, which starts the calls to them. It also starts the duties that read the partitions, watch the jobs and the registry, and
// delete the expired final states of ended jobs.
func (s *session) startRecovery(snapshot *workerSnapshot, now time.Time) {
	s.workersLoaded, s.registrySentAt = true, snapshot.registrySentAt
	for _, w := range snapshot.workers {
		s.updateWorker(w, now)
	}
	s.addPriorMembers(snapshot.memberRows, now)
	for name := range s.partitions {
		s.cleanup.Add(cwduty.Start("load-part", func(ctx context.Context) { s.loadPartition(ctx, name) }))
	}
	s.cleanup.Add(cwduty.Start("jobs-feed", func(ctx context.Context) { s.watchJobs(ctx, s.grant.Fence) }))
	s.cleanup.Add(cwduty.Start("ended-sweep", s.sweep))
	s.cleanup.Add(cwduty.Start("worker-feed", func(ctx context.Context) { s.watchWorkers(ctx, snapshot.registryVersion) }))
}

// addPriorMembers adds the workers that the previous owner may have used, even if the registry no longer lists them. After a
// division the rows of the former single cell also list workers that now belong to other cells; these are skipped.
func (s *session) addPriorMembers(rows []cwcellport.Row, now time.Time) {
	for _, row := range rows {
		members, err := cwcellcodec.DecodeMembers(row.Value)
		if err != nil {
			s.logUnreadableRow(row, err)
			continue
		}
		for _, m := range members {
			if s.grant.Layout.CellOfWorker(m.ID, m.Rack) != s.owner.opts.Cell {
				continue
			}
			s.cell.RestoreMember(m.ID, m.Incarnation, now)
			if _, ok := s.links[m.ID]; !ok {
				s.addLink(cwcellport.WorkerEntry{WorkerInfo: cwcell.WorkerInfo{ID: m.ID, Rack: m.Rack}, Address: m.Address}, now)
			}
			s.links[m.ID].knownAddress = m.Address
		}
	}
}

// indexJobProgress decodes the progress of a partition's jobs into session.jobProgress, by job ID, and records which jobs have a
// progress row.
func (s *session) indexJobProgress(snapshot *partitionSnapshot) {
	s.jobProgress = make(map[cwmodel.JobID]*cwwork.Progress, len(snapshot.progress))
	for _, row := range snapshot.progress {
		p, err := cwcellcodec.DecodeProgress(row.Value)
		if err != nil {
			s.logUnreadableRow(row, err)
			continue
		}
		id := cwmodel.JobID(row.Key)
		s.jobProgress[id] = p
		s.commits.hasProgressRow[id] = struct{}{}
	}
}

// applyJobRows applies rows of jobs and of their cancellations. Rows of a partition that is not loaded are deferred; those of other
// cells' jobs are skipped.
func (s *session) applyJobRows(rows []cwcellport.Row, now time.Time) {
	for _, row := range rows {
		id, isCancellation := cancelledJob(row.Key)
		if !isCancellation {
			id = cwmodel.JobID(row.Key)
		}
		p := s.partitionOf(id)
		switch {
		case p == nil: // a job of another cell
		case !p.loaded:
			p.deferredRows = append(p.deferredRows, row)
		case isCancellation:
			s.applyCancellation(id, row)
		case !row.Deleted:
			s.applyJobRow(p, id, row, now)
		}
	}
}

// applyCancellation cancels a job by its cancellation row. The row is kept: a job that the cell does not have yet is cancelled when it
// is admitted.
func (s *session) applyCancellation(id cwmodel.JobID, row cwcellport.Row) {
	if row.Deleted {
		delete(s.commits.cancellationVersions, id)
		return
	}
	if s.commits.cancellationVersions[id] == row.Version {
		return // read again
	}
	s.commits.cancellationVersions[id] = row.Version
	known, _ := s.cell.Cancel(id)
	s.owner.opts.Log.WithFields(cwlog.Fields{"job": id, "version": row.Version, "admitted": known}).Info("cancellation-read")
}

// admitToCell admits a job from its row, of the given version, and cancels it if its cancellation was read before. A cancellation
// that is older than the row belongs to an ended job with the same ID. It returns false if the cell already knows the job.
func (s *session) admitToCell(j *cwwork.Submission, version uint64, p *cwwork.Progress, adopted bool, now time.Time) bool {
	if !s.cell.Admit(j, p, adopted, now, s.wallTime()) {
		return false
	}
	if s.commits.cancellationVersions[j.ID] > version {
		s.cell.Cancel(j.ID)
	}
	return true
}

// applyJobRow admits one job from its row. A row that is not newer than the fence row was written before the takeover. Its job is
// admitted, with its stored progress, only while the partition is being loaded (session.jobProgress is then not nil). When a
// watch or a reload delivers such a row again later, it is ignored. A newer row may have been accepted under a later owner, which
// may start its tasks too, so it waits in session.unconfirmedJobs.
func (s *session) applyJobRow(p *partition, id cwmodel.JobID, row cwcellport.Row, now time.Time) {
	if row.Version <= p.fenceVersion && s.jobProgress == nil {
		return
	}
	submission, err := cwcellcodec.DecodeSubmission(id, row.Value)
	if err != nil {
		s.logUnreadableRow(row, err)
		return
	}
	if row.Version <= p.fenceVersion {
		s.admitToCell(submission, row.Version, s.jobProgress[id], true, now)
		return
	}
	s.unconfirmedJobs = append(s.unconfirmedJobs, unconfirmedJob{submission, row.Version, now})
}

// unconfirmedJob is a job that may have been accepted under a later owner, with the version of its row.
type unconfirmedJob struct {
	submission *cwwork.Submission
	version    uint64
	seenAt     time.Time
}

// admitConfirmedJobs admits the jobs whose rows were seen before this host sent its latest successful renewal of the lease: no
// later owner existed then. A host that has lost the lease admits none of them.
func (s *session) admitConfirmedJobs(now time.Time) {
	ownedUntil := s.owner.opts.OwnedUntil(s.grant.Fence)
	waiting := s.unconfirmedJobs[:0]
	for _, j := range s.unconfirmedJobs {
		if j.seenAt.Before(ownedUntil) {
			s.admit(j.submission, j.version, now)
		} else {
			waiting = append(waiting, j)
		}
	}
	clear(s.unconfirmedJobs[len(waiting):])
	s.unconfirmedJobs = waiting
}

// cancelledJob returns the job that a row with the given key cancels, or false if the key does not end in CancelSuffix.
func cancelledJob(key string) (cwmodel.JobID, bool) {
	if n := len(key) - len(CancelSuffix); n > 0 && key[n:] == CancelSuffix {
		return cwmodel.JobID(key[:n]), true
	}
	return "", false
}

// logUnreadableRow logs a row that could not be decoded and is therefore skipped.
func (s *session) logUnreadableRow(row cwcellport.Row, err error) {
	s.owner.opts.Log.WithFields(cwlog.Fields{"table": row.Table, "key": row.Key, "version": row.Version, "error": err.Error()}).Error("row-unreadable")
}

// Timing of the watches. Peers notify the owner of accepted jobs at once; the watch finds the jobs whose notification was lost.
const (
	jobsWatchPause    = 500 * time.Millisecond
	workersWatchPause = 400 * time.Millisecond
	watchWait         = time.Second
)

// watchJobs applies the changes of the job rows after a version, until ctx ends. If the store no longer has the history of these
// changes, it reads all jobs again.
func (s *session) watchJobs(ctx context.Context, after uint64) {
	for {
		rows, version, err := s.owner.opts.Store.Watch(TableJobs, after, watchWait)
		switch {
		case err == nil:
			after = max(after, version)
			if len(rows) > 0 {
				s.post(func(now time.Time) { s.applyJobRows(rows, now) })
			}
		case cwfault.CodeOf(err) == cwfault.NotFound:
			after = s.reloadJobs(after)
		}
		if !s.pauseWatch(ctx, len(rows), jobsWatchPause) {
			return
		}
	}
}

// pauseWatch pauses a watch before its next call and reports whether the watch should continue; false means that ctx has ended.
// received is the number of changes in the last response. There is no pause after a full response, since a watch that lags
// behind finds removed workers too late. Responses omit unreadable rows, so more than half the limit counts as full.
func (s *session) pauseWatch(ctx context.Context, received int, pause time.Duration) bool {
	if received > cwcellport.MaxWatchRows/2 {
		return ctx.Err() == nil
	}
	return s.owner.opts.Timer.Sleep(ctx.Done(), pause)
}

// reloadJobs reads and applies the job rows of all partitions after the store has compacted the history of their changes. It
// returns the version to watch from, the lowest one of the reads. If a read fails, it returns after, so that the watch repeats
// the reload.
func (s *session) reloadJobs(after uint64) uint64 {
	next := uint64(0)
	for _, name := range s.partitionNames {
		rows, version, err := s.owner.opts.Store.Read(TableJobs, name, "", "", loadTimeout)
		if err != nil {
			return after
		}
		if next == 0 || version < next {
			next = version
		}
		s.post(func(now time.Time) { s.applyJobRows(rows, now) })
	}
	s.owner.opts.Log.WithFields(cwlog.Fields{"feed": "jobs", "after": after, "version": next}).Info("feed-reread")
	return next
}

// watchWorkers applies the changes of the platform's registry after a version, until ctx ends. If the history of these changes
// was compacted, it reads the whole registry again.
func (s *session) watchWorkers(ctx context.Context, after uint64) {
	for {
		sentAt := s.owner.opts.Timer.Now()
		list, version, err := s.owner.opts.Registry.Watch(after, watchWait)
		switch {
		case err == nil:
			after = max(after, version)
			s.post(func(now time.Time) {
				s.registrySentAt = sentAt
				s.applyWorkerChanges(list, now)
			})
		case cwfault.CodeOf(err) == cwfault.NotFound:
			after = s.reloadWorkers(after)
		}
		if !s.pauseWatch(ctx, len(list), workersWatchPause) {
			return
		}
	}
}

// reloadWorkers reads the whole registry after the history of its changes was dropped, and returns the version to watch from.
// Workers that the registry no longer lists are marked as unlisted. If the read fails, it returns after, so that the watch
// repeats the reload.
func (s *session) reloadWorkers(after uint64) uint64 {
	sentAt := s.owner.opts.Timer.Now()
	list, version, err := s.owner.opts.Registry.List(loadTimeout)
	if err != nil {
		return after
	}
	s.owner.opts.Log.WithFields(cwlog.Fields{"feed": "workers", "after": after, "version": version}).Info("feed-reread")
	s.post(func(now time.Time) {
		s.registrySentAt = sentAt
		present := make(map[cwmodel.HostID]struct{}, len(list))
		for _, w := range list {
			present[w.ID] = struct{}{}
			s.updateWorker(w, now)
		}
		for id := range s.links {
			if _, ok := present[id]; !ok {
				s.cell.UnlistWorker(id, now)
			}
		}
	})
	return version
}

// applyWorkerChanges applies changed registry entries; a worker whose entry was removed is marked as unlisted.
func (s *session) applyWorkerChanges(list []cwcellport.WorkerEntry, now time.Time) {
	for _, w := range list {
		if w.Removed {
			s.cell.UnlistWorker(w.ID, now)
			continue
		}
		s.updateWorker(w, now)
	}
}
