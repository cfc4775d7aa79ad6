// Package cwowner decides which entry host should own which worker.
package cwowner

import (
	"github.com/cespare/xxhash/v2"

	"currantward/internal/core/cwmodel"
)

// Preferred returns the entry host that should own a worker, by rendezvous hashing, or "" if there is none.
//
// The loss of one entry host moves only the workers that it owned.
func Preferred(worker cwmodel.HostID, hosts []cwmodel.HostID) (best cwmodel.HostID) {
	var highest uint64
	for _, host := range hosts {
		score := xxhash.Sum64String(string(host) + "\x00" + string(worker))
		if best == "" || score > highest || (score == highest && host < best) {
			best, highest = host, score
		}
	}
	return best
}
