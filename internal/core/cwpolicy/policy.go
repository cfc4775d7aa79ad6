// Package cwpolicy holds the configuration that operators edit: profiles and teams under one version.
package cwpolicy

import (
	"slices"
	"strings"
	"time"

	"currantward/internal/core/cwmodel"
)

// Version numbers the whole configuration; each accepted change raises it by one.
type Version uint64

// Profile says how one kind of work is treated.
type Profile struct {
	Name            cwmodel.ProfileName
	Kind            cwmodel.Kind
	Class           cwmodel.Class
	Weight          float64       // share among profiles of the same class
	GuaranteedShare float64       // part of the fleet kept for it while it has work, 0 to 1
	Ceiling         float64       // part of the fleet that it never exceeds, 0 to 1
	QueueLimit      int           // tasks that may wait at one entry host
	Deadline        time.Duration // used where a request states none; zero for none
	Lease           time.Duration // how long a task goes on without hearing from its owner
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
	Quota  cwmodel.Resources // the most that the team uses at once; zero in a dimension means no limit
}

// Configuration is one immutable version of all profiles and teams.
type Configuration struct {
	Version  Version
	Profiles []Profile // sorted by name
	Teams    []Team    // sorted by name
}

// Sort puts profiles and teams in the order of their names.
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
