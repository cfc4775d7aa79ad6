package cwentry

import "currantward/internal/core/cwmodel"

// registerStateMetrics registers the metrics of the configuration, the totals, the pool and the inboxes.
func (e *EntryHost) registerStateMetrics() {
	m := e.metrics
	m.RegisterGauge("currantward_configuration_version", "Version of the configuration in force.", func() float64 { return float64(e.watcher.Current().Version) })
	m.RegisterCounter("currantward_configuration_reverts_total", "Times that the version in force decreased; an invariant is broken above zero.", e.watcher.VersionReverts)
	m.RegisterGauge("currantward_ready", "1 while this host takes requests, else 0.", func() float64 { return boolToFloat(e.isReady()) })
	m.RegisterGauge("currantward_unreachable_hosts", "Entry hosts that are listed as live and can't be reached.", e.unreachablePeers)
	m.RegisterCounter("currantward_totals_lost_total", "Answers that are missing from the totals because the inbox was full.", e.totals.LostResponses)
	m.RegisterCounter("currantward_totals_days_dropped_total", "Days of totals forgotten unwritten in a long outage.", e.totals.DroppedDays)
	m.RegisterGauge("currantward_pool_running", "Calls under way in the pool.", func() float64 { return float64(e.pool.Running()) })
	m.RegisterGauge("currantward_pool_free", "Calls that the pool still has room for.", func() float64 { return float64(e.pool.Free()) })
	m.RegisterRing("scheduler", e.scheduler.InboxLen, e.scheduler.Rejected)
	m.RegisterRing("configuration-watcher", e.watcher.InboxLen, e.watcher.Rejected)
	m.RegisterRing("totals", e.totals.InboxLen, e.totals.Rejected)
}

// unreachablePeers returns the number of entry hosts that are live in the host list without a recent load report.
func (e *EntryHost) unreachablePeers() float64 {
	n := 0
	for _, p := range e.membership.Peers() {
		if !p.Reachable && p.State == cwmodel.HostLive {
			n++
		}
	}
	return float64(n)
}
