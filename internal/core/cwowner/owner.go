// Package cwowner decides which entry host should own which worker.
package cwowner

import (
	"github.com/cespare/xxhash/v2"

	"currantward/internal/core/cwmodel"
)

// Rank returns how many of hosts should rather own a worker than self, by rendezvous hashing: 0 is the preferred one.
//
// The loss of one entry host moves only the workers that it owned.
func Rank(worker, self cwmodel.HostID, hosts []cwmodel.HostID) (rank int) {
	own := score(worker, self)
	for _, host := range hosts {
		other := score(worker, host)
		if host != self && (other > own || (other == own && host < self)) {
			rank++
		}
	}
	return rank
}

func score(worker, host cwmodel.HostID) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(worker))
}

// Preferred returns the entry host that should own a worker, or "" if there is none.
func Preferred(worker cwmodel.HostID, hosts []cwmodel.HostID) (best cwmodel.HostID) {
	for _, host := range hosts {
		if best == "" || score(worker, host) > score(worker, best) || (score(worker, host) == score(worker, best) && host < best) {
			best = host
		}
	}
	return best
}
