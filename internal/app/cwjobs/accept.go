package cwjobs

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantward/internal/app/cwjobrow"
	"currantward/internal/app/cwjobstore"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
)

// Accept enqueues a new job for its first write and returns false if the inbox is full.
//
// It calls reply with the result of the write on the goroutine of the duty; a final result may follow Unknown.
func (j *Jobs) Accept(job *cwjob.Job, reply func(cwtablewriter.WriteResult)) bool {
	return j.inbox.Offer(event{kind: eventAccept, job: job, reply: reply})
}

// Cancel enqueues the cancellation of a job, whichever host coordinates it, and returns false if the inbox is full.
//
// It calls reply with Committed once the cancellation is committed, or once it has no effect because the job has ended or does not exist.
func (j *Jobs) Cancel(id cwmodel.JobID, reply func(cwtablewriter.WriteResult)) bool {
	return j.inbox.Offer(event{kind: eventCancel, id: id, reply: reply})
}

// handleAccept starts the first write of a new job. It replies Conflict at once if the job is in memory already, and Refused if the job
// cannot be encoded or MaxJobs jobs are in memory.
func (j *Jobs) handleAccept(ev event) {
	write, err := cwjobstore.CreateWrite(ev.job)
	if err != nil || len(j.entries) >= j.opts.MaxJobs || j.entries[ev.job.ID] != nil {
		result := cwtablewriter.Refused
		if j.entries[ev.job.ID] != nil {
			result = cwtablewriter.Conflict
		}
		ev.reply(result)
		return
	}
	id := ev.job.ID
	e := j.ensureEntry(id)
	e.callPending = true
	e.BeginCreate(ev.job)
	write.Deadline = j.opts.Timer.Now().Add(j.opts.WriteTimeout)
	write.Done = func(result cwtablewriter.WriteResult) {
		j.deliver(event{kind: eventAccepted, id: id, writeResult: result, reply: ev.reply})
	}
	j.opts.Write(write)
}

// handleAcceptResult handles the result of the first write of a job: it starts to coordinate a committed job and forgets one that was not
// written. After Unknown, the entry stays until the final result arrives. Until applyCommit, e.Next() is the job that the write commits.
func (j *Jobs) handleAcceptResult(ctx context.Context, ev event) {
	e := j.entries[ev.id]
	switch ev.writeResult {
	case cwtablewriter.Committed:
		e.callPending = false
		j.opts.Log.WithFields(logrus.Fields{
			"job-id": e.id, "profile": e.Next().Profile, "team": e.Next().Team, "tasks": len(e.Next().Tasks),
		}).Info("job-accepted")
		j.applyCommit(ctx, e)
		ev.reply(ev.writeResult)
		j.advance(ctx, e)
	case cwtablewriter.Unknown:
		ev.reply(ev.writeResult)
	default:
		j.drop(ctx, e)
		ev.reply(ev.writeResult)
	}
}

// handleCancel enqueues the change that cancels a job, and replies Committed once it is committed or turns out to have no effect. The row
// is read first if the job is not in memory.
func (j *Jobs) handleCancel(ctx context.Context, ev event) {
	j.enqueue(ctx, j.ensureEntry(ev.id), cwjobrow.Change{
		Apply: func(now time.Time, job *cwjob.Job) bool { return job.Cancel(now) },
		Done:  func(bool) { ev.reply(cwtablewriter.Committed) },
	})
}
