// Package cwcellcodec encodes and decodes the rows of a cell in the platform's store.
package cwcellcodec

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"currantward/internal/core/cwclock"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwwork"
)

// submission is the stored form of an accepted job.
type submission struct {
	Queue      cwwork.QueueName `json:"queue"`
	Payload    string           `json:"payload,omitempty"`
	Steps      []step           `json:"steps"`
	Repeats    int              `json:"repeats,omitempty"`
	FirstDue   int64            `json:"first,omitempty"`
	Interval   milliseconds     `json:"interval,omitempty"`
	AcceptedAt int64            `json:"accepted"`
	Policy     policy           `json:"policy"`
}

// milliseconds is a duration that is stored in whole milliseconds, the precision of the users' protocol.
type milliseconds time.Duration

// MarshalJSON encodes the duration as a number.
func (d milliseconds) MarshalJSON() ([]byte, error) {
	return strconv.AppendInt(nil, time.Duration(d).Milliseconds(), 10), nil
}

// UnmarshalJSON decodes a number of milliseconds.
func (d *milliseconds) UnmarshalJSON(data []byte) (err error) {
	n, err := strconv.ParseInt(string(data), 10, 64)
	*d = milliseconds(time.Duration(n) * time.Millisecond)
	return eris.Wrap(err, "decode milliseconds")
}

type policy struct {
	Service         string  `json:"service"`
	Priority        int     `json:"priority,omitempty"`
	MaxAttempts     int     `json:"max-attempts"`
	Stretch         float64 `json:"stretch,omitempty"`
	TargetLatency   int64   `json:"target,omitempty"`
	AdviceBase      int64   `json:"advice-base,omitempty"` // microseconds
	AdvicePerWorker int64   `json:"advice-each,omitempty"` // microseconds
	AdviceValidity  int64   `json:"advice-valid,omitempty"`
}

type step struct {
	Count            int          `json:"count"`
	MilliProcessors  int64        `json:"processors,omitempty"`
	MemoryBytes      int64        `json:"memory,omitempty"`
	Accelerators     int64        `json:"accelerators,omitempty"`
	Estimate         milliseconds `json:"estimate,omitempty"`
	DependsOn        []int        `json:"after,omitempty"`
	Gang             bool         `json:"gang,omitempty"`
	SameRack         bool         `json:"same-rack,omitempty"`
	RequiredLabel    string       `json:"requires,omitempty"`
	RackAffinity     string       `json:"affinity,omitempty"`
	MaxPerWorker     int          `json:"anti-affinity,omitempty"`
	Speculative      bool         `json:"speculative,omitempty"`
	LongRunning      bool         `json:"long-running,omitempty"`
	Image            string       `json:"image,omitempty"`
	Checkpointable   bool         `json:"saves,omitempty"`
	TailLatencyLimit milliseconds `json:"tail-limit,omitempty"`
	Opportunistic    bool         `json:"fills,omitempty"`
}

// EncodeSubmission returns the stored form of a job.
func EncodeSubmission(s *cwwork.Submission) ([]byte, error) {
	w := submission{
		Queue: s.Queue, Payload: s.Payload, Repeats: s.Repeats, Interval: milliseconds(s.Interval), AcceptedAt: s.AcceptedAt.UnixMilli(),
		Policy: policy{
			Service: s.Policy.Service, Priority: s.Policy.Priority, MaxAttempts: s.Policy.MaxAttempts, Stretch: s.Policy.Stretch,
			TargetLatency: s.Policy.TargetLatency.Milliseconds(), AdviceBase: s.Policy.Advice.Base.Microseconds(),
			AdvicePerWorker: s.Policy.Advice.PerWorker.Microseconds(), AdviceValidity: s.Policy.Advice.Validity.Milliseconds(),
		},
	}
	if !s.FirstDue.IsZero() {
		w.FirstDue = s.FirstDue.UnixMilli()
	}
	for n := range s.Steps {
		t := &s.Steps[n]
		w.Steps = append(w.Steps, step{
			Count: t.Count, MilliProcessors: t.Demand.MilliProcessors, MemoryBytes: t.Demand.MemoryBytes, Accelerators: t.Demand.Accelerators,
			Estimate: milliseconds(t.Estimate), DependsOn: t.DependsOn, Gang: t.Gang, SameRack: t.SameRack, RequiredLabel: t.RequiredLabel,
			RackAffinity: t.RackAffinity, MaxPerWorker: t.MaxPerWorker, Speculative: t.Speculative, LongRunning: t.LongRunning,
			Image: t.Image, Checkpointable: t.Checkpointable, TailLatencyLimit: milliseconds(t.TailLatencyLimit), Opportunistic: t.Opportunistic,
		})
	}
	return json.Marshal(w)
}

