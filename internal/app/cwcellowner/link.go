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

// link is the one call at a time by which the owner holds a worker's leases and hears of its ends.
type link struct {
	entry   cwcellport.WorkerEntry
	calls   *cwring.Ring[call]
	stop    func()
	due     time.Time // when the next call leaves at the latest
	failing int       // calls in a row without an answer
}

// call is one hold with the worker's present entry.
type call struct {
	entry cwcellport.WorkerEntry
	hold  cwcellport.LeaseRenewal
}

// Paces of the calls to one worker.
const (
	// holdWait is how long a worker waits for an end before it answers.
	holdWait = time.Second
	// commitWait is how long the next call waits for the ends of the last one to become durable.
	commitWait = 300 * time.Millisecond
	// shortestBackoff and longestBackoff bound the pause after a call without an answer.
	shortestBackoff = 100 * time.Millisecond
	longestBackoff  = 800 * time.Millisecond
)

// setWorker takes an entry of the platform's list.
func (s *session) setWorker(w cwcellport.WorkerEntry, now time.Time) {
	if s.tenure.Layout.CellOfWorker(w.ID, w.Rack) != s.owner.opts.Cell {
		return
	}
	s.cell.UpdateWorker(w.WorkerInfo, now)
	if l, ok := s.links[w.ID]; ok {
		l.entry = w
		return
	}
	s.addLink(w, now)
}

// addLink starts the duty that calls a worker.
func (s *session) addLink(w cwcellport.WorkerEntry, now time.Time) {
	l := &link{entry: w, calls: cwring.New[call](1), due: now}
	l.stop = cwduty.Start("worker-link", func(ctx context.Context) { s.runLink(ctx, l) })
	s.links[w.ID] = l
	s.ready = append(s.ready, l)
}

func (s *session) dropLink(id cwmodel.HostID) {
	if l, ok := s.links[id]; ok {
		delete(s.links, id)
		// The duty may be in a call, whose answer it posts to this duty's inbox.
		go l.stop()
		s.owner.opts.Workers.Evict(id)
	}
}

// runLink carries out the calls of one link.
func (s *session) runLink(ctx context.Context, l *link) {
	for {
		c, ok := l.calls.Take(ctx)
		if !ok {
			return
		}
		if !s.owner.holds() {
			c.hold.Lease = 0
		}
		report, err := s.owner.opts.Workers.RenewLeases(c.entry, c.hold)
		s.post(func(now time.Time) { s.reported(l, report, err, now) })
	}
}

// reported takes the answer of one call.
func (s *session) reported(l *link, report *cwcell.Report, err error, now time.Time) {
	s.ready = append(s.ready, l)
	l.due = now.Add(commitWait)
	switch {
	case err == nil:
		l.failing = 0
		s.cell.HandleReport(report, now)
		s.cell.ResendStops(l.entry.ID, now)
		return
	case cwfault.CodeOf(err) == cwfault.StaleEpoch:
		s.owner.opts.Superseded()
	default:
		s.cell.MarkUnreachable(l.entry.ID, now)
	}
	l.failing++
	l.due = now.Add(min(shortestBackoff<<min(l.failing-1, 3), longestBackoff))
}

// poll sends the next call of each link whose ends are durable or whose time has come.
func (s *session) poll(now time.Time, holds bool) {
	waiting := s.ready[:0]
	for _, l := range s.ready {
		number, all := s.cell.AckWatermark(l.entry.ID)
		if s.links[l.entry.ID] != l {
			continue
		}
		if now.Before(l.due) && (!all || l.failing > 0) {
			waiting = append(waiting, l)
			continue
		}
		h := cwcellport.LeaseRenewal{Fence: s.tenure.Fence, Acknowledged: number}
		if holds && s.cell.MayRenewLease(l.entry.ID) {
			h.Lease = s.owner.opts.TaskLease
		}
		if all && l.failing == 0 {
			h.Wait = holdWait
		}
		l.calls.Offer(call{entry: l.entry, hold: h})
	}
	clear(s.ready[len(waiting):])
	s.ready = waiting
}

// sendStarts sends the start orders of one decision, those of each worker one after another.
func (s *session) sendStarts(orders []cwcell.StartOrder) {
	batches := map[cwmodel.HostID][]cwcell.StartOrder{}
	var order []cwmodel.HostID
	for n := range orders {
		id := orders[n].Worker
		if _, ok := batches[id]; !ok {
			order = append(order, id)
		}
		batches[id] = append(batches[id], orders[n])
	}
	for _, id := range order {
		s.sendBatch(id, batches[id])
	}
}

// sendBatch sends start orders to one worker.
func (s *session) sendBatch(id cwmodel.HostID, batch []cwcell.StartOrder) {
	results := make([]cwcell.StartResult, len(batch))
	for n := range results {
		results[n] = cwcell.StartNotSent
	}
	l, sent := s.links[id]
	if sent {
		entry := l.entry
		sent = s.submit("start", func() {
			s.startAll(entry, batch, results)
			s.post(func(now time.Time) { s.started(batch, results, now) })
		})
	}
	if !sent {
		s.started(batch, results, s.owner.opts.Timer.Now())
	}
}

// startAll sends orders until one gets no answer; the worker would not answer the others either.
func (s *session) startAll(w cwcellport.WorkerEntry, batch []cwcell.StartOrder, results []cwcell.StartResult) {
	for n := range batch {
		if results[n] = s.start(w, &batch[n]); results[n] == cwcell.StartUnanswered {
			return
		}
	}
}

// started takes the results of start orders.
func (s *session) started(batch []cwcell.StartOrder, results []cwcell.StartResult, now time.Time) {
	for n := range batch {
		if results[n] == cwcell.StartStaleFence {
			s.owner.opts.Superseded()
		}
		s.cell.HandleStartResult(&batch[n], results[n], now)
	}
}

// start sends one order. One without an answer is repeated once: the worker starts a run only once. Once a try has gone without an answer, only an acceptance tells what became of it: a refusal of a
// repeated order says nothing about the first one.
func (s *session) start(w cwcellport.WorkerEntry, o *cwcell.StartOrder) cwcell.StartResult {
	unanswered := false
	for range startTries {
		if !s.owner.holds() {
			break // this host was suspended since the decision
		}
		switch result := s.owner.opts.Workers.Start(w, o, s.tenure.Fence, s.owner.opts.StartWindow); {
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

// startTries is how often an order is sent; a repeated one finds the run there.
const startTries = 2

// sendStop sends one stop order; one without an answer is repeated once the worker answers again.
func (s *session) sendStop(o *cwcell.StopOrder) {
	l, ok := s.links[o.Worker]
	if !ok {
		return
	}
	entry, order := l.entry, *o
	s.submit("stop", func() {
		err := s.owner.opts.Workers.Stop(entry, &order, s.tenure.Fence)
		s.post(func(now time.Time) {
			if cwfault.CodeOf(err) == cwfault.StaleEpoch {
				s.owner.opts.Superseded()
			}
			s.cell.HandleStopResult(&order, err == nil, now)
		})
	})
}
