package cwpolicy

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// Limits of the fields of a profile.
const (
	MaxDeadline   = 24 * time.Hour
	MaxQueueLimit = 1_000_000
	MaxAttempts   = 100
	MinLease      = time.Second
	MaxLease      = time.Hour
)

// namePattern matches a valid name; see IsValidName.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidationErrors collects all errors in one input, each with its key.
type ValidationErrors struct{ list []string }

// Check adds an error under key unless ok is true.
func (e *ValidationErrors) Check(ok bool, key, format string, args ...any) {
	if !ok {
		e.list = append(e.list, key+": "+fmt.Sprintf(format, args...))
	}
}

// Err returns one Invalid error that lists all errors, or nil.
func (e *ValidationErrors) Err() error {
	if len(e.list) == 0 {
		return nil
	}
	return cwfault.New(cwfault.Invalid, "%s", strings.Join(e.list, "; "))
}

// IsValidName reports whether s is a valid name: kebab case, 1 to 63 characters.
func IsValidName(s string) bool { return namePattern.MatchString(s) }

// Validate returns an error that lists all errors in the configuration, or nil.
func (c *Configuration) Validate() error {
	var errs ValidationErrors
	for n, p := range c.Profiles {
		p.check(&errs, fmt.Sprintf("profiles[%d](%s)", n, p.Name))
		errs.Check(n == 0 || c.Profiles[n-1].Name < p.Name, "profiles", "name %q stands twice or out of order", p.Name)
	}
	for n, t := range c.Teams {
		t.check(&errs, fmt.Sprintf("teams[%d](%s)", n, t.Name))
		errs.Check(n == 0 || c.Teams[n-1].Name < t.Name, "teams", "name %q stands twice or out of order", t.Name)
	}
	var guaranteed float64
	for _, p := range c.Profiles {
		guaranteed += p.GuaranteedShare
	}
	errs.Check(guaranteed <= 1, "profiles", "guaranteed shares add up to %.3f, above 1", guaranteed)
	return errs.Err()
}

// Validate returns an error that lists all errors in the profile, or nil.
func (p *Profile) Validate() error {
	var errs ValidationErrors
	p.check(&errs, "profile")
	return errs.Err()
}

// Validate returns an error that lists all errors in the team, or nil.
func (t *Team) Validate() error {
	var errs ValidationErrors
	t.check(&errs, "team")
	return errs.Err()
}

// check adds the errors in the profile to errs, under keys that begin with key.
func (p *Profile) check(errs *ValidationErrors, key string) {
	errs.Check(IsValidName(string(p.Name)), key+".name", "%q is not kebab case of 1 to 63 characters", p.Name)
	_, kindErr := cwmodel.ParseKind(string(p.Kind))
	errs.Check(kindErr == nil, key+".kind", "unknown kind %q", p.Kind)
	_, classErr := cwmodel.ParseClass(string(p.Class))
	errs.Check(classErr == nil, key+".class", "unknown class %q", p.Class)
	errs.Check(p.Weight > 0 && p.Weight <= 1000, key+".weight", "%v is not above 0 and at most 1000", p.Weight)
	errs.Check(p.GuaranteedShare >= 0 && p.GuaranteedShare <= 1, key+".guaranteed-share", "%v is not from 0 to 1", p.GuaranteedShare)
	errs.Check(p.Ceiling > 0 && p.Ceiling <= 1, key+".ceiling", "%v is not above 0 and at most 1", p.Ceiling)
	errs.Check(p.GuaranteedShare <= p.Ceiling, key+".guaranteed-share", "%v is above the ceiling %v", p.GuaranteedShare, p.Ceiling)
	errs.Check(p.QueueLimit >= 1 && p.QueueLimit <= MaxQueueLimit, key+".queue-limit", "%d is not from 1 to %d", p.QueueLimit, MaxQueueLimit)
	errs.Check(p.Deadline >= 0 && p.Deadline <= MaxDeadline, key+".deadline", "%v is not from 0 to %v", p.Deadline, MaxDeadline)
	errs.Check(p.Lease >= MinLease && p.Lease <= MaxLease, key+".lease", "%v is not from %v to %v", p.Lease, MinLease, MaxLease)
	errs.Check(p.RunTime >= 0, key+".run-time", "%v is negative", p.RunTime)
	errs.Check(p.MaxAttempts >= 1 && p.MaxAttempts <= MaxAttempts, key+".max-attempts", "%d is not from 1 to %d", p.MaxAttempts, MaxAttempts)
	errs.Check(p.Repeatable || p.MaxAttempts == 1, key+".max-attempts", "%d attempts for work that is not repeatable", p.MaxAttempts)
	errs.Check(p.Demand.IsNonNegative(), key+".demand", "a resource is negative")
	errs.Check(p.Demand != (cwmodel.Resources{}), key+".demand", "no resource is asked for")
	errs.Check(p.Kind != cwmodel.KindRequest || p.Deadline > 0, key+".deadline", "a request needs a deadline")
}

// check adds the errors in the team to errs, under keys that begin with key.
func (t *Team) check(errs *ValidationErrors, key string) {
	errs.Check(IsValidName(string(t.Name)), key+".name", "%q is not kebab case of 1 to 63 characters", t.Name)
	errs.Check(t.Weight > 0 && t.Weight <= 1000, key+".weight", "%v is not above 0 and at most 1000", t.Weight)
	errs.Check(t.Quota.IsNonNegative(), key+".quota", "a resource is negative")
}
