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

// Events of a test step.
const (
	onHostList      = "view"
	onTick          = "tick"
	onClaimResult   = "claimed"
	onRenewalResult = "renewed"
	onReleaseResult = "released"
	onStaleEpoch    = "stale"
	onOpenRequests  = "open"
	onReleaseAll    = "leave"
)

// step is an event with the actions that it must cause.
type step struct {
	event        string
	wait         time.Duration // before the event
	hosts        string        // live entry hosts, for onView
	state        cwmodel.HostState
	latency      time.Duration // duration of a call before its response arrives
	code         cwfault.Code
	leaving      bool
	openRequests int
	epoch        cwmodel.Epoch // 0 means 1
	want         string        // expected actions with their reasons
}

// preferredOf returns a host that is ranked above "self" as owner of "worker-1", and one that is ranked below.
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
	t.Fatal("found no pair of hosts ranked above and below \"self\"")
	return "", ""
}

// TestClaimDecisions asserts the actions after each event of a sequence for one worker.
func TestClaimDecisions(t *testing.T) {
	better, worse := preferredOf(t)
	claimed := []step{{event: onHostList, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimResult, want: "owned"}}
	after := func(steps ...step) []step { return append(append([]step{}, claimed...), steps...) }
	cases := []struct {
		name  string
		steps []step
	}{
		{"a claim is owned and renewed", after(step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, want: "extended"})},
		{"a claim whose response arrives after its expiry is repeated", []step{
			{event: onHostList, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimResult, latency: ttl, want: "claim"},
		}},
		{"the validity of a claim counts from when the call was sent", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, latency: 3 * time.Second, want: "extended renew"},
			step{event: onTick, wait: 3 * time.Second, want: "lost:lapsed"},
		)},
		{"a claim ends in time if its renewal is unanswered", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onTick, wait: 3900 * time.Millisecond, want: ""},
			step{event: onTick, wait: 50 * time.Millisecond, want: "lost:lapsed"},
			step{event: onRenewalResult, want: ""}, step{event: onTick, wait: time.Second, want: "claim"},
		)},
		{"a failed renewal is repeated before the claim ends", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, code: cwfault.Indefinite, want: ""},
			step{event: onTick, wait: 250 * time.Millisecond, want: "renew"},
		)},
		{"a stale epoch loses the worker", after(step{event: onStaleEpoch, want: "lost:stale-epoch"})},
		{"a renewal rejected for a stale epoch loses the worker", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, code: cwfault.StaleEpoch, want: "lost:stale-epoch"},
		)},
		{"a stale epoch reported for another claim does not lose the worker", after(step{event: onStaleEpoch, epoch: 7, want: ""})},
		{"a conflict is tried again", []step{
			{event: onHostList, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimResult, code: cwfault.Conflict, want: ""},
			{event: onTick, wait: time.Second, want: "claim"},
		}},
		{"a host ranked second claims only after the fallback time", []step{
			{event: onHostList, hosts: "self," + better}, {event: onTick, wait: 23 * time.Second, want: ""}, {event: onTick, wait: time.Second, want: "claim"},
		}},
		{"a host ranked second waits again after a conflict with an owner", []step{
			{event: onHostList, hosts: "self," + better}, {event: onTick, wait: 4 * ttl, want: "claim"}, {event: onClaimResult, code: cwfault.Conflict},
			{event: onTick, wait: ttl, want: ""}, {event: onTick, wait: 3 * ttl, want: "claim"},
		}},
		{"a worker that reports that it is leaving is drained and kept", after(
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, leaving: true, want: "extended drain:leaving"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, leaving: true, want: "extended"},
		)},
		{"a worker that is leaving according to the list is drained and kept", after(
			step{event: onHostList, hosts: "self", state: cwmodel.HostLeaving, want: "drain:leaving"}, step{event: onTick, wait: 2 * time.Second, want: "renew"},
		)},
		{"a leaving worker is claimed for its results and drained at once", []step{
			{event: onHostList, hosts: "self", state: cwmodel.HostLeaving}, {event: onTick, wait: time.Second, want: "claim"}, {event: onClaimResult, want: "owned drain:leaving"},
		}},
		{"an unlisted worker is drained and kept while it responds", after(
			step{event: onHostList, state: "none", hosts: "self", want: "drain:unlisted"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, want: "extended"},
		)},
		{"a draining worker that is live again is released once idle and claimed again", after(
			step{event: onHostList, hosts: "self", state: cwmodel.HostLeaving, want: "drain:leaving"}, step{event: onOpenRequests, openRequests: 1},
			step{event: onHostList, hosts: "self", want: ""}, step{event: onTick, wait: 1500 * time.Millisecond, want: ""}, step{event: onOpenRequests, openRequests: 0},
			step{event: onTick, want: "lost:hand-over release"}, step{event: onReleaseResult}, step{event: onTick, wait: time.Second, want: "claim"},
		)},
		{"a hand-over waits until the preference is steady and no request runs", after(
			step{event: onHostList, hosts: "self," + better, want: ""}, step{event: onOpenRequests, openRequests: 1},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, want: "extended"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, want: "extended"},
			step{event: onTick, wait: 2 * time.Second, want: "drain:hand-over renew"}, step{event: onRenewalResult, want: "extended"},
			step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, want: "extended"}, step{event: onOpenRequests, openRequests: 0},
			step{event: onTick, want: "lost:hand-over release"}, step{event: onReleaseResult, want: ""}, step{event: onTick, wait: 10 * time.Second, want: ""},
		)},
		{"a preferred host that is live only briefly causes no hand-over", after(
			step{event: onHostList, hosts: "self," + better, want: ""}, step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, want: "extended"},
			step{event: onHostList, wait: time.Second, hosts: "self", want: ""}, step{event: onHostList, wait: time.Second, hosts: "self," + better, want: "renew"},
			step{event: onRenewalResult, want: "extended"}, step{event: onTick, wait: 3 * time.Second, want: "renew"},
		)},
		{"a less preferred host that joins causes no hand-over", after(
			step{event: onHostList, hosts: "self," + worse, want: ""}, step{event: onTick, wait: 2 * time.Second, want: "renew"}, step{event: onRenewalResult, want: "extended"},
			step{event: onTick, wait: 5 * time.Second, want: "renew"},
		)},
		{"ReleaseAll releases all claims and prevents new ones", after(
			step{event: onReleaseAll, want: "lost:hand-over release"}, step{event: onReleaseResult, want: ""}, step{event: onTick, wait: time.Minute, want: ""},
		)},
		{"a claim granted after ReleaseAll is released", []step{
			{event: onHostList, hosts: "self"}, {event: onTick, wait: time.Second, want: "claim"}, {event: onReleaseAll, want: ""}, {event: onClaimResult, want: "release"},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := cwclaim.New(cwclaim.DefaultOptions("self", ttl))
			now := time.Unix(1000, 0)
			for n, s := range c.steps {
				t.Logf("step %d: %+v", n, s)
				now = now.Add(s.wait + s.latency)
				s.apply(m, now)
				is.Equal(kindsOf(m.Actions()), s.want)
			}
		})
	}
}

