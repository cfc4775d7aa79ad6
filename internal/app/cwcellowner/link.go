package cwcellowner

import (
	"context"
	"net/netip"
	"time"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// workerLink is the state of the periodic calls to one worker, which renew its leases and fetch its ended runs. At most one
// call is in flight.
type workerLink struct {
	entry      cwcellport.WorkerEntry
	calls      *cwring.Ring[renewalCall]
	stop       func()    // stops the duty that makes the calls
	nextCallAt time.Time // the next call starts at this time, or earlier once the ended runs of the last one are durable
	failures   int       // consecutive calls without a response
	// reconnectUntil makes the next call repeat itself until the worker answers, or this time; zero: it is made once.
	reconnectUntil time.Time
	// knownAddress is where the worker has last answered this owner, or was called by the previous one; invalid: neither is known.
	knownAddress netip.AddrPort
}

// renewalCall is one lease renewal with the worker's current registry entry.
type renewalCall struct {
	entry          cwcellport.WorkerEntry
	renewal        cwcellport.LeaseRenewal
	reconnectUntil time.Time // it is repeated until then while the worker refuses or ends the connection; zero: it is not
}

// Timing of the calls to one worker.
const (
	// longPollWait is how long a worker without a new ended run delays its response to wait for one.
	longPollWait = time.Second
	// shortPollWait is the same for a worker on which nothing may be started before it has responded.
	shortPollWait = 300 * time.Millisecond
	// maxCallInterval is the longest pause before the next call after a response. The next call starts earlier if the ended runs of the
	// last one are durable, to acknowledge them.
	maxCallInterval = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a call without a response.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// reconnectPause separates the calls to a worker that is down while its next process might carry out orders to the present one: it takes them
	// until its first call. Links that reconnect at the same time share the rate.
	reconnectPause = time.Millisecond
	// maxReconnect bounds the time without a look at the worker's entry and its runs.
	maxReconnect = 500 * time.Millisecond
)

// updateWorker applies an entry of the platform's registry and starts the calls to a new worker. It ignores workers of other
// cells.
func (s *session) updateWorker(w cwcellport.WorkerEntry, now time.Time) {
	if s.grant.Layout.CellOfWorker(w.ID, w.Rack) != s.owner.opts.Cell {
		return
	}
	s.cell.UpdateWorker(w.WorkerInfo, now)
	if l, ok := s.links[w.ID]; ok {
		l.entry = w
		return
	}
	s.addLink(w, now)
}

// addLink starts the duty that calls one worker.
func (s *session) addLink(w cwcellport.WorkerEntry, now time.Time) {
	l := &workerLink{entry: w, calls: cwring.New[renewalCall](1), nextCallAt: now}
	l.stop = cwduty.Start("worker-link", func(ctx context.Context) { s.runLink(ctx, l) })
	s.links[w.ID] = l
	s.idleLinks = append(s.idleLinks, l)
}

// dropLink ends the calls to a worker and releases the adapter's resources for it.
func (s *session) dropLink(id cwmodel.HostID) {
	if l, ok := s.links[id]; ok {
		delete(s.links, id)
		// Not awaited, which could deadlock: the link's duty may be blocked while it posts a response to this session's full inbox.
		go l.stop()
		s.owner.opts.Workers.Evict(id)
	}
}

// runLink makes the queued calls of one link until ctx ends, and posts each result to the owner's duty. If this host's lease has
// expired since a call was queued, the call does not renew the worker's leases.
func (s *session) runLink(ctx context.Context, l *workerLink) {
	for {
		c, ok := l.calls.Take(ctx)
		if !ok {
			return
		}
		if !s.holdsLease() {
			c.renewal.TaskLease = 0 // 0 leaves the leases unchanged
		}
		sentAt := s.owner.opts.Timer.Now()
		report, err := s.renewLeases(ctx, &c)
		// A call that fails while the worker delays its response has lost its connection; later it may have timed out.
		if cwfault.CodeOf(err) == cwfault.Indefinite && s.owner.opts.Timer.Now().Sub(sentAt) < c.renewal.Wait {
			s.post(func(now time.Time) { s.cell.MarkDisconnected(c.entry.ID, now) })
		}
		s.post(func(now time.Time) { s.handleReport(l, report, err, now) })
	}
}

// renewLeases makes a renewal call, and repeats it if the call says so.
func (s *session) renewLeases(ctx context.Context, c *renewalCall) (report *cwcell.Report, err error) {
	report, err = s.owner.opts.Workers.RenewLeases(c.entry, c.renewal)
	if c.reconnectUntil.IsZero() {
		return report, err
	}
	timer := s.owner.opts.Timer
	s.reconnecting.Add(1)
	defer s.reconnecting.Add(-1)
	for cwfault.IsDisconnected(err) && timer.Now().Before(c.reconnectUntil) && s.holdsLease() {
		if !timer.Sleep(ctx.Done(), time.Duration(s.reconnecting.Load())*reconnectPause) {
			break
		}
		report, err = s.owner.opts.Workers.RenewLeases(c.entry, c.renewal)
	}
	return report, err
}

// handleReport passes a worker's report to the cell and repeats the stop orders that the worker has not confirmed. After a
// failed call, for which report is nil, it sets a backoff that doubles with each failure, or reconnects at once if the process has ended and the next one
// might carry out orders of this owner that got no answer. The worker then counts as unreachable,
// unless it refused this owner's fence, which is evidence of a later owner. If another worker answers at its known address, its
// process has ended. At another address, its entry may be wrong.
func (s *session) handleReport(l *workerLink, report *cwcell.Report, err error, now time.Time) {
	s.idleLinks = append(s.idleLinks, l)
	l.nextCallAt = now.Add(maxCallInterval)
	switch {
	case err == nil:
		l.failures, l.knownAddress = 0, l.entry.Address
		s.cell.HandleReport(report, now)
		s.cell.ResendStops(l.entry.ID, now)
		return
	case cwfault.CodeOf(err) == cwfault.StaleEpoch:
		s.owner.opts.OnSuperseded()
	case cwfault.CodeOf(err) == cwfault.NotFound && l.knownAddress == l.entry.Address:
		s.cell.MarkReplaced(l.entry.ID, now)
	default:
		s.cell.MarkUnreachable(l.entry.ID, now)
	}
	l.failures++
	l.nextCallAt = now.Add(min(minBackoff<<min(l.failures-1, 3), maxBackoff))
	if late := s.cell.LateOrdersUntil(l.entry.ID); cwfault.IsDisconnected(err) && now.Before(late) {
		l.nextCallAt, l.reconnectUntil = now, now.Add(min(late.Sub(now), maxReconnect))
	}
}

// pollWorkers queues the next call of each idle link whose ended runs are all durable or whose nextCallAt has passed. After a
// failed call only nextCallAt counts. Links of evicted workers are skipped. Workers' leases are renewed only while this host
// holds its own lease, as holdsLease states.
func (s *session) pollWorkers(now time.Time, holdsLease bool) {
	stillIdle := s.idleLinks[:0]
	for _, l := range s.idleLinks {
		acknowledged, allDurable := s.cell.AckWatermark(l.entry.ID)
		if s.links[l.entry.ID] != l {
			continue
		}
		if now.Before(l.nextCallAt) && (!allDurable || l.failures > 0) {
			stillIdle = append(stillIdle, l)
			continue
		}
		renewal := cwcellport.LeaseRenewal{Fence: s.grant.Fence, Acknowledged: acknowledged}
		if holdsLease && s.cell.MayRenewLease(l.entry.ID) {
			renewal.TaskLease = s.owner.opts.TaskLease
		}
		if allDurable && l.failures == 0 {
			renewal.Wait = longPollWait
			if s.cell.AwaitsSurvival(l.entry.ID) {
				renewal.Wait = shortPollWait
			}
		}
		l.calls.Offer(renewalCall{l.entry, renewal, l.reconnectUntil})
		l.reconnectUntil = time.Time{}
	}
	clear(s.idleLinks[len(stillIdle):])
	s.idleLinks = stillIdle
}

// sendStarts sends the start orders of one decision: those to the same worker one after another, the others concurrently.
func (s *session) sendStarts(orders []cwcell.StartOrder) {
	batches := map[cwmodel.HostID][]cwcell.StartOrder{}
	var ids []cwmodel.HostID
	for n := range orders {
		id := orders[n].Worker
		if _, ok := batches[id]; !ok {
			ids = append(ids, id)
		}
		batches[id] = append(batches[id], orders[n])
	}
	for _, id := range ids {
		s.sendStartBatch(id, batches[id])
	}
}

// startOutcome is the result of a start order.
type startOutcome struct {
	result             cwcell.StartResult
	earlierLeaseExpiry time.Time // when the leases of earlier owners' calls on the process that has accepted it have expired; zero: not known
}

// sendStartBatch sends start orders to one worker. If the worker has no link or the call pool is full, each order gets the
// result StartNotSent.
func (s *session) sendStartBatch(id cwmodel.HostID, batch []cwcell.StartOrder) {
	results := make([]startOutcome, len(batch))
	for n := range results {
		results[n].result = cwcell.StartNotSent
	}
	l, sent := s.links[id]
	if sent {
		entry, decidedAt := l.entry, s.owner.opts.Timer.Now()
		sent = s.runOnPool("start", func() {
			s.sendStartsInOrder(entry, batch, results, decidedAt)
			s.post(func(now time.Time) { s.handleStartResults(batch, results, now) })
		})
	}
	if !sent {
		s.handleStartResults(batch, results, s.owner.opts.Timer.Now())
	}
}

// maxOrderAge bounds the time from a decision to the sending of its orders. Later the worker may drain, or have less capacity.
const maxOrderAge = time.Second

// sendStartsInOrder sends orders until one gets no response, as the worker would not respond to the others either, or until they are
// older than maxOrderAge. The results of the remaining orders keep their initial value, StartNotSent.
func (s *session) sendStartsInOrder(w cwcellport.WorkerEntry, batch []cwcell.StartOrder, results []startOutcome, decidedAt time.Time) {
	for n := range batch {
		if s.owner.opts.Timer.Now().Sub(decidedAt) > maxOrderAge {
			return
		}
		if results[n] = s.sendStart(w, &batch[n]); results[n].result == cwcell.StartUnanswered {
			return
		}
	}
}

// handleStartResults passes the results of start orders to the cell. The result StartStaleFence is evidence of a later owner.
func (s *session) handleStartResults(batch []cwcell.StartOrder, results []startOutcome, now time.Time) {
	for n := range batch {
		outcome := &results[n]
		if outcome.result == cwcell.StartStaleFence {
			s.owner.opts.OnSuperseded()
		}
		if outcome.result == cwcell.StartAccepted {
			s.cell.RecordEarlierLeases(&batch[n], outcome.earlierLeaseExpiry)
		}
		s.cell.HandleStartResult(&batch[n], outcome.result, now)
	}
}

// sendStart sends one order and retries it once if there is no response; the worker starts a run only once. If the first
// attempt got no response, the run may have started even if the retry is refused, so the result is then StartUnanswered unless
// the retry is accepted. Without a valid lease it sends nothing.
func (s *session) sendStart(w cwcellport.WorkerEntry, o *cwcell.StartOrder) startOutcome {
	unanswered := false
	for range maxStartTries {
		if !s.holdsLease() {
			break // the host was suspended after the decision, or has acquired the lease anew
		}
		switch result, earlierLeaseExpiry := s.owner.opts.Workers.Start(w, o, s.grant.Fence, s.owner.opts.StartWindow); {
		case result == cwcell.StartUnanswered:
			unanswered = true
		case !unanswered:
			return startOutcome{result, earlierLeaseExpiry}
		case result == cwcell.StartAccepted:
			return startOutcome{result: cwcell.StartAcceptedOnRetry}
		}
	}
	if !unanswered {
		return startOutcome{result: cwcell.StartNotSent}
	}
	return startOutcome{result: cwcell.StartUnanswered}
}

// maxStartTries bounds the attempts of one order; a retry is idempotent.
const maxStartTries = 2

// sendStop sends one stop order on the call pool, if the worker has a link. If the order gets no response, handleReport sends it
// again when the worker responds again.
func (s *session) sendStop(o *cwcell.StopOrder) {
	l, ok := s.links[o.Worker]
	if !ok {
		return
	}
	entry, order := l.entry, *o
	s.runOnPool("stop", func() {
		err := s.owner.opts.Workers.Stop(entry, &order, s.grant.Fence)
		s.post(func(now time.Time) {
			if cwfault.CodeOf(err) == cwfault.StaleEpoch {
				s.owner.opts.OnSuperseded()
			}
			s.cell.HandleStopResult(&order, err == nil, now)
		})
	})
}
