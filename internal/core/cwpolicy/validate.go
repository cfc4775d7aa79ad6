package cwpolicy

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
)

// Limits on what a profile may state.
const (
	MaxDeadline   = 24 * time.Hour
	MaxQueueLimit = 1_000_000
	MaxAttempts   = 100
	MinLease      = time.Second
	MaxLease      = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidationErrors collects every fault of one input, each with the key that it concerns.
type ValidationErrors struct{ list []string }

// Check notes a fault under key unless ok holds.
func (f *ValidationErrors) Check(ok bool, key, format string, args ...any) {
	if !ok {
		f.list = append(f.list, key+": "+fmt.Sprintf(format, args...))
	}
}

// Err returns one Invalid error that lists all faults, or nil.
func (f *ValidationErrors) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return cwfault.New(cwfault.Invalid, "%s", strings.Join(f.list, "; "))
}

// IsValidName reports whether s is a valid name: kebab case, 1 to 63 characters.
func IsValidName(s string) bool { return namePattern.MatchString(s) }

// Validate names every fault of the configuration.
func (c *Configuration) Validate() error {
	var f ValidationErrors
	for n, p := range c.Profiles {
		p.check(&f, fmt.Sprintf("profiles[%d](%s)", n, p.Name))
		f.Check(n == 0 || c.Profiles[n-1].Name < p.Name, "profiles", "name %q stands twice or out of order", p.Name)
	}
	for n, t := range c.Teams {
		t.check(&f, fmt.Sprintf("teams[%d](%s)", n, t.Name))
		f.Check(n == 0 || c.Teams[n-1].Name < t.Name, "teams", "name %q stands twice or out of order", t.Name)
	}
	var guaranteed float64
	for _, p := range c.Profiles {
		guaranteed += p.GuaranteedShare
	}
	f.Check(guaranteed <= 1, "profiles", "guaranteed shares add up to %.3f, above 1", guaranteed)
	return f.Err()
}

// Validate names every fault of one profile.
func (p *Profile) Validate() error {
	var f ValidationErrors
	p.check(&f, "profile")
	return f.Err()
}

// Validate names every fault of one team.
func (t *Team) Validate() error {
	var f ValidationErrors
	t.check(&f, "team")
	return f.Err()
}

func (p *Profile) check(f *ValidationErrors, key string) {
	f.Check(IsValidName(string(p.Name)), key+".name", "%q is not kebab case of 1 to 63 characters", p.Name)
	_, kindErr := cwmodel.ParseKind(string(p.Kind))
	f.Check(kindErr == nil, key+".kind", "unknown kind %q", p.Kind)
	_, classErr := cwmodel.ParseClass(string(p.Class))
	f.Check(classErr == nil, key+".class", "unknown class %q", p.Class)
	f.Check(p.Weight > 0 && p.Weight <= 1000, key+".weight", "%v is not above 0 and at most 1000", p.Weight)
	f.Check(p.GuaranteedShare >= 0 && p.GuaranteedShare <= 1, key+".guaranteed-share", "%v is not from 0 to 1", p.GuaranteedShare)
	f.Check(p.Ceiling > 0 && p.Ceiling <= 1, key+".ceiling", "%v is not above 0 and at most 1", p.Ceiling)
	f.Check(p.GuaranteedShare <= p.Ceiling, key+".guaranteed-share", "%v is above the ceiling %v", p.GuaranteedShare, p.Ceiling)
	f.Check(p.QueueLimit >= 1 && p.QueueLimit <= MaxQueueLimit, key+".queue-limit", "%d is not from 1 to %d", p.QueueLimit, MaxQueueLimit)
	f.Check(p.Deadline >= 0 && p.Deadline <= MaxDeadline, key+".deadline", "%v is not from 0 to %v", p.Deadline, MaxDeadline)
	f.Check(p.Lease >= MinLease && p.Lease <= MaxLease, key+".lease", "%v is not from %v to %v", p.Lease, MinLease, MaxLease)
	f.Check(p.RunTime >= 0, key+".run-time", "%v is negative", p.RunTime)
	f.Check(p.MaxAttempts >= 1 && p.MaxAttempts <= MaxAttempts, key+".max-attempts", "%d is not from 1 to %d", p.MaxAttempts, MaxAttempts)
	f.Check(p.Repeatable || p.MaxAttempts == 1, key+".max-attempts", "%d attempts for work that is not repeatable", p.MaxAttempts)
	f.Check(p.Demand.IsNonNegative(), key+".demand", "a resource is negative")
	f.Check(p.Demand != (cwmodel.Resources{}), key+".demand", "no resource is asked for")
	f.Check(p.Kind != cwmodel.KindRequest || p.Deadline > 0, key+".deadline", "a request needs a deadline")
}

func (t *Team) check(f *ValidationErrors, key string) {
	f.Check(IsValidName(string(t.Name)), key+".name", "%q is not kebab case of 1 to 63 characters", t.Name)
	f.Check(t.Weight > 0 && t.Weight <= 1000, key+".weight", "%v is not above 0 and at most 1000", t.Weight)
	f.Check(t.Quota.IsNonNegative(), key+".quota", "a resource is negative")
}
