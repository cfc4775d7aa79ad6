// Package cwowner assigns workers and jobs to entry hosts by rendezvous hashing.
package cwowner

import (
	"github.com/cespare/xxhash/v2"

	"currantward/internal/core/cwmodel"
)

// Rank returns the number of hosts that precede self in the order of preferred owners of a key; 0 means that self is the
// preferred owner. The key is the ID of a worker, or that of a job converted to a HostID.
//
// The loss of an entry host moves only the keys that it owned.
func Rank(key, self cwmodel.HostID, hosts []cwmodel.HostID) (rank int) {
	own := score(key, self)
	for _, host := range hosts {
		other := score(key, host)
		if host != self && (other > own || (other == own && host < self)) {
			rank++
		}
	}
	return rank
}

// score returns the weight of a host for a key; the host with the highest one is the preferred owner.
func score(key, host cwmodel.HostID) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(key))
}

// Preferred returns the preferred owner of a key (see Rank), or "" if hosts is empty.
func Preferred(key cwmodel.HostID, hosts []cwmodel.HostID) (best cwmodel.HostID) {
	for _, host := range hosts {
		if best == "" || score(key, host) > score(key, best) || (score(key, host) == score(key, best) && host < best) {
			best = host
		}
	}
	return best
}