// apply passes the event of a step to a machine.
func (s step) apply(m *cwclaim.Machine, now time.Time) {
	const worker = cwmodel.HostID("worker-1")
	epoch := max(s.epoch, 1)
	result := cwclaim.CallResult{Sent: now.Add(-s.latency), Received: now, Code: s.code, Epoch: epoch, Clock: now, Leaving: s.leaving}
	switch s.event {
	case onHostList:
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
	case onClaimResult:
		m.HandleClaim(now, worker, result)
	case onRenewalResult:
		m.HandleRenewal(now, worker, epoch, result)
	case onReleaseResult:
		m.HandleRelease(now, worker)
	case onStaleEpoch:
		m.HandleStaleEpoch(now, worker, epoch)
	case onOpenRequests:
		m.SetOpenRequests(worker, s.openRequests)
	case onReleaseAll:
		m.ReleaseAll(now)
	}
}

// kindsOf returns the kinds of actions with their reasons, separated by spaces.
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

// TestRequestsAreVoidAfterTheirWindow asserts the bounds on when a worker may still accept requests of an expired claim, also if
// this host was paused and noticed the expiry late.
func TestRequestsAreVoidAfterTheirWindow(t *testing.T) {
	is := is.New(t)
	m := cwclaim.New(cwclaim.DefaultOptions("self", ttl))
	now := time.Unix(1000, 0)
	step{event: onHostList, hosts: "self"}.apply(m, now)
	now = now.Add(time.Second)
	m.Tick(now)
	step{event: onClaimResult}.apply(m, now)
	m.Actions()
	m.Tick(now.Add(2 * time.Second))
	is.Equal(m.Actions()[0].NotAfter, now.Add(4*time.Second)) // the renewal
	m.Tick(now.Add(time.Hour))                                // the host was paused
	lost := m.Actions()[0]
	is.Equal(lost.Kind, cwclaim.ActionLost)
	is.Equal(lost.LastRenewal, now.Add(ttl-cwclaim.DriftMargin(ttl)+2*time.Second)) // from the expiry of the claim, not from the late tick
	is.True(cwclaim.LeaseExpiryBound(lost.LastRenewal, time.Minute).After(lost.LastRenewal.Add(time.Minute)))
}

