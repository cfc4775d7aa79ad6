package cwdeployment_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/adapter/cwadmin"
	"currantward/internal/adapter/cwcodec"
	"currantward/internal/app/cwdeployment"
	"currantward/internal/app/cwentry"
	"currantward/internal/app/cwsettings"
	"currantward/internal/base/cwhttp"
	"currantward/internal/base/cwlog"
	"currantward/internal/base/cwtimer"
	"currantward/internal/core/cwmodel"
	"currantward/internal/standin/cwstore"
)

// rolloutLimit is the promised bound of the time until an accepted configuration is in force on every reachable entry host.
const rolloutLimit = 3 * time.Second

// cluster is a set of entry hosts in two data centres on one platform.
type cluster struct {
	t          *testing.T
	is         *is.I
	timer      *cwtimer.Service
	store      *cwstore.Platform
	settings   cwsettings.Settings
	client     *cwhttp.Client
	entryHosts []*cwentry.EntryHost
	stops      []func()
}

// newCluster starts a platform and the given number of entry hosts, all of which stop at the end of the test.
func newCluster(t *testing.T, hosts int) *cluster {
	t.Helper()
	cl := &cluster{t: t, is: is.New(t)}
	timer, stopTimer := cwtimer.New()
	t.Cleanup(stopTimer)
	cl.timer = timer
	document := cwsettings.Defaults()
	document.ListenCallers, document.ListenOperators, document.ListenPeers = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	document.HostID, document.DataCentre, document.Platform = "entry", "cairo-1", "127.0.0.1:9000"
	document.DrainTimeout = 0
	var err error
	cl.settings, err = document.Validate()
	cl.is.NoErr(err)
	store, platformAddr, stopStore, err := cwstore.New(cwstore.Options{Listen: cl.settings.ListenPeers, Timer: timer, Log: cwlog.Discard()})
	cl.is.NoErr(err)
	t.Cleanup(stopStore)
	cl.store, cl.settings.Platform = store, platformAddr
	client, stopClient := cwhttp.NewClient(cwhttp.DefaultClientOptions())
	t.Cleanup(stopClient)
	cl.client = client
	for n := range hosts {
		entryHost, stop := cl.startHost(n)
		cl.entryHosts, cl.stops = append(cl.entryHosts, entryHost), append(cl.stops, stop)
		t.Cleanup(func() { cl.stops[n]() })
	}
	return cl
}

// startHost starts entry host n. Hosts with an odd number are in the second data centre.
func (cl *cluster) startHost(n int) (entryHost *cwentry.EntryHost, stop func()) {
	settings := cl.settings
	if n < len(cl.entryHosts) {
		settings.ListenPeers = cl.entryHosts[n].PeersAddr // a restart keeps its address
	}
	settings.HostID, settings.DataCentre = cwmodel.HostID(fmt.Sprintf("entry-%d", n)), cwmodel.DataCentre(fmt.Sprintf("cairo-%d", n%2+1))
	entryHost, stop, err := cwdeployment.StartEntryHost(settings, cl.timer, cwlog.Discard())
	cl.is.NoErr(err)
	cl.store.Register(cwmodel.Host{
		ID: settings.HostID, Role: cwmodel.RoleEntryHost, State: cwmodel.HostLive, Address: entryHost.PeersAddr, DataCentre: settings.DataCentre,
	})
	return entryHost, stop
}

// putTeam commits a team by way of entry host n and returns the version.
func (cl *cluster) putTeam(n int, team string) uint64 {
	var response cwadmin.ChangeResponse
	path := cwadmin.PathTeams + team
	err := cl.client.Call(context.Background(), "PUT", cl.entryHosts[n].OperatorsAddr, path, cwcodec.Team{Name: team}, &response)
	cl.is.NoErr(err)
	return response.Version
}

// activeOnAllHosts reports whether each host's own status shows at least the version.
func (cl *cluster) activeOnAllHosts(ctx context.Context, version uint64) bool {
	for _, entryHost := range cl.entryHosts {
		var status cwadmin.Status
		err := cl.client.Call(ctx, "GET", entryHost.OperatorsAddr, cwadmin.PathStatus, nil, &status)
		if err != nil || status.ConfigurationVersion < version || status.Ready != (status.ConfigurationVersion > 0) {
			return false
		}
	}
	return true
}

