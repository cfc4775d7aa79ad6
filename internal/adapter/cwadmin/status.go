package cwadmin

import "currantward/internal/adapter/cwcodec"

// Status is what one entry host says of itself.
type Status struct {
	Host          string            `json:"host"`
	DataCentre    string            `json:"data-centre"`
	Ready         bool              `json:"ready"`
	Configuration uint64            `json:"configuration"`
	Leaving       bool              `json:"leaving"`
	Workers       int               `json:"workers"`
	Waiting       int               `json:"waiting"`
	Running       int               `json:"running"`
	Free          cwcodec.Resources `json:"free"`
	Peers         []PeerStatus      `json:"peers"`

	// HostListAge is the age of the platform's list of hosts; nil if none was read, and then peers may be missing here.
	HostListAge *cwcodec.Duration `json:"host-list-age,omitempty"`
}

// PeerStatus is what is known of one other entry host.
type PeerStatus struct {
	Host          string           `json:"host"`
	DataCentre    string           `json:"data-centre"`
	Reachable     bool             `json:"reachable"`
	Configuration uint64           `json:"configuration"` // in force when it was last heard
	Age           cwcodec.Duration `json:"age,omitempty"` // since it was last heard; absent if it never was
	Workers       int              `json:"workers"`       // when it was last heard
	Leaving       bool             `json:"leaving,omitempty"`
}

// Rollout is where a version is known to be in force.
type Rollout struct {
	Version     uint64   `json:"version"`
	Everywhere  bool     `json:"everywhere"`
	Hosts       []string `json:"hosts"`
	Behind      []string `json:"behind"`
	Unreachable []string `json:"unreachable"`
}

// Rollout returns where version is known to be in force; hosts that are leaving take no new work and don't count.
func (s Status) Rollout(version uint64) Rollout {
	f := Rollout{Version: version, Hosts: []string{}, Behind: []string{}, Unreachable: []string{}}
	f.add(s.Host, true, s.Configuration)
	for _, p := range s.Peers {
		if !p.Leaving {
			f.add(p.Host, p.Reachable, p.Configuration)
		}
	}
	f.Everywhere = s.HostListAge != nil && len(f.Behind)+len(f.Unreachable) == 0
	return f
}

// add counts one host; a silent one may have been restarted, so what it last said is not relied on.
func (f *Rollout) add(host string, reachable bool, configuration uint64) {
	switch {
	case !reachable:
		f.Unreachable = append(f.Unreachable, host)
	case configuration < f.Version:
		f.Behind = append(f.Behind, host)
	default:
		f.Hosts = append(f.Hosts, host)
	}
}
