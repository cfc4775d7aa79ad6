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

// Accept asks for the first write of a job and returns false if there is no room; reply may be called again after Unknown.
func (j *Jobs) Accept(job *cwjob.Job, reply func(cwtablewriter.WriteResult)) bool {
	return j.inbox.Offer(event{kind: eventAccept, job: job, reply: reply})
}

// Cancel asks for the cancellation of a job and returns false if there is no room; any host can carry it out.
func (j *Jobs) Cancel(id cwmodel.JobID, reply func(cwtablewriter.WriteResult)) bool {
	return j.inbox.Offer(event{kind: eventCancel, id: id, reply: reply})
}

func (j *Jobs) accept(a event) {
	write, err := cwjobstore.CreateWrite(a.job)
	if err != nil || len(j.entries) >= j.opts.MaxJobs || j.entries[a.job.ID] != nil {
		verdict := cwtablewriter.Refused
		if j.entries[a.job.ID] != nil {
			verdict = cwtablewriter.Conflict
		}
		a.reply(verdict)
		return
	}
	id := a.job.ID
	e := j.entryOf(id)
	e.busy = true
	e.BeginCreate(a.job)
	write.Deadline = j.opts.Timer.Now().Add(j.opts.WriteTimeout)
	write.Done = func(verdict cwtablewriter.WriteResult) {
		j.deliver(event{kind: eventAccepted, id: id, verdict: verdict, reply: a.reply})
	}
	j.opts.Write(write)
}

// accepted takes the verdict on the first write of a job.
func (j *Jobs) accepted(ctx context.Context, back event) {
	e := j.entries[back.id]
	switch back.verdict {
	case cwtablewriter.Committed:
		e.busy = false
		j.opts.Log.WithFields(logrus.Fields{
			"job-id": e.id, "profile": e.Next().Profile, "team": e.Next().Team, "tasks": len(e.Next().Tasks),
		}).Info("job-accepted")
		j.committed(ctx, e)
		back.reply(back.verdict)
		j.advance(ctx, e)
	case cwtablewriter.Unknown:
		back.reply(back.verdict)
	default:
		j.forget(ctx, e)
		back.reply(back.verdict)
	}
}

func (j *Jobs) cancel(ctx context.Context, c event) {
	j.enqueue(ctx, j.entryOf(c.id), cwjobrow.Change{
		Apply: func(now time.Time, job *cwjob.Job) bool { return job.Cancel(now) },
		Done:  func(bool) { c.reply(cwtablewriter.Committed) },
	})
}
