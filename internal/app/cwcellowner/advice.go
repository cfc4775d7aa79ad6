package cwcellowner

import (
	"net/netip"
	"slices"
	"time"

	"currantward/internal/base/cwlog"
	"currantward/internal/core/cwcell"
)

// advisers spreads questions over the entry hosts: the service answers each calling host one question at a time.
type advisers struct {
	session *session
	hosts   map[netip.AddrPort]*adviser
	pending []*asked
}

// adviser is one entry host through which questions go.
type adviser struct {
	addr   netip.AddrPort
	asking *asked
	until  time.Time // not used before, after a question without an answer
}

// asked is a question that waits for its answer.
type asked struct {
	question cwcell.Question
	since    time.Time
	tries    int
}

const (
	// longQuestion is a cost from which a question may not take the last free hosts, which short ones need.
	longQuestion = 150 * time.Millisecond
	// freeShare is the share of the hosts that long questions leave free.
	freeShare = 3
	// askTries is how often a question is asked through different hosts.
	askTries = 4
	// askPause keeps questions off a host through which one got no answer.
	askPause = time.Second
)

func (a *advisers) add(q *cwcell.Question, now time.Time) {
	a.pending = append(a.pending, &asked{question: *q, since: now})
	slices.SortStableFunc(a.pending, func(x, y *asked) int { return x.question.Priority - y.question.Priority })
}

// dispatch hands waiting questions to free hosts.
func (a *advisers) dispatch(now time.Time) {
	if len(a.pending) == 0 {
		return
	}
	free, long, total := a.survey(now)
	waiting := a.pending[:0]
	for _, q := range a.pending {
		if !a.session.cell.Wanted(q.question.ID) {
			a.session.cell.Advised(q.question.ID, nil, false, now, now)
			continue
		}
		isLong := q.question.Cost >= longQuestion
		if len(free) == 0 || (isLong && long >= max(1, total-total/freeShare)) {
			waiting = append(waiting, q)
			continue
		}
		if isLong {
			long++
		}
		a.send(free[0], q)
		free = free[1:]
	}
	clear(a.pending[len(waiting):])
	a.pending = waiting
}

// survey returns the hosts that are free, and how many of all have a long question.
func (a *advisers) survey(now time.Time) (free []*adviser, long, total int) {
	if a.hosts == nil {
		a.hosts = map[netip.AddrPort]*adviser{}
	}
	addrs := a.session.owner.opts.Advisers()
	for _, addr := range addrs {
		h, ok := a.hosts[addr]
		if !ok {
			h = &adviser{addr: addr}
			a.hosts[addr] = h
		}
		switch {
		case h.asking != nil && h.asking.question.Cost >= longQuestion:
			long++
		case h.asking == nil && !now.Before(h.until):
			free = append(free, h)
		}
	}
	return free, long, len(addrs)
}

// send asks one question through a host.
func (a *advisers) send(h *adviser, q *asked) {
	h.asking = q
	q.tries++
	s := a.session
	question := q.question
	sent := s.submit("advice", func() {
		began := s.owner.opts.Timer.Now()
		good, validity, err := s.owner.opts.Ask(h.addr, &question)
		s.post(func(now time.Time) { a.answered(h, q, good, validity, err, began, now) })
	})
	if !sent {
		h.asking = nil
		a.pending = append(a.pending, q)
	}
}

// answered takes the answer of a question. Its tickets count from the answer, which is older than its arrival here, so
// they are taken to be as old as the way that it may have come.
func (a *advisers) answered(h *adviser, q *asked, good []cwcell.GoodWorker, validity time.Duration, err error, began, now time.Time) {
	h.asking = nil
	s := a.session
	if err != nil {
		h.until = now.Add(askPause)
		s.owner.opts.Log.WithFields(cwlog.Fields{
			"step": q.question.Step.String(), "through": h.addr.String(), "tries": q.tries, "error": err.Error(),
		}).Warn("advice-failed")
		if q.tries < askTries {
			a.add(&q.question, q.since)
			a.pending[slices.IndexFunc(a.pending, func(x *asked) bool { return x.question.ID == q.question.ID })].tries = q.tries
			return
		}
		s.cell.Advised(q.question.ID, nil, false, now, now)
		return
	}
	spent := max(0, now.Sub(began)-q.question.Cost)
	s.cell.Advised(q.question.ID, good, true, now.Add(validity-spent), now)
	s.owner.opts.Observed(Observation{Event: EventAdvice, Took: now.Sub(q.since)})
}
