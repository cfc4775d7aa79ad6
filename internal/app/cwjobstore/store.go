// Package cwjobstore reads jobs from the platform's table and object store, and builds the writes of their rows.
package cwjobstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// PageSize is the number of rows per scan of the table.
const PageSize = 200

// Store reads the rows of jobs and their objects.
type Store struct {
	table   cwport.Table
	objects cwport.ObjectStore
}

// New returns a store on a table and an object store.
func New(table cwport.Table, objects cwport.ObjectStore) *Store {
	return &Store{table: table, objects: objects}
}

// ReadLive returns a live job and the version of its row, or nil if there is no such row.
func (s *Store) ReadLive(ctx context.Context, id cwmodel.JobID) (job *cwjob.Job, version cwport.RowVersion, err error) {
	row, err := s.table.Read(ctx, KeyLive(id))
	if err != nil || row.Version == 0 {
		return nil, row.Version, err
	}
	job, err = cwcodec.DecodeJob(row.Value)
	return job, row.Version, err
}

// ScanLive returns the page of live jobs that follows a key; an empty key selects the first page.
func (s *Store) ScanLive(ctx context.Context, after string) ([]cwport.Row, error) {
	return s.table.Scan(ctx, PrefixLive, after, PageSize)
}

// ScanHints returns the first page of hints for a host. Hints are removed once handled, so a later call returns the others.
func (s *Store) ScanHints(ctx context.Context, host cwmodel.HostID) ([]cwport.Row, error) {
	return s.table.Scan(ctx, prefixHints(host), "", PageSize)
}

// Get returns a live or ended job with its large outputs, whichever host coordinates it.
func (s *Store) Get(ctx context.Context, id cwmodel.JobID) (job *cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "get job") }()
	// The live key is read twice, in case the row was created after the first read.
	for _, key := range []string{KeyLive(id), KeyEnded(id), KeyLive(id)} {
		row, err := s.table.Read(ctx, key)
		if err != nil {
			return nil, err
		}
		if row.Version > 0 {
			job, err = cwcodec.DecodeJob(row.Value)
			if err != nil {
				return nil, err
			}
			return job, s.loadOutputs(ctx, job)
		}
	}
	return nil, cwfault.New(cwfault.NotFound, "no job %q", id)
}

// loadOutputs fetches the large outputs of a job from the object store.
func (s *Store) loadOutputs(ctx context.Context, job *cwjob.Job) (err error) {
	for n := range job.Tasks {
		if t := &job.Tasks[n]; t.OutputKey != "" {
			if t.Output, err = s.objects.Get(ctx, t.OutputKey); err != nil {
				return err
			}
		}
	}
	return nil
}

// List returns up to limit jobs of a team, live jobs first, without large outputs.
func (s *Store) List(ctx context.Context, team cwmodel.TeamName, limit int) (jobs []*cwjob.Job, err error) {
	defer func() { err = eris.Wrap(err, "list jobs") }()
	for _, prefix := range []string{PrefixLive, PrefixEnded} {
		after := ""
		for len(jobs) < limit {
			rows, err := s.table.Scan(ctx, prefix+string(team)+".", after, min(PageSize, limit-len(jobs)))
			if err != nil {
				return nil, err
			}
			for _, row := range rows {
				job, err := cwcodec.DecodeJob(row.Value)
				if err != nil {
					return nil, err
				}
				jobs, after = append(jobs, job), row.Key
			}
			if len(rows) == 0 {
				break
			}
		}
	}
	return jobs, nil
}

// Expired decodes the row of a job, reports whether the job ended at least the retention period ago, and returns the keys of its objects.
//
// It returns ok false for a job that has not ended or cannot be decoded.
func Expired(now time.Time, rowValue []byte, retention time.Duration) (objects []string, ok bool) {
	job, err := cwcodec.DecodeJob(rowValue)
	if err != nil || job.EndedAt.IsZero() || now.Sub(job.EndedAt) < retention {
		return nil, false
	}
	if job.PayloadKey != "" {
		objects = append(objects, job.PayloadKey)
	}
	for _, t := range job.Tasks {
		if t.OutputKey != "" {
			objects = append(objects, t.OutputKey)
		}
	}
	return objects, true
}
