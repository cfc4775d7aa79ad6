package cwwork

import (
	"time"

	"currantward/internal/base/cwfault"
)

// Limits of a submission, so that one job cannot exhaust an owner's memory.
const (
	MaxPayloadBytes = 4000  // set by the users' protocol
	MaxSteps        = 256   // per job
	MaxTasks        = 20000 // tasks of all steps
	// MaxSchedule is the longest time from the first to the last occurrence of a repeated job.
	MaxSchedule = 100 * 365 * 24 * time.Hour
)

// Validate returns an error for the first invalid field of a submission.
func (s *Submission) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return cwfault.New(cwfault.Invalid, "the payload has %d bytes, above the limit of %d", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return cwfault.New(cwfault.Invalid, "a job has 1 to %d steps, not %d", MaxSteps, len(s.Steps))
	}
	if s.Repeats < 0 || (s.Repeats > 1 && s.Interval <= 0) {
		return cwfault.New(cwfault.Invalid, "a repeated job needs a positive interval")
	}
	if s.Repeats > 1 && s.Interval > MaxSchedule/time.Duration(s.Repeats) {
		return cwfault.New(cwfault.Invalid, "the occurrences of a job span at most %s", MaxSchedule)
	}
	tasks := 0
	for n := range s.Steps {
		if err := s.Steps[n].validate(n); err != nil {
			return err
		}
		tasks += s.Steps[n].Count
	}
	if tasks > MaxTasks {
		return cwfault.New(cwfault.Invalid, "the job has %d tasks, above the limit of %d", tasks, MaxTasks)
	}
	return nil
}

// validate returns an error for the first invalid field of the step with a number.
func (s *Step) validate(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return cwfault.New(cwfault.Invalid, "step %d has %d tasks, a step has 1 to %d", number, s.Count, MaxTasks)
	case !s.Demand.IsNonNegative():
		return cwfault.New(cwfault.Invalid, "step %d asks for negative resources", number)
	case s.MaxPerWorker < 0 || s.Estimate < 0 || s.TailLatencyLimit < 0:
		return cwfault.New(cwfault.Invalid, "step %d has a negative limit or estimate", number)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= number {
			return cwfault.New(cwfault.Invalid, "step %d comes after step %d, which is not an earlier one", number, dependency)
		}
	}
	return nil
}
