package cwdecider_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"currantward/internal/core/cwdecider"
	"currantward/internal/core/cwmodel"
	"currantward/internal/core/cwpolicy"
)

// TestDrainingWorkerGetsNoTask guards against starting tasks on a worker that is already draining when it is claimed.
// One task fills the only worker, a second one waits, and the added worker may take it only if it is not draining.
func TestDrainingWorkerGetsNoTask(t *testing.T) {
	demand := cwmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 20, Slots: 1, Connections: 1}
	cases := []struct {
		name   string
		add    func(d *cwdecider.Decider, now time.Time, w cwmodel.Worker)
		starts int
	}{
		{"schedulable worker", func(d *cwdecider.Decider, now time.Time, w cwmodel.Worker) { d.AddWorker(now, w, 1, nil) }, 1},
		{"draining worker", func(d *cwdecider.Decider, now time.Time, w cwmodel.Worker) { d.AddDrainingWorker(now, w, 1, nil) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			d := cwdecider.New(cwdecider.Options{Seed: 1})
			d.Configure(now, cwpolicy.Configuration{
				Version: 1,
				Profiles: []cwpolicy.Profile{{
					Name: "check", Kind: cwmodel.KindRequest, Class: cwmodel.ClassUrgent, Weight: 1, Ceiling: 1, QueueLimit: 10,
					Deadline: time.Minute, Lease: time.Second, MaxAttempts: 1, Demand: demand,
				}},
				Teams: []cwpolicy.Team{{Name: "intake", Weight: 1}},
			})
			full := cwmodel.Worker{ID: "full", Rack: "rack-1", Capacity: demand}
			d.AddWorker(now, full, 1, nil)
			for _, id := range []cwmodel.TaskID{"first", "second"} {
				d.Submit(now, cwmodel.Task{
					ID: id, NextAttempt: 1, Profile: "check", Team: "intake", Kind: cwmodel.KindRequest, Demand: demand, ArrivedAt: now,
					Deadline: now.Add(time.Minute), Lease: time.Second, MaxAttempts: 1,
				})
			}
			d.Actions()
			c.add(d, now, cwmodel.Worker{ID: "added", Rack: "rack-1", Capacity: demand})
			starts := 0
			for _, action := range d.Actions() {
				if action.Kind == cwdecider.ActionStart {
					starts++
				}
			}
			is.Equal(starts, c.starts)
		})
	}
}
