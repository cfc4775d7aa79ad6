package cwclaim_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/base/cwfault"
	"currantward/internal/core/cwclaim"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwowner"
)

const ttl = 6 * time.Second

// Events of a step.
const (
	onView    = "view"
	onTick    = "tick"
	onClaimed = "claimed"
	onRenewed = "renewed"
	onRelease = "released"
	onStale   = "stale"
	onOpen    = "open"
	onLeave   = "leave"
)

// step is one event with the actions that must come of it.
type step struct {
	event   string
	wait    time.Duration // before the event
	hosts   string        // live entry hosts, for a view
	state   cwmodel.HostState
	took    time.Duration // of a call, before its answer arrives
	code    cwfault.Code
	leaving bool
	open    int
	epoch   cwmodel.Epoch // 1 if left out
	want    string        // kinds of actions with their reasons
}

// preferredOf names a host that "worker-1" prefers to "self", and one that it does not.
func preferredOf(t *testing.T) (better, worse string) {
	for n := range 100 {
		host := fmt.Sprintf("entry-%d", n)
		if cwowner.Rank("worker-1", "self", []cwmodel.HostID{"self", cwmodel.HostID(host)}) == 1 {
			better = host
		} else {
			worse = host
		}
		if better != "" && worse != "" {
			return better, worse
		}
	}
	t.Fatal("no such hosts")
	return "", ""
}

func TestClaimDecisions(t *testing.T) {
	better, worse := preferredOf(t)
	claimed := []step{{event: onView, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimed, want: "owned"}}
	after := func(steps ...step) []step { return append(append([]step{}, claimed...), steps...) }
	cases := []struct {
		name  string
		steps []step
	}{
		{"a claim is owned and renewed", after(step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, want: "extended"})},
		{"a claim whose answer comes after its end is made anew", []step{
			{event: onView, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimed, took: ttl, want: "claim"},
		}},
		{"a claim counts from when it was sent", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, took: 3 * time.Second, want: "extended renew"},
			step{event: onTick, wait: 3 * time.Second, want: "lost:lapsed"},
		)},
		{"an unanswered renewal ends the claim in time", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onTick, wait: 3900 * time.Millisecond, want: ""},
			step{event: onTick, wait: 50 * time.Millisecond, want: "lost:lapsed"},
			step{event: onRenewed, want: ""}, step{event: onTick, wait: time.Second, want: "claim"},
		)},
		{"a failed renewal is repeated before the claim ends", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, code: cwfault.Indefinite, want: ""},
			step{event: onTick, wait: 250 * time.Millisecond, want: "renew"},
		)},
		{"a stale epoch loses the worker", after(step{event: onStale, want: "lost:stale-epoch"})},
		{"a renewal that is stale loses the worker", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, code: cwfault.StaleEpoch, want: "lost:stale-epoch"},
		)},
		{"an older stale epoch does not", after(step{event: onStale, epoch: 7, want: ""})},
		{"a conflict is tried again", []step{
			{event: onView, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimed, code: cwfault.Conflict, want: ""},
			{event: onTick, wait: time.Second, want: "claim"},
		}},
		{"a less preferred host claims nothing at first, but falls back in the end", []step{
			{event: onView, hosts: "self," + better}, {event: onTick, wait: 23 * time.Second, want: ""}, {event: onTick, wait: time.Second, want: "claim"},
		}},
		{"a less preferred host waits anew once it hears of an owner", []step{
			{event: onView, hosts: "self," + better}, {event: onTick, wait: 4 * ttl, want: "claim"}, {event: onClaimed, code: cwfault.Conflict},
			{event: onTick, wait: ttl, want: ""}, {event: onTick, wait: 3 * ttl, want: "claim"},
		}},
		{"a worker that says it leaves is drained and kept", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, leaving: true, want: "extended drain:leaving"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, leaving: true, want: "extended"},
		)},
		{"a worker that leaves by the list is drained and kept", after(
			step{event: onView, hosts: "self", state: cwmodel.HostLeaving, want: "drain:leaving"}, step{event: onTick, wait: 2 * time.Second, want: "renew"},
		)},
		{"a leaving worker is claimed for its results and drained at once", []step{
			{event: onView, hosts: "self", state: cwmodel.HostLeaving}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimed, want: "owned drain:leaving"},
		}},
		{"a worker that vanished from the list is drained and kept while it answers", after(
			step{event: onView, state: "none", hosts: "self", want: "drain:unlisted"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, want: "extended"},
		)},
		{"a worker that is live again is released once idle and claimed anew", after(
			step{event: onView, hosts: "self", state: cwmodel.HostLeaving, want: "drain:leaving"}, step{event: onOpen, open: 1},
			step{event: onView, hosts: "self", want: ""}, step{event: onTick, wait: 1500 * time.Millisecond, want: ""}, step{event: onOpen, open: 0},
			step{event: onTick, want: "lost:hand-over release"}, step{event: onRelease}, step{event: onTick, wait: time.Second, want: "claim"},
		)},
		{"a hand-over waits until the preference is steady and no request runs", after(
			step{event: onView, hosts: "self," + better, want: ""}, step{event: onOpen, open: 1},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, want: "extended"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, want: "extended"},
			step{event: onTick, wait: 2 * time.Second, want: "drain:hand-over renew"}, step{event: onRenewed, want: "extended"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, want: "extended"}, step{event: onOpen, open: 0},
			step{event: onTick, want: "lost:hand-over release"}, step{event: onRelease, want: ""}, step{event: onTick, wait: 10 * time.Second, want: ""},
		)},
		{"a host that comes and goes moves nothing", after(
			step{event: onView, hosts: "self," + better, want: ""}, step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, want: "extended"},
			step{event: onView, wait: time.Second, hosts: "self", want: ""}, step{event: onView, wait: time.Second, hosts: "self," + better, want: "renew"},
			step{event: onRenewed, want: "extended"}, step{event: onTick, wait: 3 * time.Second, want: "renew"},
		)},
		{"a less preferred host that joins moves nothing", after(
			step{event: onView, hosts: "self," + worse, want: ""}, step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewed, want: "extended"},
			step{event: onTick, wait: 5 * time.Second, want: "renew"},
		)},
		{"leaving releases everything and claims nothing", after(
			step{event: onLeave, want: "lost:hand-over release"}, step{event: onRelease, want: ""}, step{event: onTick, wait: time.Minute, want: ""},
		)},
		{"a claim that is granted while leaving is released", []step{
			{event: onView, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onLeave, want: ""}, {event: onClaimed, want: "release"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := cwclaim.New(cwclaim.DefaultOptions("self", ttl))
			now := time.Unix(1000, 0)
			for n, s := range c.steps {
				t.Logf("step %d: %+v", n, s)
				now = now.Add(s.wait + s.took)
				s.apply(m, now)
				is.Equal(kindsOf(m.Actions()), s.want)
			}
		})
	}
}

