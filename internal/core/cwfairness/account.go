// Package cwfairness counts what profiles and teams use and orders them by weighted dominant share.
package cwfairness

import (
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// Account is what one profile or team uses and may use.
type Account struct {
	Used    cwmodel.Resources
	Weight  float64
	Floor   float64 // share of the fleet that comes before anybody's surplus
	Ceiling float64 // share of the fleet that is never exceeded; zero for no limit
	Quota   cwmodel.Resources

	// RemoteUsage is what other owners were last known to use of the quota.
	RemoteUsage cwmodel.Resources

	share    float64
	weighted float64
}

// Charge adds to what is used; total is the capacity of the fleet.
func (a *Account) Charge(amount, total cwmodel.Resources) {
	a.Used = a.Used.Add(amount)
	a.UpdateShares(total)
}

// UpdateShares recomputes the shares after a change of the use, the weight or the fleet.
func (a *Account) UpdateShares(total cwmodel.Resources) {
	a.share = a.Used.DominantShare(total)
	a.weighted = a.share / max(a.Weight, minWeight)
}

const minWeight = 1e-6

// Share returns the dominant share of the fleet that is in use.
func (a *Account) Share() float64 { return a.share }

// WeightedShare returns the dominant share divided by the weight.
func (a *Account) WeightedShare() float64 { return a.weighted }

// IsBelowFloor reports whether less than the floor is in use.
func (a *Account) IsBelowFloor() bool { return a.share < a.Floor }

// WithinCeiling reports whether a demand keeps within the ceiling; a first task is always allowed.
func (a *Account) WithinCeiling(demand, total cwmodel.Resources) bool {
	if a.Ceiling <= 0 || a.Ceiling >= 1 || a.Used == (cwmodel.Resources{}) {
		return true
	}
	return a.Used.Add(demand).DominantShare(total) <= a.Ceiling
}

// WithinQuota reports whether a demand keeps within the quota; zero in a dimension means no limit.
//
// A first task is always allowed: whether the whole quota holds it is checked when it is admitted.
func (a *Account) WithinQuota(demand cwmodel.Resources) bool {
	used := a.Used.Add(a.RemoteUsage)
	return used == (cwmodel.Resources{}) || FitsQuota(used.Add(demand), a.Quota)
}

// FitsQuota reports whether use is at most the quota in each dimension that has one.
func FitsQuota(use, quota cwmodel.Resources) bool {
	return within(use.MilliProcessors, quota.MilliProcessors) &&
		within(use.MemoryBytes, quota.MemoryBytes) &&
		within(use.Accelerators, quota.Accelerators) &&
		within(use.Slots, quota.Slots) &&
		within(use.Connections, quota.Connections)
}

func within(use, limit int64) bool { return limit == 0 || use <= limit }

// Floors returns the floor of each profile: its guaranteed share, or its weight's part of what nobody is guaranteed.
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
	open := max(1-guaranteed, 0)
	for _, p := range profiles {
		floor := p.GuaranteedShare
		if floor == 0 && weights > 0 {
			floor = open * p.Weight / weights
		}
		floors = append(floors, min(floor, p.Ceiling))
	}
	return floors
}