// awaitRollout waits until the first host reports the version as in force everywhere and each host confirms it,
// and returns the time that this took.
func (cl *cluster) awaitRollout(version uint64, timeout time.Duration) (took time.Duration, rollout cwadmin.Rollout) {
	began := cl.timer.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		var status cwadmin.Status
		if err := cl.client.Call(ctx, "GET", cl.entryHosts[0].OperatorsAddr, cwadmin.PathStatus, nil, &status); err == nil {
			rollout = status.Rollout(version)
		}
		if rollout.Everywhere && cl.activeOnAllHosts(ctx, version) || !cl.timer.Sleep(ctx.Done(), 10*time.Millisecond) {
			return cl.timer.Now().Sub(began), rollout
		}
	}
}

// awaitPeers waits until the first host has exchanged state with all others.
func (cl *cluster) awaitPeers() {
	rollout := cwadmin.Rollout{}
	for len(rollout.Hosts) < len(cl.entryHosts) {
		_, rollout = cl.awaitRollout(0, 30*time.Second)
	}
}

// TestChangeIsInForceWithinLimit asserts that faults of the store and restarts of hosts do not delay a rollout past its limit.
func TestChangeIsInForceWithinLimit(t *testing.T) {
	cases := []struct {
		name   string
		change func(cl *cluster) (version uint64)
	}{
		{"one change", func(cl *cluster) uint64 { return cl.putTeam(1, "riders") }},
		{"the answer of its commit is lost", func(cl *cluster) uint64 {
			cl.store.SetFaults(cwstore.Faults{LostResponses: 1})
			return cl.putTeam(1, "riders")
		}},
		{"the table goes down after its commit", func(cl *cluster) uint64 {
			version := cl.putTeam(1, "riders")
			cl.store.SetFaults(cwstore.Faults{Down: true})
			return version
		}},
		{"the table hangs after its commit", func(cl *cluster) uint64 {
			version := cl.putTeam(1, "riders")
			cl.store.SetFaults(cwstore.Faults{Delay: cwcodec.Duration(4 * time.Second)})
			return version
		}},
		{"a host is restarted in an outage", func(cl *cluster) uint64 {
			version := cl.putTeam(1, "riders")
			_, rollout := cl.awaitRollout(version, rolloutLimit)
			cl.is.True(rollout.Everywhere)
			cl.store.SetFaults(cwstore.Faults{Down: true})
			cl.stops[2]()
			cl.entryHosts[2], cl.stops[2] = cl.startHost(2)
			return version
		}},
		{"8 operators race at 4 hosts", func(cl *cluster) uint64 {
			var ended sync.WaitGroup
			versions := make([]uint64, 8)
			for n := range versions {
				ended.Go(func() { versions[n] = cl.putTeam(n%4, fmt.Sprintf("team-%d", n)) })
			}
			ended.Wait()
			highest := uint64(0)
			for _, v := range versions {
				highest = max(highest, v)
			}
			cl.is.Equal(highest, uint64(len(versions))) // each change was accepted as a separate version
			return highest
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 4)
			defer cl.store.SetFaults(cwstore.Faults{}) // lets the hosts stop
			cl.awaitPeers()
			version := c.change(cl)
			took, rollout := cl.awaitRollout(version, rolloutLimit)
			cl.is.True(took < rolloutLimit)
			t.Logf("version %d in force on %d hosts after %v", version, len(rollout.Hosts), took.Round(time.Millisecond))
			cl.is.Equal(rollout.Behind, []string{})
			cl.is.Equal(rollout.Unreachable, []string{})
			cl.is.Equal(len(rollout.Hosts), len(cl.entryHosts))
		})
	}
}

// TestUnreachableHostKeepsRolloutIncomplete stops one host that the platform's host list still names. The host cannot confirm
// the version, so the rollout must list it as unreachable and never report the change as in force everywhere.
func TestUnreachableHostKeepsRolloutIncomplete(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, 3)
	cl.awaitPeers()
	cl.stops[2]()
	cl.stops[2] = func() {}
	version := cl.putTeam(1, "riders")
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var rollout cwadmin.Rollout
	for len(rollout.Unreachable) == 0 && ctx.Err() == nil {
		_, rollout = cl.awaitRollout(version, 10*time.Millisecond)
		cl.is.True(!rollout.Everywhere)
	}
	cl.is.Equal(rollout.Unreachable, []string{"entry-2"})
}
