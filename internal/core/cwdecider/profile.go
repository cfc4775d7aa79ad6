package cwdecider

import (
	"cmp"
	"slices"
	"time"

	"currantward/internal/core/cwestimate"
	"currantward/internal/core/cwfairness"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
	"currantward/internal/core/cwquarantine"
)

// profile is a profile with its queues, its use and what was learned of it.
type profile struct {
	cwpolicy.Profile
	account  cwfairness.Account
	rank     int  // of its class; lower is more urgent
	retired  bool // no longer configured; what it runs is still counted
	queues   []*queue
	byTeam   map[cwmodel.TeamName]*queue
	waiting  int
	blocked  uint64 // the pass in which none of its queues had a place
	victims  []*task
	estimate cwestimate.Estimator
	failures cwquarantine.FailureRate
	rate     rate
	busyAt   time.Time // when it last had work
	isActive bool      // it had work within guaranteeMemory
}

// guaranteeMemory is how long a profile without work keeps its guaranteed share free of long work.
const guaranteeMemory = time.Minute

// team is a team with its use.
type team struct {
	name    cwmodel.TeamName
	account cwfairness.Account
}

// rate measures the starts per second while work waits.
type rate struct {
	since  time.Time
	starts int
	value  float64
}

const (
	rateWindow    = 500 * time.Millisecond
	rateSmoothing = 0.5
)

func compareNames(a, b cwmodel.TeamName) int { return cmp.Compare(a, b) }

// profileOf returns the profile of that name; one that is not configured is kept as retired.
func (d *Decider) profileOf(name cwmodel.ProfileName) *profile {
	if p, ok := d.byName[name]; ok {
		return p
	}
	p := &profile{byTeam: map[cwmodel.TeamName]*queue{}, retired: true, rank: len(cwmodel.Classes())}
	p.Name, p.Ceiling = name, 1
	p.account.Weight = 1
	d.byName[name] = p
	d.profiles = append(d.profiles, p)
	d.sortProfiles()
	return p
}

func (d *Decider) sortProfiles() {
	slices.SortFunc(d.profiles, func(a, b *profile) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
	})
}

// updateShares recomputes all shares after a change of the fleet or the configuration.
func (d *Decider) updateShares() {
	total := d.fleet.Total()
	for _, p := range d.profiles {
		p.account.UpdateShares(total)
	}
	for _, t := range d.teams {
		t.account.UpdateShares(total)
	}
}

func (d *Decider) teamOf(name cwmodel.TeamName) *team {
	if t, ok := d.teams[name]; ok {
		return t
	}
	t := &team{name: name}
	t.account.Weight = 1
	d.teams[name] = t
	return t
}

// applyProfiles takes over the settings and floors of the configured profiles.
func (d *Decider) applyProfiles() {
	for _, p := range d.profiles {
		p.retired, p.account.Floor = true, 0
	}
	floors := cwfairness.Floors(d.cfg.Profiles)
	d.fleet.AcceleratorReserve = 0
	for i, settings := range d.cfg.Profiles {
		p := d.profileOf(settings.Name)
		p.Profile, p.retired = settings, false
		p.rank = slices.Index(cwmodel.Classes(), settings.Class)
		p.account.Weight, p.account.Ceiling, p.account.Floor = settings.Weight, settings.Ceiling, floors[i]
		if d.opts.DisableFloors {
			p.account.Floor = 0
		}
		if settings.Demand.Accelerators > 0 {
			d.fleet.AcceleratorReserve = keepAccelerators
		}
	}
	d.sortProfiles()
}

// keepAccelerators is the part of a free accelerator's processors and memory that other work leaves alone.
const keepAccelerators = 0.5

// applyTeams takes over weights and quotas.
func (d *Decider) applyTeams() {
	for _, settings := range d.cfg.Teams {
		t := d.teamOf(settings.Name)
		t.account.Weight, t.account.Quota = settings.Weight, settings.Quota
	}
	d.updateShares()
}

// TeamUsage returns what the teams that have a quota use on the workers of this decider, sorted by name.
func (d *Decider) TeamUsage() (uses []cwmodel.TeamUsage) {
	for _, settings := range d.cfg.Teams {
		used := d.teamOf(settings.Name).account.Used
		if settings.Quota != (cwmodel.Resources{}) && used != (cwmodel.Resources{}) {
			uses = append(uses, cwmodel.TeamUsage{Team: settings.Name, Used: used})
		}
	}
	return uses
}

// SetRemoteUsage states what each team uses on the workers of all other owners, as last known.
//
// Owners that start work at the same moment may together exceed a quota until they hear of each other.
func (d *Decider) SetRemoteUsage(now time.Time, uses []cwmodel.TeamUsage) {
	for _, t := range d.teams {
		t.account.RemoteUsage = cwmodel.Resources{}
	}
	for _, use := range uses {
		t := d.teamOf(use.Team)
		t.account.RemoteUsage = t.account.RemoteUsage.Add(use.Used)
	}
	d.place(now)
}

// noteWork records whether the profile has had work of late.
func (p *profile) noteWork(now time.Time) {
	if p.waiting > 0 || p.account.Used != (cwmodel.Resources{}) {
		p.busyAt = now
	}
	p.isActive = !p.busyAt.IsZero() && now.Sub(p.busyAt) < guaranteeMemory
}

// measureRate closes a window of the start rate; windows in which nothing waited teach nothing.
func (p *profile) measureRate(now time.Time) {
	elapsed := now.Sub(p.rate.since)
	if elapsed < rateWindow {
		return
	}
	if p.waiting > 0 && !p.rate.since.IsZero() {
		latest := float64(p.rate.starts) / elapsed.Seconds()
		if p.rate.value == 0 {
			p.rate.value = latest
		}
		p.rate.value += rateSmoothing * (latest - p.rate.value)
	}
	p.rate.since, p.rate.starts = now, 0
}

// expectedWait returns how long the last of the queue will wait at the measured rate, or 0 if that is not known.
func (p *profile) expectedWait() time.Duration {
	if p.rate.value <= 0 {
		return 0
	}
	return time.Duration(float64(p.waiting) / p.rate.value * float64(time.Second))
}
