package cwcellowner

import (
	"context"
	"time"

	"currantward/internal/base/cwduty"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwring"
	"currantward/internal/core/cwcell"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwcellport"
)

// workerLink is the state of the calls to one worker, at most one at a time, which renew its leases and fetch its ended runs.
type workerLink struct {
	entry      cwcellport.WorkerEntry
	calls      *cwring.Ring[renewalCall]
	stop       func()
	nextCallAt time.Time // latest start of the next call
	failures   int       // consecutive calls without a response
}

// renewalCall is one lease renewal with the worker's current registry entry.
type renewalCall struct {
	entry   cwcellport.WorkerEntry
	renewal cwcellport.LeaseRenewal
}

// Timing of the calls to one worker.
const (
	// longPollWait is how long a worker waits for a run to end before it responds.
	longPollWait = time.Second
	// ackWait is how long the next call waits until the ended runs of the last one are durable.
	ackWait = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a call without a response.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// updateWorker applies an entry of the platform's registry.
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

func (s *session) dropLink(id cwmodel.HostID) {
	if l, ok := s.links[id]; ok {
		delete(s.links, id)
		// Not awaited here: the duty may be in a call whose response it posts to this duty's inbox.
		go l.stop()
		s.owner.opts.Workers.Evict(id)
	}
}

// runLink executes the calls of one link.
func (s *session) runLink(ctx context.Context, l *workerLink) {
	for {
		c, ok := l.calls.Take(ctx)
		if !ok {
			return
		}
		if !s.owner.holdsLease() {
			c.renewal.TaskLease = 0
		}
		report, err := s.owner.opts.Workers.RenewLeases(c.entry, c.renewal)
		s.post(func(now time.Time) { s.handleReport(l, report, err, now) })
	}
}

// handleReport processes the response to one call.
func (s *session) handleReport(l *workerLink, report *cwcell.Report, err error, now time.Time) {
	s.idleLinks = append(s.idleLinks, l)
	l.nextCallAt = now.Add(ackWait)
	switch {
	case err == nil:
		l.failures = 0
		s.cell.HandleReport(report, now)
		s.cell.ResendStops(l.entry.ID, now)
		return
	case cwfault.CodeOf(err) == cwfault.StaleEpoch:
		s.owner.opts.OnSuperseded()
	default:
		s.cell.MarkUnreachable(l.entry.ID, now)
	}
	l.failures++
	l.nextCallAt = now.Add(min(minBackoff<<min(l.failures-1, 3), maxBackoff))
}

// pollWorkers sends the next call of each idle link whose ended runs are durable or whose nextCallAt has passed.
func (s *session) pollWorkers(now time.Time, holdsLease bool) {
	waiting := s.idleLinks[:0]
	for _, l := range s.idleLinks {
		acknowledged, allDurable := s.cell.AckWatermark(l.entry.ID)
		if s.links[l.entry.ID] != l {
			continue
		}
		if now.Before(l.nextCallAt) && (!allDurable || l.failures > 0) {
			waiting = append(waiting, l)
			continue
		}
		renewal := cwcellport.LeaseRenewal{Fence: s.grant.Fence, Acknowledged: acknowledged}
		if holdsLease && s.cell.MayRenewLease(l.entry.ID) {
			renewal.TaskLease = s.owner.opts.TaskLease
		}
		if allDurable && l.failures == 0 {
			renewal.Wait = longPollWait
		}
		l.calls.Offer(renewalCall{entry: l.entry, renewal: renewal})
	}
	clear(s.idleLinks[len(waiting):])
	s.idleLinks = waiting
}

// sendStarts sends the start orders of one decision, in sequence for each worker.
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

// sendStartBatch sends a batch of start orders to one worker.
func (s *session) sendStartBatch(id cwmodel.HostID, batch []cwcell.StartOrder) {
	results := make([]cwcell.StartResult, len(batch))
	for n := range results {
		results[n] = cwcell.StartNotSent
	}
	l, sent := s.links[id]
	if sent {
		entry := l.entry
		sent = s.runOnPool("start", func() {
			s.sendStartsInOrder(entry, batch, results)
			s.post(func(now time.Time) { s.handleStartResults(batch, results, now) })
		})
	}
	if !sent {
		s.handleStartResults(batch, results, s.owner.opts.Timer.Now())
	}
}

// sendStartsInOrder sends orders until one gets no response, as the worker would not respond to the others either.
func (s *session) sendStartsInOrder(w cwcellport.WorkerEntry, batch []cwcell.StartOrder, results []cwcell.StartResult) {
	for n := range batch {
		if results[n] = s.sendStart(w, &batch[n]); results[n] == cwcell.StartUnanswered {
			return
		}
	}
}

// handleStartResults processes the results of start orders.
func (s *session) handleStartResults(batch []cwcell.StartOrder, results []cwcell.StartResult, now time.Time) {
	for n := range batch {
		if results[n] == cwcell.StartStaleFence {
			s.owner.opts.OnSuperseded()
		}
		s.cell.HandleStartResult(&batch[n], results[n], now)
	}
}

// sendStart sends one order and retries it once if there is no response; the worker starts a run only once. After an attempt
// without a response only an acceptance is conclusive: a refused retry says nothing about the first attempt.
func (s *session) sendStart(w cwcellport.WorkerEntry, o *cwcell.StartOrder) cwcell.StartResult {
	unanswered := false
	for range maxStartTries {
		if !s.owner.holdsLease() {
			break // the host was suspended after the decision
		}
		switch result := s.owner.opts.Workers.Start(w, o, s.grant.Fence, s.owner.opts.StartWindow); {
		case result == cwcell.StartUnanswered:
			unanswered = true
		case result == cwcell.StartAccepted || !unanswered:
			return result
		}
	}
	if !unanswered {
		return cwcell.StartNotSent
	}
	return cwcell.StartUnanswered
}

// maxStartTries bounds the attempts of one order; a retry is idempotent.
const maxStartTries = 2

// sendStop sends one stop order. If there is no response, it is resent when the worker responds again.
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
