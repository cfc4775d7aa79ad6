// Package cwcodec defines the JSON forms that the APIs and the stored rows use, and converts them to and from the domain types of the
// core. X.ToModel converts the JSON form X to the domain type; XOf converts the domain type to the JSON form X.
package cwcodec

import (
	"encoding/json"
	"time"

	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Duration is a duration that is encoded as text such as "1.5s".
type Duration time.Duration

// MarshalText encodes the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText decodes text such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return cwfault.New(cwfault.Invalid, "%q is not a duration such as 1.5s", text)
	}
	*d = Duration(parsed)
	return nil
}

const bytesPerMiB = 1 << 20

// Resources is the JSON form of a resource vector. Omitted keys are zero.
type Resources struct {
	Processors   float64 `json:"processors,omitempty"`
	MemoryMiB    int64   `json:"memory-mib,omitempty"`
	Accelerators int64   `json:"accelerators,omitempty"`
	Slots        int64   `json:"slots,omitempty"`
	Connections  int64   `json:"connections,omitempty"`
}

// ToModel converts the resources to the domain type. Processors are rounded to thousandths.
func (r Resources) ToModel() cwmodel.Resources {
	return cwmodel.Resources{
		MilliProcessors: int64(r.Processors*1000 + 0.5),
		MemoryBytes:     r.MemoryMiB * bytesPerMiB,
		Accelerators:    r.Accelerators,
		Slots:           r.Slots,
		Connections:     r.Connections,
	}
}

// ResourcesOf converts resources to their JSON form. Memory is rounded down to whole MiB.
func ResourcesOf(r cwmodel.Resources) Resources {
	return Resources{
		Processors:   float64(r.MilliProcessors) / 1000,
		MemoryMiB:    r.MemoryBytes / bytesPerMiB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
		Connections:  r.Connections,
	}
}

// Profile is the JSON form of one profile.
type Profile struct {
	Name            string    `json:"name"`
	Kind            string    `json:"kind"`
	Class           string    `json:"class"`
	Weight          float64   `json:"weight,omitempty"`
	GuaranteedShare float64   `json:"guaranteed-share,omitempty"`
	Ceiling         float64   `json:"ceiling,omitempty"`
	QueueLimit      int       `json:"queue-limit,omitempty"`
	Deadline        Duration  `json:"deadline,omitempty"`
	Lease           Duration  `json:"lease,omitempty"`
	RunTime         Duration  `json:"run-time,omitempty"`
	Demand          Resources `json:"demand"`
	MaxAttempts     int       `json:"max-attempts,omitempty"`
	Repeatable      bool      `json:"repeatable"`
	Checkpointable  bool      `json:"checkpointable,omitempty"`
}

// Defaults of omitted keys of profiles and teams.
const (
	defaultWeight                = 1
	defaultCeiling               = 1
	defaultQueueLimit            = 1000
	defaultRequestLease          = 10 * time.Second
	defaultJobLease              = 2 * time.Minute
	defaultRepeatableMaxAttempts = 3
)

// ToModel converts the profile to the domain type with defaults for omitted keys. It does not validate the profile.
func (p Profile) ToModel() cwpolicy.Profile {
	model := cwpolicy.Profile{
		Name:            cwmodel.ProfileName(p.Name),
		Kind:            cwmodel.Kind(p.Kind),
		Class:           cwmodel.Class(p.Class),
		Weight:          orDefault(p.Weight, defaultWeight),
		GuaranteedShare: p.GuaranteedShare,
		Ceiling:         orDefault(p.Ceiling, defaultCeiling),
		QueueLimit:      orDefault(p.QueueLimit, defaultQueueLimit),
		Deadline:        time.Duration(p.Deadline),
		Lease:           time.Duration(p.Lease),
		RunTime:         time.Duration(p.RunTime),
		Demand:          p.Demand.ToModel(),
		MaxAttempts:     p.MaxAttempts,
		Repeatable:      p.Repeatable,
		Checkpointable:  p.Checkpointable,
	}
	if model.Lease == 0 {
		model.Lease = defaultJobLease
		if model.Kind == cwmodel.KindRequest {
			model.Lease = defaultRequestLease
		}
	}
	if model.MaxAttempts == 0 {
		model.MaxAttempts = 1
		if model.Repeatable {
			model.MaxAttempts = defaultRepeatableMaxAttempts
		}
	}
	return model
}

