package cwclock

import "time"

// MaxCallDelay is the longest delay with which a worker carries out a call that has got no response.
const MaxCallDelay = 12 * time.Second

// CallsExpiry returns the time at which every call of owners that send none after lastCall has been carried out, and the longest lease from then on
// has expired; maxLease is that lease on the clock of this host.
func CallsExpiry(lastCall time.Time, maxLease time.Duration) time.Time {
	return lastCall.Add(MaxCallDelay + maxLease)
}

// LongestLease returns by the clock of this host how long a lease of maxLease on a worker's clock lasts at most.
func LongestLease(maxLease time.Duration) time.Duration {
	return time.Duration(float64(maxLease) / (1 - Drift))
}

// FormerOwner bounds the calls of a former owner of a cell.
type FormerOwner struct {
	Term        int       // of the owner's lease
	CallsExpiry time.Time // of this owner and those before it, as CallsExpiry returns it
}

// FormerOwners are the former owners of a cell, sorted by term. The bound of an owner that is not in the list is that of the next one.
type FormerOwners []FormerOwner

// maxFormerOwners bounds the list. With an owner a second it covers the longest wait for late calls.
const maxFormerOwners = 32

// With returns the list with a later owner, and without those of which it needs no bound at now: a later one's has passed, too.
func (f FormerOwners) With(o FormerOwner, now time.Time) FormerOwners {
	list := make(FormerOwners, 0, len(f)+1)
	for _, former := range f {
		if former.Term < o.Term {
			list = append(list, former)
		}
	}
	list = append(list, o)
	for len(list) > maxFormerOwners || (len(list) > 1 && !list[1].CallsExpiry.After(now)) {
		list = list[1:]
	}
	return list
}

// CallsExpiry returns the time at which every call of the owner of a term has been carried out, and its effect is over; ok is false if the list
// does not tell.
func (f FormerOwners) CallsExpiry(term int) (expiry time.Time, ok bool) {
	for _, o := range f {
		if term > 0 && o.Term >= term {
			return o.CallsExpiry, true
		}
	}
	return time.Time{}, false
}
