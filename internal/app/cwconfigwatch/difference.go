package cwconfigwatch

import (
	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwwork"
	"currantward/internal/port/cwcellport"
)

// maxHistory bounds the versions of the configuration from which a host can give a difference. A peer with an older one gets the whole
// configuration.
const maxHistory = 32

// difference returns how this configuration differs from an earlier one.
func (c *indexedConfig) difference(base *indexedConfig) *cwcellport.ConfigurationDifference {
	d := &cwcellport.ConfigurationDifference{Base: base.Version, Version: c.Version, MaxBodyBytes: c.MaxBodyBytes, Checksum: c.checksum}
	for n := range c.Queues {
		if old, ok := base.byName[c.Queues[n].Name()]; !ok || *old != c.Queues[n] {
			d.Put = append(d.Put, c.Queues[n])
		}
	}
	for name := range base.byName {
		if _, ok := c.byName[name]; !ok {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// trimHistory drops the oldest differences above maxHistory, and those with which the history would hold more queues than the whole
// configuration.
func trimHistory(history []*cwcellport.ConfigurationDifference, queues int) []*cwcellport.ConfigurationDifference {
	first, size := len(history), 0
	for first > 0 && len(history)-first < maxHistory {
		size += len(history[first-1].Put) + len(history[first-1].Removed)
		if size > queues {
			break
		}
		first--
	}
	return history[first:]
}

// since returns the difference between a version and this one, or the whole configuration if the history does not reach back to it.
func (c *indexedConfig) since(version uint64) *cwcellport.ConfigurationDifference {
	d := &cwcellport.ConfigurationDifference{Version: c.Version, MaxBodyBytes: c.MaxBodyBytes, Checksum: c.checksum}
	if version == c.Version {
		d.Base = version
		return d
	}
	for n, step := range c.history {
		if step.Base == version {
			d.Base = version
			d.Put, d.Removed = c.merge(c.history[n:])
			return d
		}
	}
	d.Put = c.Queues
	return d
}

// merge returns the queues that consecutive differences up to this configuration put, in their latest form, and those that they remove.
func (c *indexedConfig) merge(steps []*cwcellport.ConfigurationDifference) (put []cwcellport.Queue, removed []cwwork.QueueName) {
	seen := map[cwwork.QueueName]struct{}{}
	add := func(name cwwork.QueueName) {
		if _, ok := seen[name]; ok {
			return
		}
		seen[name] = struct{}{}
		if q, ok := c.byName[name]; ok {
			put = append(put, *q)
		} else {
			removed = append(removed, name)
		}
	}
	for _, step := range steps {
		for n := range step.Put {
			add(step.Put[n].Name())
		}
		for _, name := range step.Removed {
			add(name)
		}
	}
	return put, removed
}

// applyDifference returns the configuration that a difference makes of base, which may be nil if the difference is a whole configuration.
// It fails with Conflict if the difference applies to another version, and with Invalid if the result is not that of the peer.
func applyDifference(base *indexedConfig, d *cwcellport.ConfigurationDifference) (c *indexedConfig, err error) {
	cfg := &cwcellport.Configuration{Version: d.Version, MaxBodyBytes: d.MaxBodyBytes}
	if d.Base > 0 {
		if base == nil || base.Version != d.Base {
			return nil, cwfault.New(cwfault.Conflict, "the difference applies to version %d", d.Base)
		}
		replaced := make(map[cwwork.QueueName]struct{}, len(d.Put)+len(d.Removed))
		for n := range d.Put {
			replaced[d.Put[n].Name()] = struct{}{}
		}
		for _, name := range d.Removed {
			replaced[name] = struct{}{}
		}
		cfg.Queues = make([]cwcellport.Queue, 0, len(base.Queues)+len(d.Put))
		for n := range base.Queues {
			if _, ok := replaced[base.Queues[n].Name()]; !ok {
				cfg.Queues = append(cfg.Queues, base.Queues[n])
			}
		}
	}
	cfg.Queues = append(cfg.Queues, d.Put...)
	c = newIndexedConfig(cfg, base)
	if c.checksum != d.Checksum {
		return nil, cwfault.New(cwfault.Invalid, "the queues of version %d have the checksum %x instead of %x", d.Version, c.checksum, d.Checksum)
	}
	return c, nil
}