// TestClaimsAreSpreadAndLimited asserts that many new workers are not all claimed at once.
func TestClaimsAreSpreadAndLimited(t *testing.T) {
	is := is.New(t)
	m := cwclaim.New(cwclaim.DefaultOptions("self", ttl))
	var workers []cwmodel.Host
	for n := range 200 {
		workers = append(workers, cwmodel.Host{ID: cwmodel.HostID(fmt.Sprintf("worker-%d", n)), State: cwmodel.HostLive})
	}
	now := time.Unix(1000, 0)
	m.UpdateHosts(now, workers, []cwmodel.HostID{"self"})
	is.True(len(m.Actions()) < 20) // first claims are spread over time
	m.Tick(now.Add(time.Second))
	is.True(len(m.Actions()) <= 64) // claims in flight are limited
}

// TestClockBounds asserts the offset of a worker's clock after calls of different durations.
func TestClockBounds(t *testing.T) {
	local := time.Unix(1000, 0)
	ahead := time.Minute // of the worker
	cases := []struct {
		name     string
		calls    []time.Duration // round trips; the worker reads its clock at their end
		earliest time.Duration
		maxWidth time.Duration
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
			is.Equal(b.Earliest(local).Sub(local), c.earliest)
			is.True(b.Width() <= c.maxWidth)
		})
	}
}

// TestNextEpochIncreasesAcrossWorkerRestart asserts that no epoch is granted twice, even if the worker lost its epoch.
func TestNextEpochIncreasesAcrossWorkerRestart(t *testing.T) {
	is := is.New(t)
	clock := time.Unix(1000, 0)
	first := cwclaim.NextEpoch(0, clock)
	is.True(cwclaim.NextEpoch(first, clock) > first)
	is.True(cwclaim.NextEpoch(0, clock.Add(time.Second)) > first) // the worker lost its epoch in the restart
}

// TestRetainsEpochsOfThePresentWorkerProcess asserts for which epochs a worker still has records.
func TestRetainsEpochsOfThePresentWorkerProcess(t *testing.T) {
	booted := time.Unix(1000, 0)
	at := func(d time.Duration) cwmodel.Epoch { return cwclaim.NextEpoch(0, booted.Add(d)) }
	cases := []struct {
		name             string
		attempt, present cwmodel.Epoch
		booted           time.Time
		want             bool
	}{
		{"the present epoch", at(time.Second), at(time.Second), booted, true},
		{"an earlier epoch of the present process", at(time.Second), at(time.Minute), booted, true},
		{"an epoch of an earlier process", at(-time.Second), at(time.Minute), booted, false},
		{"an epoch granted at the start time", at(0), at(time.Minute), booted, false},
		{"an epoch above the present one after the clock was set back", at(time.Hour), at(time.Minute), booted, false},
		{"the present epoch of a worker without a start time", at(time.Second), at(time.Second), time.Time{}, true},
		{"an earlier epoch of a worker without a start time", at(time.Second), at(time.Minute), time.Time{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(cwclaim.RetainsEpoch(c.attempt, c.present, c.booted), c.want)
		})
	}
}
