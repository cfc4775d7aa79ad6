package cwdev_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwdev"
	"currantward/internal/app/cwentry"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/standin/cwstore"
)

// promisedWithin is the promise: an accepted configuration is in force on every reachable entry host within this.
const promisedWithin = 3 * time.Second

// region is entry hosts in two data centres on one platform.
type region struct {
	t        *testing.T
	is       *is.I
	timer    *cwtimer.Service
	store    *cwstore.Platform
	settings cwsettings.Settings
	client   *cwhttp.Client
	entries  []*cwentry.Entry
	stops    []func()
}

func newRegion(t *testing.T, hosts int) *region {
	t.Helper()
	r := &region{t: t, is: is.New(t)}
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	r.timer = timer
	document := cwsettings.Defaults()
	document.ListenCallers, document.ListenOperators, document.ListenPeers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	document.HostID, document.DataCentre, document.Platform = "entry", "cairo-1", "127.0.0.1:9000"
	document.DrainTimeout = 0
	var err error
	r.settings, err = document.Validate()
	r.is.NoErr(err)
	store, platform, stopStore, err := cwstore.New(cwstore.Options{Listen: r.settings.ListenPeers, Timer: timer, Log: cwlog.Discard()})
	r.is.NoErr(err)
	t.Cleanup(stopStore)
	r.store, r.settings.Platform = store, platform
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	t.Cleanup(stopClient)
	r.client = client
	for n := range hosts {
		entry, stop := r.start(n)
		r.entries, r.stops = append(r.entries, entry), append(r.stops, stop)
		t.Cleanup(func() { r.stops[n]() })
	}
	return r
}

// start starts the entry host with the given number; odd ones are in the second data centre.
func (r *region) start(n int) (entry *cwentry.Entry, stop func()) {
	settings := r.settings
	if n < len(r.entries) {
		settings.ListenPeers = r.entries[n].Peers // a restart keeps its address
	}
	settings.HostID, settings.DataCentre = cwmodel.HostID(fmt.Sprintf("entry-%d", n)), cwmodel.DataCentre(fmt.Sprintf("cairo-%d", n%2+1))
	entry, stop, err := cwdev.StartEntry(settings, r.timer, cwlog.Discard())
	r.is.NoErr(err)
	r.store.Register(cwmodel.Host{
		ID: settings.HostID, Role: cwmodel.RoleEntryHost, State: cwmodel.HostLive, Address: entry.Peers, DataCentre: settings.DataCentre,
	})
	return entry, stop
}

// change puts one team at one host and returns the version.
func (r *region) change(n int, team string) uint64 {
	var answer cwadmin.ChangeResponse
	path := cwadmin.PathTeams + team
	err := r.client.Call(context.Background(), "PUT", r.entries[n].Operators, path, cwcodec.Team{Name: team}, &answer)
	r.is.NoErr(err)
	return answer.Version
}

// confirmed asks each host itself.
func (r *region) confirmed(ctx context.Context, version uint64) bool {
	for _, entry := range r.entries {
		var status cwadmin.Status
		err := r.client.Call(ctx, "GET", entry.Operators, cwadmin.PathStatus, nil, &status)
		if err != nil || status.Configuration < version || status.Ready != (status.Configuration > 0) {
			return false
		}
	}
	return true
}

// await waits until the first host knows that the version is in force everywhere, and each host says so itself.
func (r *region) await(version uint64, within time.Duration) (took time.Duration, in cwadmin.Rollout) {
	began := r.timer.Now()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for {
		var status cwadmin.Status
		if err := r.client.Call(ctx, "GET", r.entries[0].Operators, cwadmin.PathStatus, nil, &status); err == nil {
			in = status.Rollout(version)
		}
		if in.Everywhere && r.confirmed(ctx, version) || !r.timer.Sleep(ctx.Done(), 10*time.Millisecond) {
			return r.timer.Now().Sub(began), in
		}
	}
}

// meet waits until the first host has heard all others.
func (r *region) meet() {
	in := cwadmin.Rollout{}
	for len(in.Hosts) < len(r.entries) {
		_, in = r.await(0, 30*time.Second)
	}
}

func TestChangeIsInForceWithinTheTarget(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *region) (version uint64)
	}{
		{"one change", func(r *region) uint64 { return r.change(1, "riders") }},
		{"the answer of its commit is lost", func(r *region) uint64 {
			r.store.SetFaults(cwstore.Faults{LostResponses: 1})
			return r.change(1, "riders")
		}},
		{"the table goes down after its commit", func(r *region) uint64 {
			version := r.change(1, "riders")
			r.store.SetFaults(cwstore.Faults{Down: true})
			return version
		}},
		{"the table hangs after its commit", func(r *region) uint64 {
			version := r.change(1, "riders")
			r.store.SetFaults(cwstore.Faults{Delay: cwcodec.Duration(4 * time.Second)})
			return version
		}},
		{"a host is restarted in an outage", func(r *region) uint64 {
			version := r.change(1, "riders")
			_, in := r.await(version, promisedWithin)
			r.is.True(in.Everywhere)
			r.store.SetFaults(cwstore.Faults{Down: true})
			r.stops[2]()
			r.entries[2], r.stops[2] = r.start(2)
			return version
		}},
		{"8 operators race at 4 hosts", func(r *region) uint64 {
			var ended sync.WaitGroup
			versions := make([]uint64, 8)
			for n := range versions {
				ended.Go(func() { versions[n] = r.change(n%4, fmt.Sprintf("team-%d", n)) })
			}
			ended.Wait()
			highest := uint64(0)
			for _, v := range versions {
				highest = max(highest, v)
			}
			r.is.Equal(highest, uint64(len(versions))) // each was accepted under a version of its own
			return highest
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRegion(t, 4)
			defer r.store.SetFaults(cwstore.Faults{}) // lets the hosts end
			r.meet()
			version := c.change(r)
			took, in := r.await(version, promisedWithin)
			r.is.True(took < promisedWithin)
			t.Logf("version %d in force on %d hosts after %v", version, len(in.Hosts), took.Round(time.Millisecond))
			r.is.Equal(in.Behind, []string{})
			r.is.Equal(in.Unreachable, []string{})
			r.is.Equal(len(in.Hosts), len(r.entries))
		})
	}
}

// TestNoChangeIsCalledInForceWhereThatIsNotKnown ends one host without the platform's list telling.
func TestNoChangeIsCalledInForceWhereThatIsNotKnown(t *testing.T) {
	t.Parallel()
	r := newRegion(t, 3)
	r.meet()
	r.stops[2]()
	r.stops[2] = func() {}
	version := r.change(1, "riders")
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var in cwadmin.Rollout
	for len(in.Unreachable) == 0 && ctx.Err() == nil {
		_, in = r.await(version, 10*time.Millisecond)
		r.is.True(!in.Everywhere)
	}
	r.is.Equal(in.Unreachable, []string{"entry-2"})
}
