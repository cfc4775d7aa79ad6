package cwcellowner

import (
	"net/netip"
	"time"

	"currantward/internal/base/cwheap"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
)

// adviceDispatcher distributes advice requests over the entry hosts, since the service processes one request at a time per
// calling host.
type adviceDispatcher struct {
	session  *session
	hosts    map[netip.AddrPort]*adviceHost
	addrs    []netip.AddrPort // hosts that accept advice requests, as of listedAt
	listedAt time.Time
	short    cwheap.Heap[pendingRequest] // requests that wait for a host
	long     cwheap.Heap[pendingRequest] // waiting requests that would occupy a host for long
}

// adviceHost is one entry host that sends advice requests.
type adviceHost struct {
	addr    netip.AddrPort
	pending *pendingRequest
	retryAt time.Time // not used earlier, after a failed request
}

// pendingRequest is an advice request without a response.
type pendingRequest struct {
	request       cwcell.AdviceRequest
	requestedAt   time.Time
	tries         int
	pastObjective bool // its job has missed its objective
	index         int  // position in its heap
}

const (
	// longRequestCost is the cost from which a request must leave some hosts to the short ones.
	longRequestCost = 150 * time.Millisecond
	// reservedHostShare is the reciprocal of the share of hosts that long requests leave free.
	reservedHostShare = 6
	// maxAdviceTries bounds the attempts of one request, which may use different hosts.
	maxAdviceTries = 4
	// failedHostPause is how long a host is skipped after a failed request.
	failedHostPause = time.Second
	// hostListPeriod is the refresh period of the host list; hosts send a heartbeat twice a second.
	hostListPeriod = 100 * time.Millisecond
)

func newAdviceDispatcher(s *session) adviceDispatcher {
	queue := cwheap.Heap[pendingRequest]{
		Less: func(a, b *pendingRequest) bool {
			switch {
			case a.request.Renewal != b.request.Renewal:
				return a.request.Renewal
			case a.pastObjective != b.pastObjective:
				return b.pastObjective
			case a.request.Priority != b.request.Priority:
				return a.request.Priority < b.request.Priority
			}
			return a.request.ID < b.request.ID
		},
		Index: func(r *pendingRequest) *int { return &r.index },
	}
	return adviceDispatcher{session: s, hosts: map[netip.AddrPort]*adviceHost{}, short: queue, long: queue}
}

func (r *pendingRequest) isLong() bool { return r.request.Cost >= longRequestCost }

// enqueue adds a request to the queue of its kind.
func (a *adviceDispatcher) enqueue(r *pendingRequest) {
	if r.isLong() {
		a.long.Push(r)
		return
	}
	a.short.Push(r)
}

// next removes and returns the most urgent request that may be sent now, or nil if there is none.
func (a *adviceDispatcher) next(allowLong bool, now time.Time) *pendingRequest {
	for {
		queue := &a.short
		if long := a.long.Min(); long != nil && allowLong && (queue.Len() == 0 || a.short.Less(long, queue.Min())) {
			queue = &a.long
		}
		r := queue.Min()
		if r == nil {
			return nil
		}
		queue.Remove(r)
		cell := a.session.cell
		switch {
		case !cell.AdviceWanted(r.request.ID):
			cell.HandleAdvice(r.request.ID, nil, false, now, now)
		case !r.pastObjective && cell.PastObjective(r.request.ID, a.session.wall()):
			r.pastObjective = true
			queue.Push(r)
		default:
			return r
		}
	}
}

// dispatch assigns waiting requests to free hosts.
func (a *adviceDispatcher) dispatch(now time.Time) {
	if a.short.Len()+a.long.Len() == 0 {
		return
	}
	free, long, total := a.freeHosts(now)
	for _, h := range free {
		r := a.next(long < max(1, total-total/reservedHostShare), now)
		if r == nil {
			return
		}
		if r.isLong() {
			long++
		}
		a.send(h, r)
	}
}

// freeHosts returns the hosts without a request, the number of hosts with a long request, and the number of all hosts.
func (a *adviceDispatcher) freeHosts(now time.Time) (free []*adviceHost, long, total int) {
	if now.Sub(a.listedAt) >= hostListPeriod {
		a.addrs, a.listedAt = a.session.owner.opts.AdviceHosts(), now
	}
	for _, addr := range a.addrs {
		h, ok := a.hosts[addr]
		if !ok {
			h = &adviceHost{addr: addr}
			a.hosts[addr] = h
		}
		switch {
		case h.pending != nil && h.pending.isLong():
			long++
		case h.pending == nil && !now.Before(h.retryAt):
			free = append(free, h)
		}
	}
	return free, long, len(a.addrs)
}

// send submits one request through a host.
func (a *adviceDispatcher) send(h *adviceHost, r *pendingRequest) {
	h.pending = r
	r.tries++
	s := a.session
	request := r.request
	sent := s.runOnPool("advice", func() {
		startedAt := s.owner.opts.Timer.Now()
		eligible, validity, err := s.owner.opts.RequestAdvice(h.addr, &request)
		s.post(func(now time.Time) { a.handleResponse(h, r, eligible, validity, err, startedAt, now) })
	})
	if !sent {
		h.pending = nil
		a.enqueue(r)
	}
}

// handleResponse processes the response to a request. The validity of its tickets starts when the service responds, so the
// longest possible transit time is subtracted from it.
func (a *adviceDispatcher) handleResponse(h *adviceHost, r *pendingRequest, eligible []cwcell.EligibleWorker, validity time.Duration, err error, startedAt, now time.Time) {
	h.pending = nil
	s := a.session
	if err != nil {
		h.retryAt = now.Add(failedHostPause)
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"step": r.request.Step.String(), "through": h.addr.String(), "tries": r.tries, "error": err.Error(),
		}).Warn("advice-failed")
		if r.tries < maxAdviceTries {
			a.enqueue(r)
			return
		}
		s.cell.HandleAdvice(r.request.ID, nil, false, now, now)
		return
	}
	transit := max(0, now.Sub(startedAt)-r.request.Cost)
	s.cell.HandleAdvice(r.request.ID, eligible, true, now.Add(validity-transit), now)
	s.owner.opts.Observe(Observation{Event: EventAdvice, Duration: now.Sub(r.requestedAt)})
}
