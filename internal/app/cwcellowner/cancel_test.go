package cwcellowner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwcellcodec"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwlayout"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// TestCancellationOfAJobThatIsNotAdmittedYet guards against the start of a job whose cancellation was acknowledged: the owner reads the
// cancellation while the job still waits for a renewal of the lease, for its partition to be loaded, or for its row.
func TestCancellationOfAJobThatIsNotAdmittedYet(t *testing.T) {
	const fence, id = 10, cwmodel.JobID("5c0e7a21d94b36f8")
	now := time.Unix(1000, 0)
	submission := &cwwork.Submission{ID: id, Queue: "q", Steps: []cwwork.Step{{Count: 1}}}
	value, err := cwcellcodec.EncodeSubmission(submission)
	if err != nil {
		t.Fatal(err)
	}
	job := cwcellport.Row{RowKey: cwcellport.RowKey{Table: TableJobs, Key: string(id)}, Value: value, Version: fence + 5}
	cancellation := cwcellport.Row{RowKey: cwcellport.RowKey{Table: TableJobs, Key: string(id) + CancelSuffix}, Value: []byte("{}"), Version: fence + 7}
	older, deleted, former := cancellation, cancellation, job
	older.Version, deleted.Deleted, former.Version = fence+3, true, fence-2
	cases := []struct {
		name      string
		loaded    bool // the partition is loaded before the events
		events    func(s *session)
		cancelled bool
	}{
		{"job and cancellation in one response", true, func(s *session) {
			s.applyJobRows([]cwcellport.Row{job, cancellation}, now)
			s.admitConfirmedJobs(now.Add(time.Second))
		}, true},
		{"cancellation while the job is unconfirmed", true, func(s *session) {
			s.applyJobRows([]cwcellport.Row{job}, now)
			s.applyJobRows([]cwcellport.Row{cancellation}, now)
			s.admitConfirmedJobs(now.Add(time.Second))
		}, true},
		{"cancellation before the notification", true, func(s *session) {
			s.applyJobRows([]cwcellport.Row{cancellation}, now)
			s.admit(submission, job.Version, now)
		}, true},
		{"cancellation before the rows of a reload", true, func(s *session) {
			s.applyJobRows([]cwcellport.Row{cancellation}, now)
			s.applyJobRows([]cwcellport.Row{job, cancellation}, now)
			s.admitConfirmedJobs(now.Add(time.Second))
		}, true},
		{"both deferred until the partition is loaded", false, func(s *session) {
			s.applyJobRows([]cwcellport.Row{cancellation}, now)
			s.admit(submission, job.Version, now)
			s.applyPartition(cwlayout.PartitionName(0), &partitionSnapshot{fenceVersion: fence}, now)
		}, true},
		{"read at the takeover", false, func(s *session) {
			s.applyPartition(cwlayout.PartitionName(0), &partitionSnapshot{fenceVersion: fence, jobs: []cwcellport.Row{former, cancellation}}, now)
		}, true},
		{"deferred beside a job of the takeover", false, func(s *session) {
			s.applyJobRows([]cwcellport.Row{cancellation}, now)
			s.applyPartition(cwlayout.PartitionName(0), &partitionSnapshot{fenceVersion: fence, jobs: []cwcellport.Row{former}}, now)
		}, true},
		{"cancellation of an earlier job with the same ID", true, func(s *session) {
			s.applyJobRows([]cwcellport.Row{older, job}, now)
			s.admitConfirmedJobs(now.Add(time.Second))
		}, false},
		{"deleted cancellation", true, func(s *session) {
			s.applyJobRows([]cwcellport.Row{cancellation, deleted, job}, now)
			s.admitConfirmedJobs(now.Add(time.Second))
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := &session{
				owner: &Owner{opts: Options{
					Store: cwcellport.Store{Partitions: 1}, Timer: cwtimer.NewManual(now).Service, Log: cwlog.Discard(),
					OwnedUntil: func(uint64) time.Time { return now.Add(time.Millisecond) },
				}},
				cell:       cwcell.New(cwcell.Options{Policy: func(cwwork.QueueName) (cwwork.QueuePolicy, bool) { return cwwork.QueuePolicy{}, false }}),
				partitions: map[string]*partition{cwlayout.PartitionName(0): {loaded: tc.loaded, fenceVersion: fence}},
				commits:    newCommitState(partition{}),
			}
			tc.events(s)
			_, known := s.cell.JobState(id)
			is.True(known)
			writes := s.cell.NextWrites(1, func(cwmodel.JobID) bool { return true })
			is.Equal(len(writes) == 1 && writes[0].State == cwwork.StateCancelled, tc.cancelled)
		})
	}
}