func (s step) apply(m *cwclaim.Machine, now time.Time) {
	const worker = cwmodel.HostID("worker-1")
	epoch := max(s.epoch, 1)
	answer := cwclaim.CallResult{Sent: now.Add(-s.took), Received: now, Code: s.code, Epoch: epoch, Clock: now, Leaving: s.leaving}
	switch s.event {
	case onView:
		host := cwmodel.Host{ID: worker, Role: cwmodel.RoleWorker, State: s.state}
		workers := []cwmodel.Host{host}
		switch s.state {
		case "":
			workers[0].State = cwmodel.HostLive
		case "none":
			workers = nil
		}
		var hosts []cwmodel.HostID
		for _, name := range strings.Split(s.hosts, ",") {
			hosts = append(hosts, cwmodel.HostID(name))
		}
		m.UpdateHosts(now, workers, hosts)
	case onTick:
		m.Tick(now)
	case onClaimed:
		m.HandleClaim(now, worker, answer)
	case onRenewed:
		m.HandleRenewal(now, worker, epoch, answer)
	case onRelease:
		m.HandleRelease(now, worker)
	case onStale:
		m.HandleStaleEpoch(now, worker, epoch)
	case onOpen:
		m.SetOpenRequests(worker, s.open)
	case onLeave:
		m.ReleaseAll(now)
	}
}

func kindsOf(actions []cwclaim.Action) string {
	var kinds []string
	for _, a := range actions {
		kind := string(a.Kind)
		if a.Reason != "" {
			kind += ":" + string(a.Reason)
		}
		kinds = append(kinds, kind)
	}
	return strings.Join(kinds, " ")
}