// DecodeSubmission decodes and validates the stored form of a job.
func DecodeSubmission(id cwmodel.JobID, data []byte) (s *cwwork.Submission, err error) {
	defer func() { err = eris.Wrapf(err, "decode job %s", id) }()
	var w submission
	if err = json.Unmarshal(data, &w); err != nil {
		return nil, err
	}
	s = &cwwork.Submission{
		ID: id, Queue: w.Queue, Payload: w.Payload, Repeats: w.Repeats, Interval: time.Duration(w.Interval), AcceptedAt: time.UnixMilli(w.AcceptedAt),
		Policy: cwwork.QueuePolicy{
			Service: w.Policy.Service, Priority: w.Policy.Priority, MaxAttempts: w.Policy.MaxAttempts, Stretch: w.Policy.Stretch,
			TargetLatency: time.Duration(w.Policy.TargetLatency) * time.Millisecond,
			Advice: cwwork.Advice{
				Base:      time.Duration(w.Policy.AdviceBase) * time.Microsecond,
				PerWorker: time.Duration(w.Policy.AdvicePerWorker) * time.Microsecond,
				Validity:  time.Duration(w.Policy.AdviceValidity) * time.Millisecond,
			},
		},
	}
	if w.FirstDue != 0 {
		s.FirstDue = time.UnixMilli(w.FirstDue)
	}
	for _, t := range w.Steps {
		s.Steps = append(s.Steps, cwwork.Step{
			Count:    t.Count,
			Demand:   cwmodel.Resources{MilliProcessors: t.MilliProcessors, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators},
			Estimate: time.Duration(t.Estimate), DependsOn: t.DependsOn, Gang: t.Gang, SameRack: t.SameRack, RequiredLabel: t.RequiredLabel,
			RackAffinity: t.RackAffinity, MaxPerWorker: t.MaxPerWorker, Speculative: t.Speculative, LongRunning: t.LongRunning,
			Image: t.Image, Checkpointable: t.Checkpointable, TailLatencyLimit: time.Duration(t.TailLatencyLimit), Opportunistic: t.Opportunistic,
		})
	}
	return s, s.Validate()
}

// Lease is the row of the lease by which one entry host owns a cell.
type Lease struct {
	Holder     cwmodel.HostID     `json:"holder"`
	DataCentre cwmodel.DataCentre `json:"data-centre"`
	Address    netip.AddrPort     `json:"address"`
	Fence      uint64             `json:"fence,omitempty"` // 0 in the row that acquires the lease, since its version is the fence
	Term       int                `json:"term"`
	Renewal    int                `json:"renewal,omitempty"`
	Released   bool               `json:"released,omitempty"`
	Cells      int                `json:"cells,omitempty"` // number of cells of the deployment; 0 means one
	// PriorLeases is the time from the write of the row until all task leases of the owners before the holder have expired.
	PriorLeases milliseconds `json:"prior-leases,omitempty"`
	// FormerOwners bounds the calls of the owners before the holder, each by itself.
	FormerOwners []formerOwner `json:"former-owners,omitempty"`
}

// formerOwner is the stored form of a former owner.
type formerOwner struct {
	Term  int          `json:"term"`
	Calls milliseconds `json:"calls,omitempty"` // from the write of the row until its calls have no effect any more
}

