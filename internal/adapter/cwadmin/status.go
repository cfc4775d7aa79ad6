package cwadmin

import "currantward/internal/adapter/cwcodec"

// Status is the status of one entry host.
type Status struct {
	Host                 string            `json:"host"`
	DataCentre           string            `json:"data-centre"`
	Ready                bool              `json:"ready"`
	ConfigurationVersion uint64            `json:"configuration"`
	Draining             bool              `json:"leaving"`
	OwnedWorkers         int               `json:"workers"`
	Waiting              int               `json:"waiting"`
	Running              int               `json:"running"`
	Free                 cwcodec.Resources `json:"free"`
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
	Workers              int              `json:"workers"`       // in its last report
	Draining             bool             `json:"leaving,omitempty"`
}

// Rollout lists the entry hosts by whether a configuration version is active on them.
type Rollout struct {
	Version     uint64   `json:"version"`
	Everywhere  bool     `json:"everywhere"`
	Hosts       []string `json:"hosts"`
	Behind      []string `json:"behind"`
	Unreachable []string `json:"unreachable"`
}

// Rollout returns the rollout of version; hosts that are leaving are omitted because they take no new work.
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

// addHost adds one host to its list; the last report of an unreachable host is ignored because the host may have restarted since.
func (r *Rollout) addHost(host string, reachable bool, configuration uint64) {
	switch {
	case !reachable:
		r.Unreachable = append(r.Unreachable, host)
	case configuration < r.Version:
		r.Behind = append(r.Behind, host)
	default:
		r.Hosts = append(r.Hosts, host)
	}
}