func TestOrdersAreVoidAfterTheirWindow(t *testing.T) {
	is := is.New(t)
	m := cwclaim.New(cwclaim.DefaultOptions("self", ttl))
	now := time.Unix(1000, 0)
	step{event: onView, hosts: "self"}.apply(m, now)
	now = now.Add(time.Second)
	m.Tick(now)
	step{event: onClaimed}.apply(m, now)
	m.Actions()
	m.Tick(now.Add(2 * time.Second))
	is.Equal(m.Actions()[0].NotAfter, now.Add(4*time.Second)) // the renewal
	m.Tick(now.Add(time.Hour))                                // the host was paused
	lost := m.Actions()[0]
	is.Equal(lost.Kind, cwclaim.ActionLost)
	is.Equal(lost.LastRenewal, now.Add(ttl-cwclaim.DriftMargin(ttl)+2*time.Second)) // counts from the end of the claim
	is.True(cwclaim.LeaseExpiryBound(lost.LastRenewal, time.Minute).After(lost.LastRenewal.Add(time.Minute)))
}

func TestClaimsSpreadAndAreBounded(t *testing.T) {
	is := is.New(t)
	m := cwclaim.New(cwclaim.DefaultOptions("self", ttl))
	var workers []cwmodel.Host
	for n := range 200 {
		workers = append(workers, cwmodel.Host{ID: cwmodel.HostID(fmt.Sprintf("worker-%d", n)), State: cwmodel.HostLive})
	}
	now := time.Unix(1000, 0)
	m.UpdateHosts(now, workers, []cwmodel.HostID{"self"})
	is.True(len(m.Actions()) < 20) // the first claims are spread
	m.Tick(now.Add(time.Second))
	is.True(len(m.Actions()) <= 64) // no more are in flight at once
}

func TestClockBounds(t *testing.T) {
	local := time.Unix(1000, 0)
	ahead := time.Minute // of the worker
	cases := []struct {
		name  string
		calls []time.Duration // round trips; the worker reads its clock at their end
		least time.Duration
		error time.Duration
	}{
		{"one call", []time.Duration{20 * time.Millisecond}, ahead, 20 * time.Millisecond},
		{"a quick call narrows a slow one", []time.Duration{time.Second, 10 * time.Millisecond}, ahead, 10 * time.Millisecond},
		{"a slow call does not widen a quick one", []time.Duration{10 * time.Millisecond, time.Second}, ahead, 10*time.Millisecond + cwclaim.DriftMargin(time.Second)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := cwclaim.NewClockBounds(local, local.Add(c.calls[0]), local.Add(c.calls[0]+ahead))
			for _, trip := range c.calls[1:] {
				b.Observe(local, local.Add(trip), local.Add(trip+ahead))
			}
			is.Equal(b.Earliest(local).Sub(local), c.least)
			is.True(b.Width() <= c.error)
		})
	}
}

func TestNextEpochGrowsOverARestartOfTheWorker(t *testing.T) {
	is := is.New(t)
	clock := time.Unix(1000, 0)
	first := cwclaim.NextEpoch(0, clock)
	is.True(cwclaim.NextEpoch(first, clock) > first)
	is.True(cwclaim.NextEpoch(0, clock.Add(time.Second)) > first) // the worker has forgotten its epoch
}

func TestRemembersWhatWasOrderedInThePresentLifeOfTheWorker(t *testing.T) {
	booted := time.Unix(1000, 0)
	at := func(d time.Duration) cwmodel.Epoch { return cwclaim.NextEpoch(0, booted.Add(d)) }
	cases := []struct {
		name             string
		attempt, present cwmodel.Epoch
		booted           time.Time
		want             bool
	}{
		{"the present epoch", at(time.Second), at(time.Second), booted, true},
		{"an earlier epoch of this life", at(time.Second), at(time.Minute), booted, true},
		{"an epoch of an earlier life", at(-time.Second), at(time.Minute), booted, false},
		{"an epoch of the moment of the start", at(0), at(time.Minute), booted, false},
		{"an epoch above the present one, as the clock went back", at(time.Hour), at(time.Minute), booted, false},
		{"the present epoch of a worker that does not say when it started", at(time.Second), at(time.Second), time.Time{}, true},
		{"an earlier epoch of a worker that does not say when it started", at(time.Second), at(time.Minute), time.Time{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(cwclaim.RetainsEpoch(c.attempt, c.present, c.booted), c.want)
		})
	}
}
