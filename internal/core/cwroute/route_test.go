package cwroute_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwroute"
)

func slots(n int64) cwmodel.Resources { return cwmodel.Resources{Slots: n} }

func peer(host cwmodel.HostID, dc cwmodel.DataCentre, largest, free int64) cwroute.Peer {
	return cwroute.Peer{Host: host, DataCentre: dc, Workers: 1, LargestFree: slots(largest), Free: slots(free)}
}

func options() cwroute.Options {
	return cwroute.Options{Seed: 1, DataCentre: "here", MinSpillTime: 100 * time.Millisecond, SentLoadTTL: time.Second}
}

// TestChoose asserts which peer successive requests are forwarded to, if any.
func TestChoose(t *testing.T) {
	leaving := peer("a", "here", 8, 8)
	leaving.Draining = true
	idle := peer("a", "here", 8, 8)
	idle.Workers = 0
	cases := []struct {
		name   string
		peers  []cwroute.Peer
		left   time.Duration
		tried  []cwmodel.HostID
		demand int64
		want   []cwmodel.HostID // of successive choices
	}{
		{"no peer", nil, time.Second, nil, 1, []cwmodel.HostID{""}},
		{"sent load uses up the free capacity", []cwroute.Peer{peer("a", "here", 2, 3)}, time.Second, nil, 1, []cwmodel.HostID{"a", "a", "a", ""}},
		{"largest worker is too small", []cwroute.Peer{peer("a", "here", 1, 8)}, time.Second, nil, 2, []cwmodel.HostID{""}},
		{"draining peer", []cwroute.Peer{leaving}, time.Second, nil, 1, []cwmodel.HostID{""}},
		{"peer without workers", []cwroute.Peer{idle}, time.Second, nil, 1, []cwmodel.HostID{""}},
		{"tried peer", []cwroute.Peer{peer("a", "here", 8, 8)}, time.Second, []cwmodel.HostID{"a"}, 1, []cwmodel.HostID{""}},
		{"local data centre first", []cwroute.Peer{peer("a", "away", 9, 9), peer("b", "here", 1, 1)}, time.Second, nil, 1, []cwmodel.HostID{"b", "a"}},
		{"no other data centre with too little time left", []cwroute.Peer{peer("a", "away", 9, 9)}, 99 * time.Millisecond, nil, 1, []cwmodel.HostID{""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := cwroute.New(options())
			for _, want := range c.want {
				host, ok := r.Choose(time.Unix(1000, 0), c.peers, slots(c.demand), c.left, c.tried)
				is.Equal(host, want)
				is.Equal(ok, want != "")
			}
		})
	}
}

// TestSentLoadResetsWithANewReportOrTime asserts that sent load no longer counts after a new report or SentLoadTTL.
func TestSentLoadResetsWithANewReportOrTime(t *testing.T) {
	is := is.New(t)
	r := cwroute.New(options())
	now := time.Unix(1000, 0)
	reports := []cwroute.Peer{peer("a", "here", 1, 1)}
	choose := func() bool {
		_, ok := r.Choose(now, reports, slots(1), time.Second, nil)
		return ok
	}
	is.True(choose())
	is.True(!choose())
	reports = []cwroute.Peer{peer("a", "here", 2, 2)}
	is.True(choose())
	is.True(choose())
	is.True(!choose())
	now = now.Add(time.Second)
	is.True(choose())
}

// TestChoicesSpreadOverPeers asserts that peers with similar reports share the requests. If each host chose the freest peer,
// all hosts with the same reports would choose the same one.
func TestChoicesSpreadOverPeers(t *testing.T) {
	is := is.New(t)
	r := cwroute.New(options())
	reports := []cwroute.Peer{peer("a", "here", 8, 30), peer("b", "here", 8, 30), peer("c", "here", 8, 31)}
	counts := map[cwmodel.HostID]int{}
	for range 60 {
		host, _ := r.Choose(time.Unix(1000, 0), reports, slots(1), time.Second, nil)
		counts[host]++
	}
	for _, p := range reports {
		is.True(counts[p.Host] >= 15) // the freest peer does not get all requests
	}
}

// TestLeastLoadedComparesWaitingPerWorker asserts that the local peer with the fewest waiting tasks per worker is chosen, even
// if it has the most waiting tasks.
func TestLeastLoadedComparesWaitingPerWorker(t *testing.T) {
	is := is.New(t)
	a, b, away := peer("a", "here", 0, 0), peer("b", "here", 0, 0), peer("c", "away", 0, 0)
	a.Waiting, a.Workers, b.Waiting, b.Workers = 10, 1, 20, 4
	host, ok := cwroute.New(options()).LeastLoaded([]cwroute.Peer{away, a, b}, nil)
	is.True(ok)
	is.Equal(host, cwmodel.HostID("b"))
}
