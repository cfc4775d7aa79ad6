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
	session    *session
	hosts      map[netip.AddrPort]*adviceHost
	addrs      []netip.AddrPort // entry hosts that can send advice requests, as of listedAt
	listedAt   time.Time
	shortQueue cwheap.Heap[pendingRequest] // short requests that wait for a free host
	longQueue  cwheap.Heap[pendingRequest] // long requests that wait for a free host
}

// adviceHost is the state of one entry host that sends advice requests.
type adviceHost struct {
	addr    netip.AddrPort
	pending *pendingRequest // request in flight; nil if the host is free
	retryAt time.Time       // after a failed request, the host gets no other one before this time
}

// pendingRequest is an advice request without a response.
type pendingRequest struct {
	request       cwcell.AdviceRequest
	requestedAt   time.Time
	tries         int  // attempts so far
	pastObjective bool // its job is expected to end later than its objective allows, so the request ranks lower
	index         int  // position in its heap
}

const (
	// longRequestCost is the cost from which a request counts as long, so that it may not use the hosts kept for short ones.
	longRequestCost = 150 * time.Millisecond
	// reservedHostDivisor is N in the rule that one host in N is kept for short requests.
	reservedHostDivisor = 6
	// maxAdviceTries bounds the attempts of one request, which may use different hosts.
	maxAdviceTries = 4
	// failedHostPause is how long a host gets no request after a failed one.
	failedHostPause = time.Second
	// hostListPeriod is the refresh period of the host list; hosts send a heartbeat twice a second.
	hostListPeriod = 100 * time.Millisecond
)

// newAdviceDispatcher returns a dispatcher whose queues are ordered by urgency: renewals of advice first, then requests of jobs
// that can still end in time for their objective, then the others. Within these, a smaller Priority is first, then the older
// request.
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
	return adviceDispatcher{session: s, hosts: map[netip.AddrPort]*adviceHost{}, shortQueue: queue, longQueue: queue}
}

// isLong reports whether the request may use only the hosts that are not kept for short ones.
func (r *pendingRequest) isLong() bool { return r.request.Cost >= longRequestCost }

// enqueue adds a request to the queue of the short or of the long requests.
func (a *adviceDispatcher) enqueue(r *pendingRequest) {
	if r.isLong() {
		a.longQueue.Push(r)
		return
	}
	a.shortQueue.Push(r)
}

// next removes and returns the most urgent request of both queues, or nil if there is none. Without allowLong it returns short
// requests only. On the way it drops requests whose job no longer needs the advice. It queues a request again, at a lower rank,
// if the job has since become too late for its objective, the target time from its acceptance to its end.
func (a *adviceDispatcher) next(allowLong bool, now time.Time) *pendingRequest {
	for {
		queue := &a.shortQueue
		if longRequest := a.longQueue.Min(); longRequest != nil && allowLong && (queue.Len() == 0 || a.shortQueue.Less(longRequest, queue.Min())) {
			queue = &a.longQueue
		}
		r := queue.Min()
		if r == nil {
			return nil
		}
		queue.Remove(r)
		cell := a.session.cell
		switch {
		case !cell.AdviceWanted(r.request.ID):
			// The request is dropped: it is reported to the cell as failed, without a response.
			cell.HandleAdvice(r.request.ID, nil, false, now, now)
		case !r.pastObjective && cell.PastObjective(r.request.ID, a.session.wallTime()):
			r.pastObjective = true
			queue.Push(r)
		default:
			return r
		}
	}
}

// dispatch sends one waiting request through each free host, the most urgent requests first. One host in reservedHostDivisor,
// rounded down, is kept free of long requests.
func (a *adviceDispatcher) dispatch(now time.Time) {
	if a.shortQueue.Len()+a.longQueue.Len() == 0 {
		return
	}
	free, busyWithLong, total := a.freeHosts(now)
	for _, h := range free {
		r := a.next(busyWithLong < max(1, total-total/reservedHostDivisor), now)
		if r == nil {
			return
		}
		if r.isLong() {
			busyWithLong++
		}
		a.send(h, r)
	}
}

// freeHosts returns the hosts that can send a request now, which have none in flight and are not paused after a failure, the number
// of hosts with a long request in flight, and the number of all hosts. It refreshes the list of hosts every hostListPeriod.
func (a *adviceDispatcher) freeHosts(now time.Time) (free []*adviceHost, busyWithLong, total int) {
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
			busyWithLong++
		case h.pending == nil && !now.Before(h.retryAt):
			free = append(free, h)
		}
	}
	return free, busyWithLong, len(a.addrs)
}

// send sends one request through a host, on the call pool. If the pool is full, the request is queued again.
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

// handleResponse frees the host and passes the response to the cell. A failed request is queued again; after maxAdviceTries it
// is reported to the cell as failed, and the cell may make a new request for the same workers. The validity of tickets starts
// when the service responds, so the longest possible transit time of the response is subtracted from it.
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
