// Package cwconfigchange holds the edits of the configuration and the records that they leave.
package cwconfigchange

import (
	"fmt"
	"slices"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// ID names one change; a repeated change carries the same one.
type ID string

// AuditRecord says who changed what and when.
type AuditRecord struct {
	Version cwpolicy.Version
	Change  ID
	Actor   string
	At      time.Time
	Summary string
}

// Options say on which conditions and in whose name an edit is made.
type Options struct {
	Change   ID                // empty for a new one
	Actor    string            // name of the operator
	Expected *cwpolicy.Version // the version that the operator saw; nil if none is stated
	DryRun   bool              // check everything and commit nothing
}

// Result is the answer to one change; a repeated one carries no configurations.
type Result struct {
	Version cwpolicy.Version
	Change  ID
	DryRun  bool
	Before  cwpolicy.Configuration
	After   cwpolicy.Configuration
}

// Edit is one change of the configuration, independent of the version that it is made on.
type Edit struct {
	Summary string

	// Apply returns the edited configuration; it leaves its argument as it is.
	Apply func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error)
	// Conflicts reports whether what this edit replaces differs between two versions.
	Conflicts func(before, now cwpolicy.Configuration) bool
}

// PutProfile returns the edit that adds or replaces one profile.
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

// DeleteProfile returns the edit that removes one profile.
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

// PutTeam returns the edit that adds or replaces one team.
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

// DeleteTeam returns the edit that removes one team.
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

// Replace returns the edit that replaces all profiles and teams; any change meanwhile collides with it.
func Replace(whole cwpolicy.Configuration) Edit {
	return Edit{
		Summary: "replace the configuration",
		Apply: func(cfg cwpolicy.Configuration) (cwpolicy.Configuration, error) {
			cfg.Profiles, cfg.Teams = slices.Clone(whole.Profiles), slices.Clone(whole.Teams)
			cfg.Sort()
			return cfg, nil
		},
		Conflicts: func(before, now cwpolicy.Configuration) bool { return before.Version != now.Version },
	}
}

func withoutProfile(cfg cwpolicy.Configuration, name cwmodel.ProfileName) []cwpolicy.Profile {
	return slices.DeleteFunc(slices.Clone(cfg.Profiles), func(p cwpolicy.Profile) bool { return p.Name == name })
}

func withoutTeam(cfg cwpolicy.Configuration, name cwmodel.TeamName) []cwpolicy.Team {
	return slices.DeleteFunc(slices.Clone(cfg.Teams), func(t cwpolicy.Team) bool { return t.Name == name })
}

func profileDiffers(name cwmodel.ProfileName) func(before, now cwpolicy.Configuration) bool {
	return func(before, now cwpolicy.Configuration) bool {
		a, inA := before.Profile(name)
		b, inB := now.Profile(name)
		return inA != inB || a != b
	}
}

func teamDiffers(name cwmodel.TeamName) func(before, now cwpolicy.Configuration) bool {
	return func(before, now cwpolicy.Configuration) bool {
		a, inA := before.Team(name)
		b, inB := now.Team(name)
		return inA != inB || a != b
	}
}
