// Package cwpolicy defines the configuration that operators edit: profiles and teams under one version.
package cwpolicy

import (
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// Version is the version of the whole configuration; each accepted change increments it by one.
type Version uint64

// Profile is the scheduling policy for one kind of tasks.
type Profile struct {
	Name            cwmodel.ProfileName
	Kind            cwmodel.Kind
	Class           cwmodel.Class
	Weight          float64       // share among profiles of the same class
	GuaranteedShare float64       // part of the fleet guaranteed to it while it has tasks, 0 to 1
	Ceiling         float64       // part of the fleet that its tasks never exceed, 0 to 1
	QueueLimit      int           // tasks that may wait at one entry host
	Deadline        time.Duration // default for requests without one; zero for none
	Lease           time.Duration // how long a task keeps running without a renewal from its owner
	RunTime         time.Duration // declared run time, a hint
	Demand          cwmodel.Resources
	MaxAttempts     int
	Repeatable      bool
	Checkpointable  bool
}

// Team is a group of callers with a quota.
type Team struct {
	Name   cwmodel.TeamName
	Weight float64
	Quota  cwmodel.Resources // limit of the capacity in use at once; zero in a dimension means no limit
}

// Configuration is one immutable version of all profiles and teams.
type Configuration struct {
	Version  Version
	Profiles []Profile // sorted by name
	Teams    []Team    // sorted by name
}

// Sort sorts profiles and teams by name.
func (c *Configuration) Sort() {
	slices.SortStableFunc(c.Profiles, func(a, b Profile) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortStableFunc(c.Teams, func(a, b Team) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// Profile returns the profile with the given name.
func (c *Configuration) Profile(name cwmodel.ProfileName) (p Profile, ok bool) {
	for _, p := range c.Profiles {
		if p.Name == name {
			return p, true
		}
	}
	return p, false
}

// Team returns the team with the given name.
func (c *Configuration) Team(name cwmodel.TeamName) (t Team, ok bool) {
	for _, t := range c.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return t, false
}