// SetPriorLeases sets PriorLeases, rounded up to a stored precision.
func (l *Lease) SetPriorLeases(d time.Duration) { l.PriorLeases = roundedUp(d) }

// roundedUp returns a duration that is not negative, rounded up to a stored precision.
func roundedUp(d time.Duration) milliseconds {
	return milliseconds((max(0, d) + time.Millisecond - 1).Truncate(time.Millisecond))
}

// SetFormerOwners sets FormerOwners for a row that is written at now or later.
func (l *Lease) SetFormerOwners(list cwclock.FormerOwners, now time.Time) {
	l.FormerOwners = nil
	for _, o := range list {
		l.FormerOwners = append(l.FormerOwners, formerOwner{o.Term, roundedUp(o.CallsExpiry.Sub(now))})
	}
}

// FormerOwnersAfter returns FormerOwners of a row that was written before t.
func (l *Lease) FormerOwnersAfter(t time.Time) (list cwclock.FormerOwners) {
	for _, o := range l.FormerOwners {
		list = append(list, cwclock.FormerOwner{Term: o.Term, CallsExpiry: t.Add(max(0, time.Duration(o.Calls)))})
	}
	return list
}

// PriorLeasesAfter returns the time by which all task leases of the owners before the holder have expired, if the row was written
// before t.
func (l *Lease) PriorLeasesAfter(t time.Time) time.Time {
	return t.Add(max(0, time.Duration(l.PriorLeases)))
}

// EncodeLease returns the stored form of a lease.
func EncodeLease(l Lease) ([]byte, error) { return json.Marshal(l) }

// DecodeLease decodes the stored form of a lease.
func DecodeLease(data []byte) (l Lease, err error) {
	err = eris.Wrap(json.Unmarshal(data, &l), "decode lease")
	return l, err
}

// FinalState is the final state of a job.
type FinalState struct {
	State cwwork.JobState
	At    time.Time // wall-clock time
}

type finalState struct {
	State string `json:"state"`
	At    int64  `json:"at"`
}

// EncodeFinalState returns the stored form of a job's final state.
func EncodeFinalState(s FinalState) ([]byte, error) {
	return json.Marshal(finalState{State: string(s.State), At: s.At.UnixMilli()})
}

// DecodeFinalState decodes the stored form of a job's final state.
func DecodeFinalState(data []byte) (s FinalState, err error) {
	defer func() { err = eris.Wrap(err, "decode final state") }()
	var w finalState
	if err = json.Unmarshal(data, &w); err != nil {
		return s, err
	}
	s.At = time.UnixMilli(w.At)
	s.State, err = cwwork.ParseJobState(w.State)
	return s, err
}

// Member is a worker that may run tasks of the cell.
type Member struct {
	ID          cwmodel.HostID
	Address     netip.AddrPort
	Rack        string
	Incarnation time.Time // zero: none is known
}

// member is the stored form of a member, without its identifier.
type member struct {
	Address     netip.AddrPort `json:"at"`
	Rack        string         `json:"in,omitempty"`
	Incarnation int64          `json:"born,omitempty"` // milliseconds since 1970
}

// EncodeMembers returns the stored form of a list of workers.
func EncodeMembers(list []Member) ([]byte, error) {
	w := make(map[cwmodel.HostID]member, len(list))
	for _, m := range list {
		stored := member{Address: m.Address, Rack: m.Rack}
		if !m.Incarnation.IsZero() {
			stored.Incarnation = m.Incarnation.UnixMilli()
		}
		w[m.ID] = stored
	}
	return json.Marshal(w)
}

// DecodeMembers decodes the stored form of a list of workers and sorts it by identifier.
func DecodeMembers(data []byte) (list []Member, err error) {
	var w map[cwmodel.HostID]member
	if err = json.Unmarshal(data, &w); err != nil {
		return nil, eris.Wrap(err, "decode members")
	}
	for id, m := range w {
		restored := Member{ID: id, Address: m.Address, Rack: m.Rack}
		if m.Incarnation != 0 {
			restored.Incarnation = time.UnixMilli(m.Incarnation)
		}
		list = append(list, restored)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}
