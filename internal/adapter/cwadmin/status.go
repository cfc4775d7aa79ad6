package cwadmin

import "currantward/internal/adapter/cwcodec"

// Status is the status of one entry host.
type Status struct {
	Host                 string            `json:"host"`
	DataCentre           string            `json:"data-centre"`
	Ready                bool              `json:"ready"`         // the host accepts requests of callers
	ConfigurationVersion uint64            `json:"configuration"` // active version on this host
	Draining             bool              `json:"leaving"`
	OwnedWorkers         int               `json:"workers"` // workers that this host owns
	Waiting              int               `json:"waiting"` // tasks in the queues of this host
	Running              int               `json:"running"`
	Free                 cwcodec.Resources `json:"free"` // sum over the owned workers
	Peers                []PeerStatus      `json:"peers"`

	// HostListAge is the age of the platform's host list; nil if no list was read yet, in which case Peers may be incomplete.
	HostListAge *cwcodec.Duration `json:"host-list-age,omitempty"`
}

// PeerStatus is the last known status of another entry host.
type PeerStatus struct {
	Host                 string           `json:"host"`
	DataCentre           string           `json:"data-centre"`
	Reachable            bool             `json:"reachable"`
	ConfigurationVersion uint64           `json:"configuration"` // active version in its last report
	Age                  cwcodec.Duration `json:"age,omitempty"` // since its last report; absent if there was none
	OwnedWorkers         int              `json:"workers"`       // workers that it owned in its last report
	Draining             bool             `json:"leaving,omitempty"`
}

// Rollout lists the entry hosts by whether a version of the configuration is active on them.
type Rollout struct {
	Version     uint64   `json:"version"`
	Everywhere  bool     `json:"everywhere"`  // active on every host of a known host list
	Hosts       []string `json:"hosts"`       // the version, or a later one, is active
	Behind      []string `json:"behind"`      // an earlier version is active
	Unreachable []string `json:"unreachable"` // the active version is not known
}

// Rollout lists the entry hosts on which a version of the configuration is active, those that are behind and those that are unreachable.
// Draining hosts are omitted because they take no new work. Everywhere is false while the host list is not known, since peers may be missing.
func (s Status) Rollout(version uint64) Rollout {
	r := Rollout{Version: version, Hosts: []string{}, Behind: []string{}, Unreachable: []string{}}
	r.addHost(s.Host, true, s.ConfigurationVersion)
	for _, p := range s.Peers {
		if !p.Draining {
			r.addHost(p.Host, p.Reachable, p.ConfigurationVersion)
		}
	}
	r.Everywhere = s.HostListAge != nil && len(r.Behind)+len(r.Unreachable) == 0
	return r
}

// addHost adds a host to Unreachable, or by its active version to Behind or Hosts. The version that an unreachable host last reported
// is ignored, because the host may have restarted since.
func (r *Rollout) addHost(host string, reachable bool, activeVersion uint64) {
	switch {
	case !reachable:
		r.Unreachable = append(r.Unreachable, host)
	case activeVersion < r.Version:
		r.Behind = append(r.Behind, host)
	default:
		r.Hosts = append(r.Hosts, host)
	}
}