// orDefault returns v, or fallback if v is the zero value.
func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// ProfileOf converts a profile to its JSON form.
func ProfileOf(p cwpolicy.Profile) Profile {
	return Profile{
		Name:            string(p.Name),
		Kind:            string(p.Kind),
		Class:           string(p.Class),
		Weight:          p.Weight,
		GuaranteedShare: p.GuaranteedShare,
		Ceiling:         p.Ceiling,
		QueueLimit:      p.QueueLimit,
		Deadline:        Duration(p.Deadline),
		Lease:           Duration(p.Lease),
		RunTime:         Duration(p.RunTime),
		Demand:          ResourcesOf(p.Demand),
		MaxAttempts:     p.MaxAttempts,
		Repeatable:      p.Repeatable,
		Checkpointable:  p.Checkpointable,
	}
}

// Team is the JSON form of one team.
type Team struct {
	Name   string    `json:"name"`
	Weight float64   `json:"weight,omitempty"`
	Quota  Resources `json:"quota"`
}

// ToModel converts the team to the domain type with defaults for omitted keys. It does not validate the team.
func (t Team) ToModel() cwpolicy.Team {
	return cwpolicy.Team{Name: cwmodel.TeamName(t.Name), Weight: orDefault(t.Weight, defaultWeight), Quota: t.Quota.ToModel()}
}

// TeamOf converts a team to its JSON form.
func TeamOf(t cwpolicy.Team) Team {
	return Team{Name: string(t.Name), Weight: t.Weight, Quota: ResourcesOf(t.Quota)}
}

// Configuration is the JSON form of a configuration.
type Configuration struct {
	Version  uint64    `json:"version"`
	Profiles []Profile `json:"profiles"`
	Teams    []Team    `json:"teams"`
}

// ToModel converts the configuration to the domain type, sorted by name. It does not validate the configuration.
func (c Configuration) ToModel() cwpolicy.Configuration {
	model := cwpolicy.Configuration{Version: cwpolicy.Version(c.Version)}
	for _, p := range c.Profiles {
		model.Profiles = append(model.Profiles, p.ToModel())
	}
	for _, t := range c.Teams {
		model.Teams = append(model.Teams, t.ToModel())
	}
	model.Sort()
	return model
}

// ConfigurationOf converts a configuration to its JSON form.
func ConfigurationOf(c cwpolicy.Configuration) Configuration {
	document := Configuration{Version: uint64(c.Version), Profiles: []Profile{}, Teams: []Team{}}
	for _, p := range c.Profiles {
		document.Profiles = append(document.Profiles, ProfileOf(p))
	}
	for _, t := range c.Teams {
		document.Teams = append(document.Teams, TeamOf(t))
	}
	return document
}

// EncodeConfiguration encodes a configuration as JSON.
func EncodeConfiguration(c cwpolicy.Configuration) ([]byte, error) {
	return json.Marshal(ConfigurationOf(c))
}

// DecodeConfiguration decodes and validates a configuration.
func DecodeConfiguration(data []byte) (c cwpolicy.Configuration, err error) {
	var document Configuration
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return c, err
	}
	c = document.ToModel()
	return c, c.Validate()
}

// DecodeTeam decodes and validates a team.
func DecodeTeam(data []byte) (t cwpolicy.Team, err error) {
	var document Team
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return t, err
	}
	t = document.ToModel()
	return t, t.Validate()
}

// DecodeProfile decodes and validates a profile.
func DecodeProfile(data []byte) (p cwpolicy.Profile, err error) {
	var document Profile
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return p, err
	}
	p = document.ToModel()
	return p, p.Validate()
}
