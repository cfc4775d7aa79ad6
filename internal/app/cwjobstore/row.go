package cwjobstore

import (
	"strconv"
	"strings"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwtablewriter"
	"currantward/internal/core/cwjob"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Key prefixes of the rows of jobs.
const (
	PrefixLive  = "job/live/"
	PrefixEnded = "job/ended/"
	prefixHint  = "job/hint/"
)

// KeyLive returns the key of the row of a live job.
func KeyLive(id cwmodel.JobID) string { return PrefixLive + string(id) }

// KeyEnded returns the key of the row of an ended job.
func KeyEnded(id cwmodel.JobID) string { return PrefixEnded + string(id) }

// prefixHints returns the key prefix of the hints for a host. A hint asks the host to read a job again and reconcile it.
func prefixHints(host cwmodel.HostID) string { return prefixHint + string(host) + "/" }

// keyHint returns the key of the hint for a host that names a job.
func keyHint(host cwmodel.HostID, id cwmodel.JobID) string { return prefixHints(host) + string(id) }

// JobOfHint returns the job that the key of a hint for a host names.
func JobOfHint(host cwmodel.HostID, key string) cwmodel.JobID {
	return cwmodel.JobID(strings.TrimPrefix(key, prefixHints(host)))
}

// KeyPayload returns the key of the object with the large payload of a job.
func KeyPayload(job *cwjob.Job) string { return "job/" + string(job.ID) + "/payload-" + job.Digest }

// KeyOutput returns the key of the object with the large output of an attempt.
func KeyOutput(a cwmodel.Attempt) string {
	return "job/" + string(a.Task) + "/answer-" + strconv.Itoa(a.Number)
}

// CreateWrite returns the write that creates the row of a job.
//
// Its preconditions have version zero: there must be neither a live nor an ended job with this ID.
func CreateWrite(job *cwjob.Job) (w cwtablewriter.Write, err error) {
	value, err := cwcodec.EncodeJob(job)
	if err != nil {
		return w, err
	}
	w.Checks = []cwport.Precondition{{Key: KeyLive(job.ID)}, {Key: KeyEnded(job.ID)}}
	w.Puts = []cwport.Put{{Key: KeyLive(job.ID), Value: value}}
	return w, nil
}

// ReplaceWrite returns the write that replaces the row of a live job, or moves the row of a job that has ended to its other key.
//
// A coordinator other than self gets a hint in the same write. If the coordinator changes, the hint for the previous one is deleted.
func ReplaceWrite(previous, next *cwjob.Job, version cwport.RowVersion, self cwmodel.HostID) (w cwtablewriter.Write, err error) {
	value, err := cwcodec.EncodeJob(next)
	if err != nil {
		return w, err
	}
	id := next.ID
	w.Checks = []cwport.Precondition{{Key: KeyLive(id), Version: version}}
	if next.IsEnded() {
		w.Puts = []cwport.Put{{Key: KeyEnded(id), Value: value}}
		w.Deletes = []string{KeyLive(id)}
	} else {
		w.Puts = []cwport.Put{{Key: KeyLive(id), Value: value}}
	}
	if previous.Coordinator.Host != next.Coordinator.Host {
		w.Deletes = append(w.Deletes, keyHint(previous.Coordinator.Host, id))
	}
	if coordinator := next.Coordinator.Host; coordinator != self {
		w.Puts = append(w.Puts, cwport.Put{Key: keyHint(coordinator, id)})
	}
	return w, nil
}

// HintWrite returns the write that asks a host to read a job again and reconcile it.
func HintWrite(host cwmodel.HostID, id cwmodel.JobID) cwtablewriter.Write {
	return cwtablewriter.Write{Puts: []cwport.Put{{Key: keyHint(host, id)}}, Done: func(cwtablewriter.WriteResult) {}}
}

// RemoveHintWrite returns the write that removes a hint unless it was renewed in the meantime.
func RemoveHintWrite(row cwport.Row) cwtablewriter.Write {
	return cwtablewriter.Write{
		Checks: []cwport.Precondition{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}, Done: func(cwtablewriter.WriteResult) {},
	}
}
