// Package cwconfigchange defines edits of the configuration and their audit records.
package cwconfigchange

import (
	"fmt"
	"slices"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// ID identifies a change; a retry of the change has the same ID.
type ID string

// AuditRecord records who made a change, what it was and when.
type AuditRecord struct {
	Version cwpolicy.Version
	Change  ID
	Actor   string
	At      time.Time
	Summary string
}

// Options are the author and the conditions of an edit.
type Options struct {
	Change   ID                // empty for a new change
	Actor    string            // operator's name
	Expected *cwpolicy.Version // version that the edit is based on; nil if not stated
	DryRun   bool              // validate without committing
}

// Result is the result of a change; for a retry it has no configurations.
type Result struct {
	Version cwpolicy.Version
	Change  ID
	DryRun  bool
	Before  cwpolicy.Configuration
	After   cwpolicy.Configuration
}

// Edit is a change of the configuration, independent of the version that it is applied to.
type Edit struct {
	Summary string

	// Apply returns the edited configuration without modifying its argument.
	Apply func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error)
	// Conflicts reports whether the content that this edit replaces differs between the version on which the edit is based
	// (before) and the present one (now).
	Conflicts func(before, now cwpolicy.Configuration) bool
}

// PutProfile returns an edit that adds or replaces a profile.
func PutProfile(p cwpolicy.Profile) Edit {
	return Edit{
		Summary: fmt.Sprintf("put profile %s", p.Name),
		Apply: func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error) {
			cfg.Profiles = append(withoutProfile(cfg, p.Name), p)
			cfg.Sort()
			return cfg, nil
		},
		Conflicts: profileDiffers(p.Name),
	}
}

// DeleteProfile returns an edit that removes a profile.
func DeleteProfile(name cwmodel.ProfileName) Edit {
	return Edit{
		Summary: fmt.Sprintf("delete profile %s", name),
		Apply: func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error) {
			if _, ok := cfg.Profile(name); !ok {
				return cfg, cwfault.New(cwfault.NotFound, "no profile %q", name)
			}
			cfg.Profiles = withoutProfile(cfg, name)
			return cfg, nil
		},
		Conflicts: profileDiffers(name),
	}
}

// PutTeam returns an edit that adds or replaces a team.
func PutTeam(t cwpolicy.Team) Edit {
	return Edit{
		Summary: fmt.Sprintf("put team %s", t.Name),
		Apply: func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error) {
			cfg.Teams = append(withoutTeam(cfg, t.Name), t)
			cfg.Sort()
			return cfg, nil
		},
		Conflicts: teamDiffers(t.Name),
	}
}

// DeleteTeam returns an edit that removes a team.
func DeleteTeam(name cwmodel.TeamName) Edit {
	return Edit{
		Summary: fmt.Sprintf("delete team %s", name),
		Apply: func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error) {
			if _, ok := cfg.Team(name); !ok {
				return cfg, cwfault.New(cwfault.NotFound, "no team %q", name)
			}
			cfg.Teams = withoutTeam(cfg, name)
			return cfg, nil
		},
		Conflicts: teamDiffers(name),
	}
}

// Replace returns an edit that replaces all profiles and teams; it conflicts with any concurrent change.
func Replace(replacement cwpolicy.Configuration) Edit {
	return Edit{
		Summary: "replace the configuration",
		Apply: func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error) {
			cfg.Profiles, cfg.Teams = slices.Clone(replacement.Profiles), slices.Clone(replacement.Teams)
			cfg.Sort()
			return cfg, nil
		},
		Conflicts: func(before, now cwpolicy.Configuration) bool { return before.Version != now.Version },
	}
}

// withoutProfile returns a copy of the profiles without the named one.
func withoutProfile(cfg cwpolicy.Configuration, name cwmodel.ProfileName) []cwpolicy.Profile {
	return slices.DeleteFunc(slices.Clone(cfg.Profiles), func(p cwpolicy.Profile) bool { return p.Name == name })
}

// withoutTeam returns a copy of the teams without the named one.
func withoutTeam(cfg cwpolicy.Configuration, name cwmodel.TeamName) []cwpolicy.Team {
	return slices.DeleteFunc(slices.Clone(cfg.Teams), func(t cwpolicy.Team) bool { return t.Name == name })
}

// profileDiffers returns a function that reports whether two versions differ in the named profile or only one has it.
func profileDiffers(name cwmodel.ProfileName) func(before, now cwpolicy.Configuration) bool {
	return func(before, now cwpolicy.Configuration) bool {
		a, inA := before.Profile(name)
		b, inB := now.Profile(name)
		return inA != inB || a != b
	}
}

// teamDiffers returns a function that reports whether two versions differ in the named team or only one has it.
func teamDiffers(name cwmodel.TeamName) func(before, now cwpolicy.Configuration) bool {
	return func(before, now cwpolicy.Configuration) bool {
		a, inA := before.Team(name)
		b, inB := now.Team(name)
		return inA != inB || a != b
	}
}
