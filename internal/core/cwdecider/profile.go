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

// profile is a configured profile with its queues, usage and learned estimates.
type profile struct {
	cwpolicy.Profile
	account      cwfairness.Account
	rank         int  // of its class, 0 for the most urgent; profiles that are not configured come after all classes
	retired      bool // no longer configured; its running tasks are still counted
	queues       []*queue
	queuesByTeam map[cwmodel.TeamName]*queue
	waiting      int     // queued tasks; a queued gang counts once
	blockedPass  uint64  // the latest pass in which all its queues were blocked
	preemptible  []*task // running tasks that may be preempted, roughly in order of start
	estimate     cwestimate.Estimator
	failures     cwquarantine.FailureRate
	startRate    startRate
	lastBusyAt   time.Time // when it last had waiting or running tasks
	isActive     bool      // it had waiting or running tasks within activityWindow
}

// activityWindow is the time for which the guaranteed share of a profile without tasks stays reserved from long tasks of
// other profiles.
const activityWindow = time.Minute

// team is a team with its usage.
type team struct {
	name    cwmodel.TeamName
	account cwfairness.Account
}

// startRate measures the starts per second of a profile while tasks wait.
type startRate struct {
	windowStartedAt time.Time
	starts          int
	value           float64 // zero: not measured yet
}

const (
	rateWindow    = 500 * time.Millisecond
	rateSmoothing = 0.5 // weight of the latest window
)

// compareNames orders team names alphabetically.
func compareNames(a, b cwmodel.TeamName) int { return cmp.Compare(a, b) }

// profileOf returns the profile with the given name. If it is not configured, it is created as retired, so that its running
// tasks are accounted for.
func (d *Decider) profileOf(name cwmodel.ProfileName) *profile {
	if p, ok := d.profilesByName[name]; ok {
		return p
	}
	p := &profile{queuesByTeam: map[cwmodel.TeamName]*queue{}, retired: true, rank: len(cwmodel.Classes())}
	p.Name, p.Ceiling = name, 1
	p.account.Weight = 1
	d.profilesByName[name] = p
	d.profiles = append(d.profiles, p)
	d.sortProfiles()
	return p
}

// sortProfiles sorts the profiles by class, then name.
func (d *Decider) sortProfiles() {
	slices.SortFunc(d.profiles, func(a, b *profile) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Name, b.Name))
	})
}

// updateShares recomputes all shares after a change of the fleet or of the configuration.
func (d *Decider) updateShares() {
	total := d.fleet.Total()
	for _, p := range d.profiles {
		p.account.UpdateShares(total)
	}
	for _, t := range d.teams {
		t.account.UpdateShares(total)
	}
}

// teamOf returns the team with the given name and creates it with weight 1 on first use.
func (d *Decider) teamOf(name cwmodel.TeamName) *team {
	if t, ok := d.teams[name]; ok {
		return t
	}
	t := &team{name: name}
	t.account.Weight = 1
	d.teams[name] = t
	return t
}

// applyProfiles applies the settings and floors of the configured profiles and retires all others. It sets the accelerator
// reserve if a profile needs accelerators.
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
			d.fleet.AcceleratorReserve = acceleratorReserve
		}
	}
	d.sortProfiles()
}

// acceleratorReserve is the part of the processors and memory beside a free accelerator that is kept for
// tasks that need accelerators.
const acceleratorReserve = 0.5

// applyTeams applies the weights and quotas of the configured teams.
func (d *Decider) applyTeams() {
	for _, settings := range d.cfg.Teams {
		t := d.teamOf(settings.Name)
		t.account.Weight, t.account.Quota = settings.Weight, settings.Quota
	}
	d.updateShares()
}

// TeamUsage returns the usage on the workers of this decider of each team that has a quota, sorted by name.
func (d *Decider) TeamUsage() (uses []cwmodel.TeamUsage) {
	for _, settings := range d.cfg.Teams {
		used := d.teamOf(settings.Name).account.Used
		if settings.Quota != (cwmodel.Resources{}) && used != (cwmodel.Resources{}) {
			uses = append(uses, cwmodel.TeamUsage{Team: settings.Name, Used: used})
		}
	}
	return uses
}

// SetRemoteUsage sets the last known usage of each team on the workers of all other owners.
//
// Owners that start tasks at the same time may together exceed a quota until they exchange their usage.
func (d *Decider) SetRemoteUsage(now time.Time, uses []cwmodel.TeamUsage) {
	for _, t := range d.teams {
		t.account.RemoteUsage = cwmodel.Resources{}
	}
	for _, use := range uses {
		t := d.teamOf(use.Team)
		t.account.RemoteUsage = t.account.RemoteUsage.Add(use.Used)
	}
	d.schedule(now)
}

// updateActivity records whether the profile has had waiting or running tasks within activityWindow.
func (p *profile) updateActivity(now time.Time) {
	if p.waiting > 0 || p.account.Used != (cwmodel.Resources{}) {
		p.lastBusyAt = now
	}
	p.isActive = !p.lastBusyAt.IsZero() && now.Sub(p.lastBusyAt) < activityWindow
}

// updateStartRate updates the moving average of the start rate at the end of each rateWindow. It ignores windows after which
// no task waits, since they do not show how many tasks could have started.
func (p *profile) updateStartRate(now time.Time) {
	elapsed := now.Sub(p.startRate.windowStartedAt)
	if elapsed < rateWindow {
		return
	}
	if p.waiting > 0 && !p.startRate.windowStartedAt.IsZero() {
		latest := float64(p.startRate.starts) / elapsed.Seconds()
		if p.startRate.value == 0 {
			p.startRate.value = latest
		}
		p.startRate.value += rateSmoothing * (latest - p.startRate.value)
	}
	p.startRate.windowStartedAt, p.startRate.starts = now, 0
}

// expectedWait returns how long the last waiting task of the profile will wait at the measured start rate, or 0 if no rate
// has been measured yet.
func (p *profile) expectedWait() time.Duration {
	if p.startRate.value <= 0 {
		return 0
	}
	return time.Duration(float64(p.waiting) / p.startRate.value * float64(time.Second))
}
