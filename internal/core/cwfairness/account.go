// Package cwfairness accounts for the usage of profiles and teams and orders them by weighted dominant share.
package cwfairness

import (
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Account is the usage of one profile or team with its limits.
type Account struct {
	Used    cwmodel.Resources
	Weight  float64
	Floor   float64           // share of the fleet below which it is served before accounts above their floors
	Ceiling float64           // share of the fleet that is never exceeded; zero for no limit
	Quota   cwmodel.Resources // limit in each dimension; zero: no limit

	// RemoteUsage is the last known usage on the workers of other owners, which counts against the quota.
	RemoteUsage cwmodel.Resources

	share    float64 // dominant share of Used in the fleet
	weighted float64 // share divided by Weight
}

// Charge adds amount to the usage; total is the capacity of the fleet.
func (a *Account) Charge(amount, total cwmodel.Resources) {
	a.Used = a.Used.Add(amount)
	a.UpdateShares(total)
}

// UpdateShares recomputes the shares after a change of the usage, the weight or the fleet.
func (a *Account) UpdateShares(total cwmodel.Resources) {
	a.share = a.Used.DominantShare(total)
	a.weighted = a.share / max(a.Weight, minWeight)
}

// minWeight replaces smaller weights, to avoid a division by zero.
const minWeight = 1e-6

// Share returns the dominant share of the usage in the fleet.
func (a *Account) Share() float64 { return a.share }

// WeightedShare returns the dominant share divided by the weight.
func (a *Account) WeightedShare() float64 { return a.weighted }

// IsBelowFloor reports whether the dominant share is below the floor.
func (a *Account) IsBelowFloor() bool { return a.share < a.Floor }

// WithinCeiling reports whether the usage stays within the ceiling with a demand added. Without any usage, a demand is always
// allowed, so that one task can run whatever its size.
func (a *Account) WithinCeiling(demand, total cwmodel.Resources) bool {
	if a.Ceiling <= 0 || a.Ceiling >= 1 || a.Used == (cwmodel.Resources{}) {
		return true
	}
	return a.Used.Add(demand).DominantShare(total) <= a.Ceiling
}

// WithinQuota reports whether the usage stays within the quota with a demand added; zero in a dimension means no limit.
//
// The first task is always allowed, since its admission has checked it against the whole quota.
func (a *Account) WithinQuota(demand cwmodel.Resources) bool {
	used := a.Used.Add(a.RemoteUsage)
	return used == (cwmodel.Resources{}) || FitsQuota(used.Add(demand), a.Quota)
}

// FitsQuota reports whether use is at most the quota in each dimension with a limit.
func FitsQuota(use, quota cwmodel.Resources) bool {
	return fitsLimit(use.MilliProcessors, quota.MilliProcessors) &&
		fitsLimit(use.MemoryBytes, quota.MemoryBytes) &&
		fitsLimit(use.Accelerators, quota.Accelerators) &&
		fitsLimit(use.Slots, quota.Slots) &&
		fitsLimit(use.Connections, quota.Connections)
}

// fitsLimit reports whether use is at most limit; a zero limit allows any use.
func fitsLimit(use, limit int64) bool { return limit == 0 || use <= limit }

// Floors returns the floor of each profile: its guaranteed share, or if it has none, its part by weight of the share that is
// not guaranteed to any profile. No floor exceeds the ceiling of its profile.
//
// The floors add up to at most one, whatever the classes, so that no class can starve another.
func Floors(profiles []cwpolicy.Profile) (floors []float64) {
	var guaranteed, weights float64
	for _, p := range profiles {
		guaranteed += p.GuaranteedShare
		if p.GuaranteedShare == 0 {
			weights += p.Weight
		}
	}
	unguaranteed := max(1-guaranteed, 0)
	for _, p := range profiles {
		floor := p.GuaranteedShare
		if floor == 0 && weights > 0 {
			floor = unguaranteed * p.Weight / weights
		}
		floors = append(floors, min(floor, p.Ceiling))
	}
	return floors
}
