package cwcellowner

import (
	"net/netip"
	"time"

	"currantward/internal/base/cwheap"
	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
)

// advisers spreads questions over the entry hosts: the service answers each calling host one question at a time.
type advisers struct {
	session *session
	hosts   map[netip.AddrPort]*adviser
	addrs   []netip.AddrPort // through which advice can be asked, as of listed
	listed  time.Time
	short   cwheap.Heap[asked] // questions that wait for a host
	long    cwheap.Heap[asked] // those of them that would keep it for long
}

// adviser is one entry host through which questions go.
type adviser struct {
	addr   netip.AddrPort
	asking *asked
	until  time.Time // not used before, after a question without an answer
}

// asked is a question that waits for its answer.
type asked struct {
	question cwcell.AdviceRequest
	since    time.Time
	tries    int
	late     bool // its job has passed its objective
	place    int  // in its heap
}

const (
	// longQuestion is a cost from which a question may not take the last free hosts, which short ones need.
	longQuestion = 150 * time.Millisecond
	// freeShare is the share of the hosts that long questions leave free.
	freeShare = 6
	// askTries is how often a question is asked through different hosts.
	askTries = 4
	// askPause keeps questions off a host through which one got no answer.
	askPause = time.Second
	// listPeriod is how often the list of hosts is read; their pulses come twice a second.
	listPeriod = 100 * time.Millisecond
)

func newAdvisers(s *session) advisers {
	queue := cwheap.Heap[asked]{
		Less: func(a, b *asked) bool {
			switch {
			case a.question.Renewal != b.question.Renewal:
				return a.question.Renewal
			case a.late != b.late:
				return b.late
			case a.question.Priority != b.question.Priority:
				return a.question.Priority < b.question.Priority
			}
			return a.question.ID < b.question.ID
		},
		Index: func(q *asked) *int { return &q.place },
	}
	return advisers{session: s, hosts: map[netip.AddrPort]*adviser{}, short: queue, long: queue}
}

func (q *asked) isLong() bool { return q.question.Cost >= longQuestion }

// add queues a question.
func (a *advisers) add(q *asked) {
	if q.isLong() {
		a.long.Push(q)
		return
	}
	a.short.Push(q)
}

// next takes the most urgent question that may be asked now, nil if there is none.
func (a *advisers) next(mayBeLong bool, now time.Time) *asked {
	for {
		from := &a.short
		if long := a.long.Min(); long != nil && mayBeLong && (from.Len() == 0 || a.short.Less(long, from.Min())) {
			from = &a.long
		}
		q := from.Min()
		if q == nil {
			return nil
		}
		from.Remove(q)
		cell := a.session.cell
		switch {
		case !cell.AdviceWanted(q.question.ID):
			cell.HandleAdvice(q.question.ID, nil, false, now, now)
		case !q.late && cell.PastObjective(q.question.ID, a.session.wall()):
			q.late = true
			from.Push(q)
		default:
			return q
		}
	}
}

// dispatch hands waiting questions to free hosts.
func (a *advisers) dispatch(now time.Time) {
	if a.short.Len()+a.long.Len() == 0 {
		return
	}
	free, long, total := a.survey(now)
	for _, h := range free {
		q := a.next(long < max(1, total-total/freeShare), now)
		if q == nil {
			return
		}
		if q.isLong() {
			long++
		}
		a.send(h, q)
	}
}

// survey returns the hosts that are free, and how many of all have a long question.
func (a *advisers) survey(now time.Time) (free []*adviser, long, total int) {
	if now.Sub(a.listed) >= listPeriod {
		a.addrs, a.listed = a.session.owner.opts.AdviceHosts(), now
	}
	for _, addr := range a.addrs {
		h, ok := a.hosts[addr]
		if !ok {
			h = &adviser{addr: addr}
			a.hosts[addr] = h
		}
		switch {
		case h.asking != nil && h.asking.isLong():
			long++
		case h.asking == nil && !now.Before(h.until):
			free = append(free, h)
		}
	}
	return free, long, len(a.addrs)
}

// send asks one question through a host.
func (a *advisers) send(h *adviser, q *asked) {
	h.asking = q
	q.tries++
	s := a.session
	question := q.question
	sent := s.submit("advice", func() {
		began := s.owner.opts.Timer.Now()
		good, validity, err := s.owner.opts.RequestAdvice(h.addr, &question)
		s.post(func(now time.Time) { a.answered(h, q, good, validity, err, began, now) })
	})
	if !sent {
		h.asking = nil
		a.add(q)
	}
}

// answered takes the answer of a question. Its tickets count from the answer, which is older than its arrival here, so
// they are taken to be as old as the way that it may have come.
func (a *advisers) answered(h *adviser, q *asked, good []cwcell.EligibleWorker, validity time.Duration, err error, began, now time.Time) {
	h.asking = nil
	s := a.session
	if err != nil {
		h.until = now.Add(askPause)
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"step": q.question.Step.String(), "through": h.addr.String(), "tries": q.tries, "error": err.Error(),
		}).Warn("advice-failed")
		if q.tries < askTries {
			a.add(q)
			return
		}
		s.cell.HandleAdvice(q.question.ID, nil, false, now, now)
		return
	}
	spent := max(0, now.Sub(began)-q.question.Cost)
	s.cell.HandleAdvice(q.question.ID, good, true, now.Add(validity-spent), now)
	s.owner.opts.Observe(Observation{Event: EventAdvice, Took: now.Sub(q.since)})
}
